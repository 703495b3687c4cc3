package state

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/once"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// registrationRetry is when an endpoint that has just started will have
// registered its incarnation.
const registrationRetry = time.Second

func (m *Machine) claim(e *Entry) *wire.Answer {
	var c command.Claim
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	if c.Account == "" || c.Key == "" || len(c.Key) > once.MaxKeyBytes || e.ID == "" {
		return refuse(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"a claim needs an account, a command identifier and a key of 1 to %d bytes", once.MaxKeyBytes))
	}
	if m.doc.Revision == 0 {
		return refuse(verdict.Refuse(verdict.ReasonNoQuorum, registrationRetry, "control has no configuration yet"))
	}
	answer, used := m.claims.Claim(m.time(), once.Claim{
		Account: c.Account, Key: c.Key, Digest: c.Digest,
		Endpoint: c.Endpoint, Incarnation: c.Incarnation, Command: e.key(),
	}, m.orders.last+1, m.registered)
	if used {
		m.orders.last++
	}
	return accept(claimed(&answer))
}

// registered reports whether the incarnation is the endpoint's current one. Only
// such a one may get new claims: an older one was replaced, and a newer one has
// not yet read its fencing number and lets nothing pass.
func (m *Machine) registered(endpoint string, incarnation uint64) bool {
	s, ok := m.orders.endpoints[endpoint]
	return ok && s.Incarnation == incarnation
}

func claimed(a *once.Answer) command.Claimed {
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

func (m *Machine) settle(e *Entry) *wire.Answer {
	var s command.Settle
	if err := wire.Unmarshal(e.Body, &s); err != nil {
		return refuse(badRequest(err))
	}
	m.claims.Settle(once.Settlement{
		Account: s.Account, Key: s.Key, Fence: s.Fence, Verdict: s.Verdict, Result: (*once.Result)(s.Result),
	})
	return &wire.Answer{}
}
