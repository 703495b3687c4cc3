package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// scene is a ledger, two endpoints that restart, and entries that lose answers,
// resend, and dispatch late.
type scene struct {
	now    time.Time
	ledger *Ledger
	next   uint64
	gates  [2]*Gate
	// claims are numbers that entries hold and may still dispatch.
	claims []held
	// ran counts the runs of each key at the endpoints.
	ran map[string]int
	// promised holds, for each number, that NotRun was told of it.
	promised map[uint64]bool
	commands int
}

type held struct {
	key         string
	fence       uint64
	endpoint    int
	incarnation uint64
}

func (s *scene) registered(endpoint string, incarnation uint64) bool {
	for i, g := range s.gates {
		if endpoint == name(i) {
			return g.incarnation == incarnation
		}
	}
	return false
}

func name(i int) string { return fmt.Sprint("desk-", i) }

func (s *scene) keys() []string {
	base := start.Add(time.Second)
	return []string{"a", "b", keyAt(base, 1), keyAt(base, 2), keyAt(base.Add(40*time.Second), 3)}
}

func (s *scene) claim(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "endpoint")
	key := rapid.SampledFrom(s.keys()).Draw(t, "key")
	s.commands++
	s.next++
	// An entry may know an older incarnation than the registered one.
	incarnation := s.gates[i].incarnation - uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
	c := Claim{
		Account: "parish", Key: key, Digest: 7, Endpoint: name(i), Incarnation: incarnation,
		Command: fmt.Sprint(s.commands),
	}
	a, _ := s.ledger.Claim(s.now, c, s.next, s.registered)
	switch {
	case a.Granted:
		s.claims = append(s.claims, held{key, a.Fence, i, c.Incarnation})
	case a.Fence != 0:
		// The resend takes up what another entry holds.
		at := 0
		if a.Endpoint == name(1) {
			at = 1
		}
		s.claims = append(s.claims, held{key, a.Fence, at, a.Incarnation})
	}
}

// dispatch brings a held claim to the endpoint's gate of now; the claim stays held,
// as a copy of the message may come later.
func (s *scene) dispatch(t *rapid.T) {
	if len(s.claims) == 0 {
		return
	}
	c := rapid.SampledFrom(s.claims).Draw(t, "claim")
	err := s.gates[c.endpoint].Admit(c.fence, c.incarnation)
	if err == nil {
		if s.promised[c.fence] {
			t.Fatalf("number %d ran after NotRun was promised", c.fence)
		}
		s.ran[c.key]++
		if rapid.Bool().Draw(t, "settled") {
			s.settle(c, verdict.Ran)
		}
		return
	}
	if v := verdict.From(err).Verdict; v == verdict.NotRun {
		s.promised[c.fence] = true
		s.settle(c, v)
	} else if v == verdict.MayHaveRun && rapid.Bool().Draw(t, "given up") {
		s.settle(c, v)
	}
}

func (s *scene) seal(t *rapid.T) {
	if len(s.claims) == 0 {
		return
	}
	c := rapid.SampledFrom(s.claims).Draw(t, "claim")
	v := s.gates[c.endpoint].Seal(c.fence, c.incarnation)
	if v == verdict.NotRun {
		s.promised[c.fence] = true
	}
	if rapid.Bool().Draw(t, "settled") {
		s.settle(c, v)
	}
}

func (s *scene) settle(c held, v verdict.Verdict) {
	s.ledger.Settle(Settlement{Account: "parish", Key: c.key, Fence: c.fence, Verdict: v})
}

func (s *scene) restart(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "endpoint")
	s.gates[i] = NewGate(s.gates[i].incarnation + 1)
	if rapid.Bool().Draw(t, "opened") {
		s.next++
		s.gates[i].Open(s.next)
	}
}

func (s *scene) restore(t *rapid.T) {
	restored, err := copyOf(s.ledger)
	if err != nil {
		t.Fatal(err)
	}
	s.ledger = restored
}

// TestNoKeyRunsTwice drives claims, lost answers, late and doubled dispatches,
// restarts and expiry in any order.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scene{
			now: start, ledger: NewLedger(testLimits(), start), next: 1,
			gates: [2]*Gate{NewGate(1), NewGate(1)}, ran: map[string]int{}, promised: map[uint64]bool{},
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
				for key, n := range s.ran {
					if n > 1 {
						t.Fatalf("key %q ran %d times", key, n)
					}
				}
			},
		})
	})
}
