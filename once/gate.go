package once

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// maxNumbers bounds the claim numbers that a Gate remembers one by one.
const maxNumbers = 1 << 16

// passage is what became of a claim's number at a gate.
type passage uint8

const (
	passed passage = iota + 1
	sealed
	ended
)

// Gate stands beside one endpoint and lets each claim's number pass once. A
// number is bound to the incarnation for which it was given out, and a gate
// serves one incarnation: what an earlier one has let through is unknown after a
// restart, so nothing of it passes here.
//
// Nothing passes before the gate is opened with the newest number that a quorum
// had given out when it registered the incarnation: lower ones are not ours.
//
// Numbers only grow. The gate remembers the newest ones, and everything at or
// below its floor counts as possibly passed.
//
// Gate does no locking.
type Gate struct {
	incarnation uint64
	opened      bool
	numbers     map[uint64]passage
	// order lists the remembered numbers, oldest first.
	order []uint64
	floor uint64
}

// NewGate returns the gate of an incarnation, which must be unique: a later start
// must never use it again.
func NewGate(incarnation uint64) *Gate {
	return &Gate{incarnation: incarnation, numbers: map[uint64]passage{}}
}

// Open lets numbers above newest pass.
func (g *Gate) Open(newest uint64) {
	g.opened = true
	g.floor = max(g.floor, newest)
}

// Admit lets the number through or says why not. After nil the call must be
// dispatched at once and never again. A refusal with NotRun also seals the
// number, so that a copy of the call that is still on its way cannot pass later.
func (g *Gate) Admit(number, incarnation uint64) error {
	if incarnation != g.incarnation {
		// Our incarnation has not run it and never will, but another may have.
		return verdict.Uncertain(verdict.ReasonEndpointRestarted, 0,
			"the claim is for incarnation %d of the endpoint, which is now %d", incarnation, g.incarnation)
	}
	if refusal := g.known(number); refusal != nil {
		return refusal
	}
	if !g.opened {
		g.remember(number, sealed)
		return verdict.Refuse(verdict.ReasonNoQuorum, time.Second,
			"the endpoint's incarnation is not registered with a quorum yet")
	}
	g.remember(number, passed)
	return nil
}

// Seal makes sure that the number does not pass from now on. It returns NotRun
// when it never passed: the proof that the call has not run and will not. Sealing
// the same number again gives the same answer.
func (g *Gate) Seal(number, incarnation uint64) verdict.Verdict {
	if incarnation != g.incarnation || number <= g.floor {
		return verdict.MayHaveRun
	}
	switch g.numbers[number] {
	case passed:
		return verdict.MayHaveRun
	case ended:
		return verdict.Ran
	case sealed:
		return verdict.NotRun
	}
	g.remember(number, sealed)
	return verdict.NotRun
}

// MarkUnsent marks a number that passed as sealed, when it is certain that no byte of
// the call has left for the endpoint.
func (g *Gate) MarkUnsent(number uint64) {
	if g.numbers[number] == passed {
		g.numbers[number] = sealed
	}
}

// MarkCompleted notes that the call of a number that passed ran to its end.
func (g *Gate) MarkCompleted(number uint64) {
	if g.numbers[number] == passed {
		g.numbers[number] = ended
	}
}

func (g *Gate) known(number uint64) *verdict.Refusal {
	if number <= g.floor {
		return verdict.Uncertain(verdict.ReasonFenced, 0, "claim %d is too old to be told apart", number)
	}
	switch g.numbers[number] {
	case passed:
		return verdict.Uncertain(verdict.ReasonInProgress, time.Second, "claim %d was dispatched before", number)
	case ended:
		return &verdict.Refusal{Verdict: verdict.Ran, Reason: verdict.ReasonFenced,
			Detail: "the call ran to its end before"}
	case sealed:
		return verdict.Refuse(verdict.ReasonFenced, 0, "claim %d is sealed off", number)
	}
	return nil
}

// remember enters a number. When there are too many, the floor rises over the
// oldest: all at or below it count as possibly passed.
func (g *Gate) remember(number uint64, p passage) {
	if len(g.order) == maxNumbers {
		g.floor = max(g.floor, g.order[0])
		delete(g.numbers, g.order[0])
		g.order = g.order[1:]
	}
	g.numbers[number] = p
	g.order = append(g.order, number)
}
