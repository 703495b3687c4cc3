// Package health detects endpoints that fail slowly: they answer, but slower or
// less often than they should.
//
// Each endpoint has a CUSUM statistic of the log-likelihood ratio between failing
// and sound, fed by the requests that it serves anyway and by probes. Over a
// threshold it is suspect. Its own law is learned while it is sound, and what the
// endpoints of its target have in common, such as a wave of load, is taken out.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package health

import "time"

// Settings are the bounds of a Detector.
type Settings struct {
	// Slowdown is the factor in time that is to be detected.
	Slowdown float64
	// Threshold is the statistic, in nats, from which an endpoint is suspect.
	Threshold float64
	// RecoveryThreshold is the evidence for being sound, in nats, that ends a suspicion.
	RecoveryThreshold float64
	// MaxSuspectShare bounds the suspects among the endpoints of one target.
	MaxSuspectShare float64
	// MinInterval is the least time between two samples of an endpoint that count, and
	// between two probes of it: closer ones are not independent.
	MinInterval time.Duration
}

// DefaultSettings returns the usual bounds.
func DefaultSettings() Settings {
	return Settings{
		Slowdown:          1.5,
		Threshold:         20,
		RecoveryThreshold: 8,
		MaxSuspectShare:   1.0 / 3,
		MinInterval:       10 * time.Second,
	}
}

// Sample is what one request or probe showed.
type Sample struct {
	// Ratio is the time taken over the time expected: per token of output, or of
	// the prompt until the first token. It is ignored when 0.
	Ratio float64
	// Failed is set when the endpoint gave no whole answer and the caller is not
	// the cause.
	Failed bool
}
