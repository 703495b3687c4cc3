// Package usage counts, by client account and window of time, the requests that endpoints began to run.
// It does no I/O and reads no clock; the calling code passes readings of the clocks and serialises the calls.
package usage
