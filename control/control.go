// Package control is the daemon that holds the replicated state.
package control
