// Package entry is the daemon that serves callers.
package entry
