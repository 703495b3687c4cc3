package state

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/once"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// unconfiguredRetryAfter is the time after which callers should retry a claim that arrived
// before control had a configuration. An endpoint that has just started has registered its
// incarnation by then.
const unconfiguredRetryAfter = time.Second

// claim carries out a command.Claim.
func (m *Machine) claim(e *Entry) *wire.Answer {
	var c command.Claim
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if c.Account == "" || c.Key == "" || len(c.Key) > once.MaxKeyBytes || e.ID == "" {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"a claim needs an account, a command identifier and a key of 1 to %d bytes", once.MaxKeyBytes))
	}
	if m.doc.Revision == 0 {
		return refused(verdict.Refuse(verdict.ReasonNoQuorum, unconfiguredRetryAfter, "control has no configuration yet"))
	}
	answer, issued := m.claims.Claim(m.time(), once.Claim{
		Account: c.Account, Key: c.Key, Digest: c.Digest,
		Endpoint: c.Endpoint, Incarnation: c.Incarnation, Command: e.answerKey(),
	}, m.orders.lastFence+1, m.isRegistered)
	if issued {
		m.orders.lastFence++
	}
	return accepted(newClaimed(&answer))
}

// isRegistered reports whether incarnation is the registered incarnation of the endpoint. Only
// this one may get new claims: an older one has been replaced, and a newer one has not yet
// registered and refuses all claims.
func (m *Machine) isRegistered(endpoint string, incarnation uint64) bool {
	s, ok := m.orders.endpoints[endpoint]
	return ok && s.Incarnation == incarnation
}

// newClaimed converts the answer of package once.
func newClaimed(a *once.Answer) command.Claimed {
	switch {
	case a.Granted:
		return command.Claimed{Fence: a.Fence}
	case a.Stored != nil:
		return command.Claimed{Result: (*command.Result)(a.Stored)}
	}
	out := command.Claimed{Refused: wire.NewRefused(wire.Attempt{}, a.Refusal)}
	if a.Fence != 0 {
		out.PendingClaim = &command.PendingClaim{Fence: a.Fence, Endpoint: a.Endpoint, Incarnation: a.Incarnation}
	}
	return out
}

// settle carries out a command.Settle.
func (m *Machine) settle(e *Entry) *wire.Answer {
	var s command.Settle
	if err := wire.Unmarshal(e.Body, &s); err != nil {
		return refused(badRequest(err))
	}
	m.claims.Settle(once.Settlement{
		Account: s.Account, Key: s.Key, Fence: s.Fence, Verdict: s.Verdict, Result: (*once.Result)(s.Result),
	})
	return &wire.Answer{}
}
