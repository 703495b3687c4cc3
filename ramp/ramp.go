// Package ramp limits the work of an endpoint that has just started.
package ramp
