package fence

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/lease"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

// TestGateAdmitsOnlyNewestOrders checks each reason for which Gate refuses an order.
func TestGateAdmitsOnlyNewestOrders(t *testing.T) {
	tests := map[string]struct {
		open   func(g *Gate)
		number uint64
		fresh  bool
		reason verdict.Reason
	}{
		"newest not read":        {func(*Gate) {}, 99, true, verdict.ReasonNoQuorum},
		"lease not over":         {func(g *Gate) { g.Open(5, start.Add(time.Second)) }, 6, true, verdict.ReasonFenced},
		"permission expired":     {func(g *Gate) { g.Open(5, start) }, 6, false, verdict.ReasonStaleConfiguration},
		"old number":             {func(g *Gate) { g.Open(5, start) }, 4, true, verdict.ReasonFenced},
		"same number":            {func(g *Gate) { g.Open(5, start) }, 5, true, verdict.ReasonFenced},
		"number admitted before": {func(g *Gate) { g.Open(5, start); _ = g.Admit(start, 6, true) }, 6, true, verdict.ReasonFenced},
		"second read was lower":  {func(g *Gate) { g.Open(5, start); g.Open(2, start) }, 3, true, verdict.ReasonFenced},
		"new number":             {func(g *Gate) { g.Open(5, start) }, 6, true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &Gate{}
			test.open(g)
			err := g.Admit(start, test.number, test.fresh)
			if test.reason == "" {
				is.NoErr(err)
				is.True(g.MayRetry(test.number, true))
				return
			}
			is.Equal(verdict.From(err).Reason, test.reason)
			is.Equal(verdict.From(err).Verdict, verdict.NotRun)
		})
	}
}

const (
	duration = 3 * time.Second
	margin   = 150 * time.Millisecond
)

// sidecar is one process beside the engine. While it is suspended, its orders wait in inbox.
type sidecar struct {
	incarnation uint64
	gate        Gate
	permission  *lease.Permission
	suspended   bool
	inbox       []uint64
}

// simulation is an engine that ignores fencing numbers, control, which registers
// incarnations and assigns fencing numbers, and sidecars, which are suspended, resumed and
// replaced.
type simulation struct {
	now time.Time
	// lastNumber is the last fencing number assigned.
	lastNumber uint64
	// registered is the registered incarnation of the sidecar.
	registered uint64
	seq        uint64
	sidecars   []*sidecar
	// executed holds the fencing numbers of the executed orders, in order.
	executed []uint64
}

func (s *simulation) startSidecar(*rapid.T) {
	s.registered++
	s.lastNumber++
	sc := &sidecar{incarnation: s.registered, permission: lease.NewPermission(duration, margin)}
	sc.gate.Open(s.lastNumber, s.now.Add(duration))
	s.sidecars = append(s.sidecars, sc)
}

// renewPermission renews the permission of the registered incarnation only.
func (s *simulation) renewPermission(*rapid.T) {
	for _, sc := range s.sidecars {
		if sc.suspended || sc.incarnation != s.registered {
			continue
		}
		s.seq++
		sc.permission.HeartbeatSent(s.now, s.seq)
		sc.permission.HeartbeatEchoed(s.seq)
	}
}

// sendOrder sends an order to the incarnation that is registered at this time. The order
// waits in the inbox while the sidecar is suspended.
func (s *simulation) sendOrder(*rapid.T) {
	if len(s.sidecars) == 0 {
		return
	}
	s.lastNumber++
	for _, sc := range s.sidecars {
		if sc.incarnation == s.registered {
			sc.inbox = append(sc.inbox, s.lastNumber)
		}
	}
}

// executeOrder lets each running sidecar execute a random order from its inbox.
func (s *simulation) executeOrder(t *rapid.T) {
	for _, sc := range s.sidecars {
		if sc.suspended || len(sc.inbox) == 0 {
			continue
		}
		at := rapid.IntRange(0, len(sc.inbox)-1).Draw(t, "message")
		number := sc.inbox[at]
		if sc.gate.Admit(s.now, number, sc.permission.Fresh(s.now)) == nil {
			s.executed = append(s.executed, number)
		}
	}
}

// suspendOrResume suspends a running sidecar or resumes a suspended one.
func (s *simulation) suspendOrResume(t *rapid.T) {
	if len(s.sidecars) > 0 {
		sc := rapid.SampledFrom(s.sidecars).Draw(t, "sidecar")
		sc.suspended = !sc.suspended
	}
}

// TestEngineExecutesNoOrderAfterANewerOne checks that an engine which ignores fencing
// numbers executes no order after a newer one, over all sidecars that it ever had.
func TestEngineExecutesNoOrderAfterANewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start}
		t.Repeat(map[string]func(*rapid.T){
			"start sidecar":     s.startSidecar,
			"renew permission":  s.renewPermission,
			"send order":        s.sendOrder,
			"execute order":     s.executeOrder,
			"suspend or resume": s.suspendOrResume,
			"pass time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(s.executed); i++ {
					if s.executed[i] <= s.executed[i-1] {
						t.Fatalf("order %d was executed after %d", s.executed[i], s.executed[i-1])
					}
				}
			},
		})
	})
}
