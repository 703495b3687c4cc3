package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// simulation is a ledger with two endpoints that restart, and with entries that lose
// answers, retry calls and dispatch them late or twice.
type simulation struct {
	now    time.Time
	ledger *Ledger
	// lastFence is the fencing number issued last.
	lastFence uint64
	gates     [2]*Gate
	// held lists the claims that entries have and may still dispatch.
	held []heldClaim
	// runs counts how often the call of each key ran.
	runs map[string]int
	// notRunPromised contains the fencing numbers for which a gate returned NotRun.
	notRunPromised map[uint64]bool
	commands       int
}

// heldClaim is a claim that an entry has and may dispatch.
type heldClaim struct {
	key         string
	fence       uint64
	endpoint    int
	incarnation uint64
}

func (s *simulation) registered(endpoint string, incarnation uint64) bool {
	for i, g := range s.gates {
		if endpoint == endpointName(i) {
			return g.incarnation == incarnation
		}
	}
	return false
}

func endpointName(i int) string { return fmt.Sprint("desk-", i) }

func (s *simulation) keys() []string {
	base := start.Add(time.Second)
	return []string{"a", "b", keyAt(base, 1), keyAt(base, 2), keyAt(base.Add(40*time.Second), 3)}
}

func (s *simulation) claim(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "endpoint")
	key := rapid.SampledFrom(s.keys()).Draw(t, "key")
	s.commands++
	s.lastFence++
	// An entry may know an older incarnation than the registered one.
	incarnation := s.gates[i].incarnation - uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
	c := Claim{
		Account: "parish", Key: key, Digest: 7, Endpoint: endpointName(i), Incarnation: incarnation,
		Command: fmt.Sprint(s.commands),
	}
	a, _ := s.ledger.Claim(s.now, c, s.lastFence, s.registered)
	switch {
	case a.Granted:
		s.held = append(s.held, heldClaim{key, a.Fence, i, c.Incarnation})
	case a.Fence != 0:
		// The retry takes over the claim of another entry.
		endpoint := 0
		if a.Endpoint == endpointName(1) {
			endpoint = 1
		}
		s.held = append(s.held, heldClaim{key, a.Fence, endpoint, a.Incarnation})
	}
}

// dispatch sends a held claim to the current gate of its endpoint. The claim stays
// held, because a duplicate of the message may arrive later.
func (s *simulation) dispatch(t *rapid.T) {
	if len(s.held) == 0 {
		return
	}
	c := rapid.SampledFrom(s.held).Draw(t, "claim")
	err := s.gates[c.endpoint].Admit(c.fence, c.incarnation)
	if err == nil {
		if s.notRunPromised[c.fence] {
			t.Fatalf("call with fence %d ran after the verdict NotRun", c.fence)
		}
		s.runs[c.key]++
		if rapid.Bool().Draw(t, "settled") {
			s.settle(c, verdict.Ran)
		}
		return
	}
	if v := verdict.From(err).Verdict; v == verdict.NotRun {
		s.notRunPromised[c.fence] = true
		s.settle(c, v)
	} else if v == verdict.MayHaveRun && rapid.Bool().Draw(t, "given up") {
		s.settle(c, v)
	}
}

func (s *simulation) seal(t *rapid.T) {
	if len(s.held) == 0 {
		return
	}
	c := rapid.SampledFrom(s.held).Draw(t, "claim")
	v := s.gates[c.endpoint].Seal(c.fence, c.incarnation)
	if v == verdict.NotRun {
		s.notRunPromised[c.fence] = true
	}
	if rapid.Bool().Draw(t, "settled") {
		s.settle(c, v)
	}
}

func (s *simulation) settle(c heldClaim, v verdict.Verdict) {
	s.ledger.Settle(Settlement{Account: "parish", Key: c.key, Fence: c.fence, Verdict: v})
}

func (s *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "endpoint")
	s.gates[i] = NewGate(s.gates[i].incarnation + 1)
	if rapid.Bool().Draw(t, "opened") {
		s.lastFence++
		s.gates[i].Open(s.lastFence)
	}
}

func (s *simulation) restore(t *rapid.T) {
	restored, err := restoreCopy(s.ledger)
	if err != nil {
		t.Fatal(err)
	}
	s.ledger = restored
}

// TestNoKeyRunsTwice checks that no call runs twice, nor after the verdict NotRun,
// under claims, lost answers, late and duplicate dispatches, endpoint restarts,
// snapshot restores and evictions in any order.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			now: start, ledger: NewLedger(testLimits(), start), lastFence: 1,
			gates: [2]*Gate{NewGate(1), NewGate(1)}, runs: map[string]int{}, notRunPromised: map[uint64]bool{},
		}
		for _, g := range s.gates {
			g.Open(1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":    s.claim,
			"dispatch": s.dispatch,
			"seal":     s.seal,
			"restart":  s.restart,
			"restore":  s.restore,
			"pass time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for key, n := range s.runs {
					if n > 1 {
						t.Fatalf("key %q ran %d times", key, n)
					}
				}
			},
		})
	})
}
