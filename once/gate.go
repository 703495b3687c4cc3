package once

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// maxFences is the maximum number of fencing numbers whose state a Gate keeps.
const maxFences = 1 << 16

// fenceState is the state of a fencing number at a gate.
type fenceState uint8

const (
	// fenceAdmitted: the call was admitted and may have been dispatched.
	fenceAdmitted fenceState = iota + 1
	// fenceSealed: the call has not run and is never admitted.
	fenceSealed
	// fenceCompleted: the call was admitted and completed.
	fenceCompleted
)

// Gate runs in the sidecar of an endpoint and admits the call of each fencing
// number at most once. A number is issued for one incarnation of the endpoint, and
// a gate serves one incarnation. After a restart the calls that the previous gate
// admitted are unknown, so numbers of earlier incarnations are never admitted.
//
// No call is admitted before Open, which takes the highest number that the ledger had
// issued when the incarnation was registered. Numbers up to that one belong to earlier
// incarnations or to other endpoints.
//
// Fencing numbers only increase. The gate keeps the states that it recorded last, and
// treats every number at or below its floor as one whose call may have run.
//
// A Gate isn't safe for concurrent use.
type Gate struct {
	incarnation uint64
	opened      bool
	states      map[uint64]fenceState
	// order lists the numbers in states, in the order in which they were recorded.
	order []uint64
	// floor is the highest number that the gate no longer tells apart: the calls of all
	// numbers at or below it count as calls that may have run.
	floor uint64
}

// NewGate returns the gate of an incarnation. Each start of the endpoint must use
// an incarnation that no other start has used.
func NewGate(incarnation uint64) *Gate {
	return &Gate{incarnation: incarnation, states: map[uint64]fenceState{}}
}

// Open lets Admit accept calls with fencing numbers above newest.
func (g *Gate) Open(newest uint64) {
	g.opened = true
	g.floor = max(g.floor, newest)
}

// Admit returns nil when the call with this fencing number may run; the caller must
// then dispatch the call immediately and only once. Otherwise the error is a
// verdict.Refusal. A refusal with the verdict NotRun also seals the number, so that
// a copy of the call that arrives later isn't admitted.
func (g *Gate) Admit(fence, incarnation uint64) error {
	if incarnation != g.incarnation {
		// This incarnation has not run the call and never will, but the incarnation that
		// the claim names may have run it.
		return verdict.Uncertain(verdict.ReasonEndpointRestarted, 0,
			"the claim is for incarnation %d of the endpoint, which is now %d", incarnation, g.incarnation)
	}
	if refusal := g.check(fence); refusal != nil {
		return refusal
	}
	if !g.opened {
		g.record(fence, fenceSealed)
		return verdict.Refuse(verdict.ReasonNoQuorum, time.Second,
			"the endpoint's incarnation is not registered with a quorum yet")
	}
	g.record(fence, fenceAdmitted)
	return nil
}

// Seal prevents the call with this fencing number from being admitted later and
// returns its verdict. NotRun proves that the call has not run and never will.
// Sealing the same number again returns the same verdict.
func (g *Gate) Seal(fence, incarnation uint64) verdict.Verdict {
	if incarnation != g.incarnation || fence <= g.floor {
		return verdict.MayHaveRun
	}
	switch g.states[fence] {
	case fenceAdmitted:
		return verdict.MayHaveRun
	case fenceCompleted:
		return verdict.Ran
	case fenceSealed:
		return verdict.NotRun
	}
	g.record(fence, fenceSealed)
	return verdict.NotRun
}

// MarkUnsent seals the fencing number of an admitted call. The caller must be certain
// that no byte of the call was sent to the endpoint.
func (g *Gate) MarkUnsent(fence uint64) {
	if g.states[fence] == fenceAdmitted {
		g.states[fence] = fenceSealed
	}
}

// MarkCompleted records that the admitted call with this fencing number completed.
func (g *Gate) MarkCompleted(fence uint64) {
	if g.states[fence] == fenceAdmitted {
		g.states[fence] = fenceCompleted
	}
}

// check returns why the call with this fencing number can't be admitted, or nil
// when the gate has no record of the number.
func (g *Gate) check(fence uint64) *verdict.Refusal {
	if fence <= g.floor {
		return verdict.Uncertain(verdict.ReasonFenced, 0, "claim %d is too old to be told apart", fence)
	}
	switch g.states[fence] {
	case fenceAdmitted:
		return verdict.Uncertain(verdict.ReasonInProgress, time.Second, "claim %d was dispatched before", fence)
	case fenceCompleted:
		return &verdict.Refusal{Verdict: verdict.Ran, Reason: verdict.ReasonFenced,
			Detail: "the call ran to its end before"}
	case fenceSealed:
		return verdict.Refuse(verdict.ReasonFenced, 0, "claim %d is sealed off", fence)
	}
	return nil
}

// record stores the state of a new fencing number. When maxFences are stored, it
// drops the one recorded first and raises the floor to it: the calls of all numbers
// at or below the floor may have run.
func (g *Gate) record(fence uint64, state fenceState) {
	if len(g.order) == maxFences {
		g.floor = max(g.floor, g.order[0])
		delete(g.states, g.order[0])
		g.order = g.order[1:]
	}
	g.states[fence] = state
	g.order = append(g.order, fence)
}
