// Package verdict says whether a request may have run.
//
// Every refusal that a caller can see carries a Verdict. NotRun is a promise:
// no engine and no service has started on the request, and none will. Code that
// cannot prove this answers MayHaveRun.
package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether the request behind an answer may have run.
type Verdict uint8

// The verdicts, from the weakest claim of work to the strongest.
const (
	// NotRun promises that the request has not run and will not run.
	NotRun Verdict = iota + 1
	// MayHaveRun says that the request may have run, in part or in full.
	MayHaveRun
	// Ran says that the request ran to its end.
	Ran
)

// String returns the name that callers see in JSON.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// Reason is a stable, machine-readable cause of a refusal.
type Reason string

// The reasons that callers can meet. docs/operations/errors.md lists them.
const (
	ReasonBadRequest         Reason = "bad_request"
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonUnknownRoute       Reason = "unknown_route"
	ReasonTooLarge           Reason = "too_large"
	ReasonPromptTooLong      Reason = "prompt_too_long"
	ReasonAccountLimit       Reason = "account_limit"
	ReasonDeadline           Reason = "deadline"
	ReasonOverloaded         Reason = "overloaded"
	ReasonNoEndpoint         Reason = "no_endpoint"
	ReasonZoneOut            Reason = "zone_out"
	ReasonStaleConfiguration Reason = "stale_configuration"
	ReasonEndpointLost       Reason = "endpoint_lost"
	ReasonEndpointMemory     Reason = "endpoint_memory"
	ReasonEndpointCold       Reason = "endpoint_cold"
	ReasonEndpointLeaving    Reason = "endpoint_leaving"
	ReasonEndpointBusy       Reason = "endpoint_busy"
	ReasonEndpointRestarted  Reason = "endpoint_restarted"
	ReasonStopping           Reason = "stopping"
	ReasonSlowReader         Reason = "slow_reader"
	ReasonStreamBroken       Reason = "stream_broken"
	ReasonQuarantined        Reason = "quarantined"
	ReasonNoQuorum           Reason = "no_quorum"
	ReasonKeyReused          Reason = "idempotency_key_reused"
	ReasonKeyExpired         Reason = "idempotency_key_expired"
	ReasonInProgress         Reason = "in_progress"
	ReasonUnreachable        Reason = "endpoint_unreachable"
	ReasonEngineError        Reason = "engine_error"
	ReasonFenced             Reason = "fenced"
	ReasonRevisionConflict   Reason = "revision_conflict"
	ReasonInternal           Reason = "internal"
)

// Refusal is the typed error of every package on a request's way.
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// RetryAfter is when a retry makes sense; zero when it does not.
	RetryAfter time.Duration
	// Detail is one sentence for a person. It never holds prompt text or keys.
	Detail string
}

var _ error = (*Refusal)(nil)

// Refuse returns a refusal that promises that the request has not run.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a refusal of a request that may have run.
func Uncertain(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Verdict: MayHaveRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Error describes the refusal for a log line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Verdict, r.Reason, r.Detail)
}

// IsReason reports whether err is a refusal for the reason.
func IsReason(err error, reason Reason) bool {
	r := From(err)
	return r != nil && r.Reason == reason
}

// From returns the refusal in err's chain. An error without one becomes
// MayHaveRun, because nothing is proven about it. It returns nil for nil.
func From(err error) *Refusal {
	if err == nil {
		return nil
	}
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Uncertain(ReasonInternal, 0, "%v", err)
}
