// Package health detects degraded endpoints (gray failures): they still answer, but
// more slowly than usual or with more errors.
//
// A Detector keeps a CUSUM statistic for each endpoint. It sums the log-likelihood
// ratios (LLR, in nats) of the hypothesis "failing" against "healthy" over samples
// from the requests that the endpoint serves and from probes. Once the statistic
// reaches a threshold, the endpoint is suspect. The detector learns an endpoint's
// usual latency from samples taken while its statistic is low, and subtracts the
// offset that all endpoints of its target share, such as that of a daily load pattern.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package health

import "time"

// Settings configures a Detector.
type Settings struct {
	// Slowdown is the factor by which a failing endpoint is assumed to be slower.
	Slowdown float64
	// Threshold is the CUSUM statistic, in nats, from which on an endpoint is suspect.
	Threshold float64
	// RecoveryThreshold is the evidence of recovery, in nats, from which on a suspect
	// endpoint is healthy again.
	RecoveryThreshold float64
	// MaxSuspectShare bounds the share of a target's endpoints that are suspect at once.
	MaxSuspectShare float64
	// MinInterval is the minimum time between two samples of an endpoint that count
	// and between two probes of it: samples closer together are not independent.
	MinInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Slowdown:          1.5,
		Threshold:         20,
		RecoveryThreshold: 8,
		MaxSuspectShare:   1.0 / 3,
		MinInterval:       10 * time.Second,
	}
}

// Sample is the outcome of one request or probe.
type Sample struct {
	// Ratio is the measured time divided by the expected time, either for each output
	// token or for each prompt token until the first output token. 0 means that no
	// time was measured.
	Ratio float64
	// Failed is set when the endpoint did not give a complete answer and the caller
	// was not the cause.
	Failed bool
}
