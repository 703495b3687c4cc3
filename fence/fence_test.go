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

func TestGateRefusesWhatIsNotProvenNewest(t *testing.T) {
	tests := map[string]struct {
		open   func(g *Gate)
		number uint64
		fresh  bool
		reason verdict.Reason
	}{
		"not read yet":          {func(*Gate) {}, 99, true, verdict.ReasonNoQuorum},
		"earlier one may act":   {func(g *Gate) { g.Open(5, start.Add(time.Second)) }, 6, true, verdict.ReasonFenced},
		"permission lapsed":     {func(g *Gate) { g.Open(5, start) }, 6, false, verdict.ReasonStaleConfiguration},
		"old number":            {func(g *Gate) { g.Open(5, start) }, 4, true, verdict.ReasonFenced},
		"same number":           {func(g *Gate) { g.Open(5, start) }, 5, true, verdict.ReasonFenced},
		"number passed before":  {func(g *Gate) { g.Open(5, start); _ = g.Admit(start, 6, true) }, 6, true, verdict.ReasonFenced},
		"second read was lower": {func(g *Gate) { g.Open(5, start); g.Open(2, start) }, 3, true, verdict.ReasonFenced},
		"new number":            {func(g *Gate) { g.Open(5, start) }, 6, true, ""},
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
	span   = 3 * time.Second
	margin = 150 * time.Millisecond
)

// sidecar is one process beside the engine.
type sidecar struct {
	incarnation uint64
	gate        Gate
	permission  *lease.Permission
	frozen      bool
	inbox       []uint64
}

// engine ignores fencing numbers; control registers incarnations and gives out
// numbers; sidecars are frozen, thawed and replaced.
type plant struct {
	now        time.Time
	last       uint64
	registered uint64
	seq        uint64
	sidecars   []*sidecar
	ran        []uint64
}

func (p *plant) startSidecar(*rapid.T) {
	p.registered++
	p.last++
	s := &sidecar{incarnation: p.registered, permission: lease.NewPermission(span, margin)}
	s.gate.Open(p.last, p.now.Add(span))
	p.sidecars = append(p.sidecars, s)
}

// beat renews the permission of the registered incarnation only.
func (p *plant) beat(*rapid.T) {
	for _, s := range p.sidecars {
		if s.frozen || s.incarnation != p.registered {
			continue
		}
		p.seq++
		s.permission.HeartbeatSent(p.now, p.seq)
		s.permission.HeartbeatEchoed(p.seq)
	}
}

// order goes to the registered incarnation, as control knows it at that number; it
// waits in the socket while the sidecar is frozen.
func (p *plant) order(*rapid.T) {
	if len(p.sidecars) == 0 {
		return
	}
	p.last++
	for _, s := range p.sidecars {
		if s.incarnation == p.registered {
			s.inbox = append(s.inbox, p.last)
		}
	}
}

func (p *plant) work(t *rapid.T) {
	for _, s := range p.sidecars {
		if s.frozen || len(s.inbox) == 0 {
			continue
		}
		at := rapid.IntRange(0, len(s.inbox)-1).Draw(t, "message")
		number := s.inbox[at]
		if s.gate.Admit(p.now, number, s.permission.Fresh(p.now)) == nil {
			p.ran = append(p.ran, number)
		}
	}
}

func (p *plant) freeze(t *rapid.T) {
	if len(p.sidecars) > 0 {
		s := rapid.SampledFrom(p.sidecars).Draw(t, "sidecar")
		s.frozen = !s.frozen
	}
}

// TestEngineThatIgnoresNumbersSeesThemRise checks that over all sidecars that an
// engine ever had, no order is carried out after a newer one.
func TestEngineThatIgnoresNumbersSeesThemRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &plant{now: start}
		t.Repeat(map[string]func(*rapid.T){
			"start":  p.startSidecar,
			"beat":   p.beat,
			"order":  p.order,
			"work":   p.work,
			"freeze": p.freeze,
			"pass time": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(p.ran); i++ {
					if p.ran[i] <= p.ran[i-1] {
						t.Fatalf("order %d was carried out after %d", p.ran[i], p.ran[i-1])
					}
				}
			},
		})
	})
}
