// Package sidecar is the daemon beside each endpoint.
package sidecar
