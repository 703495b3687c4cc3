// Package verdict defines the refusals of the request path and the verdicts that
// they carry: whether the refused request may have run.
//
// Every refusal that a caller can see carries a Verdict. NotRun guarantees that no
// engine and no service has started on the request, and that none will. Code that
// cannot prove this returns MayHaveRun.
package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether the request that an answer belongs to may have run. The zero
// value is not a valid verdict.
type Verdict uint8

// The verdicts, ordered from no execution to complete execution.
const (
	// NotRun guarantees that the request has not run and will not run.
	NotRun Verdict = iota + 1
	// MayHaveRun means that the request may have run, in part or in full.
	MayHaveRun
	// Ran means that the request ran to completion.
	Ran
)

// String returns the name of the verdict in answers to callers.
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

// The reasons that callers can receive. docs/operations/errors.md describes each.
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
	ReasonSuspect            Reason = "suspect"
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

// Refusal is the error type of all packages on the request path.
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// RetryAfter is the delay before a retry may succeed. Zero means that the caller
	// gets no advice to retry.
	RetryAfter time.Duration
	// Detail explains the refusal in one sentence for a human reader. It must not
	// contain prompt text or keys.
	Detail string
}

var _ error = (*Refusal)(nil)

// Refuse returns a refusal with the verdict NotRun.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a refusal with the verdict MayHaveRun.
func Uncertain(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Verdict: MayHaveRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the verdict, reason and detail, for logs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Verdict, r.Reason, r.Detail)
}

// IsReason reports whether err is a refusal with the given reason, as From sees it.
func IsReason(err error, reason Reason) bool {
	r := From(err)
	return r != nil && r.Reason == reason
}

// From returns the first refusal in err's chain, or nil if err is nil. An error
// without a refusal becomes one with the verdict MayHaveRun and the reason
// ReasonInternal, because nothing proves that the request has not run.
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
