package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

const (
	span   = 3 * time.Second
	margin = 150 * time.Millisecond
)

func TestPermissionCountsFromTheSendingOfTheHeartbeat(t *testing.T) {
	is := is.New(t)
	p := NewPermission(span, margin)
	is.True(!p.Fresh(start))
	p.HeartbeatSent(start, 1)
	p.HeartbeatEchoed(1)
	is.Equal(p.Left(start.Add(time.Second)), span-margin-time.Second)
	is.True(!p.Fresh(start.Add(span - margin))) // lapses by itself
}

func TestPermissionIsNotRenewedByWhatProvesNothing(t *testing.T) {
	tests := map[string]func(p *Permission){
		"echo never sent":        func(p *Permission) { p.HeartbeatEchoed(9) },
		"echo of zero":           func(p *Permission) { p.HeartbeatEchoed(0) },
		"echo of an old session": func(p *Permission) { p.HeartbeatSent(start, 1); p.Reset(); p.HeartbeatEchoed(1) },
		"peer with a higher revision": func(p *Permission) {
			p.Adopt(start, 4, 5, span)
		},
		"peer that lapsed":             func(p *Permission) { p.Adopt(start, 5, 5, 0) },
		"peer with less than margin":   func(p *Permission) { p.Adopt(start, 5, 5, margin) },
		"statement from a span ago":    func(p *Permission) { p.Adopt(start.Add(-span), 5, 5, span) },
		"poll that began a span ago":   func(p *Permission) { p.RenewFrom(start.Add(-span)) },
		"echo of a forgotten one":      func(p *Permission) { fill(p); p.HeartbeatEchoed(1) },
		"peer that claims an hour ago": func(p *Permission) { p.Adopt(start.Add(-time.Minute), 5, 5, time.Hour) },
	}
	for name, do := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPermission(span, margin)
			do(p)
			is.New(t).True(!p.Fresh(start))
		})
	}
}

func fill(p *Permission) {
	for seq := uint64(1); seq <= maxUnanswered+1; seq++ {
		p.HeartbeatSent(start.Add(-span), seq)
	}
}

func TestPermissionAdoptsAPeerThatKnowsNoMore(t *testing.T) {
	is := is.New(t)
	p := NewPermission(span, margin)
	is.True(p.Adopt(start, 7, 6, time.Second))
	is.Equal(p.Left(start), time.Second-margin)
	p.HeartbeatSent(start.Add(-time.Second), 1)
	p.HeartbeatEchoed(1)
	is.Equal(p.Left(start), span-margin-time.Second) // the longer proof counts
}

func TestPollNeedsAMajorityThatHoldsNothingMore(t *testing.T) {
	three := []uint64{1, 2, 3}
	settled := func(id, revision uint64, voters []uint64) ReplicaStatus {
		return ReplicaStatus{Replica: id, Revision: revision, Voters: voters, Settled: true}
	}
	tests := map[string]struct {
		answers []ReplicaStatus
		want    bool
	}{
		"none":                       {nil, false},
		"one of three":               {[]ReplicaStatus{settled(1, 5, three)}, false},
		"the same one twice":         {[]ReplicaStatus{settled(1, 5, three), settled(1, 5, three)}, false},
		"two of three":               {[]ReplicaStatus{settled(1, 5, three), settled(2, 4, three)}, true},
		"one knows more":             {[]ReplicaStatus{settled(1, 5, three), settled(2, 5, three), settled(3, 6, three)}, false},
		"one may know more":          {[]ReplicaStatus{settled(1, 5, three), {Replica: 2, Revision: 5, Voters: three}}, false},
		"two settled and one not":    {[]ReplicaStatus{settled(1, 5, three), settled(3, 5, three), {Replica: 2, Revision: 5, Voters: three}}, true},
		"one knows a new membership": {[]ReplicaStatus{settled(1, 5, three), settled(2, 5, []uint64{2, 4, 5})}, false},
		"a replica that is no voter": {[]ReplicaStatus{settled(1, 5, three), settled(9, 5, three)}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p Poll
			for _, a := range test.answers {
				p.Add(a)
			}
			is.New(t).Equal(p.ProvesCurrent(5), test.want)
		})
	}
}

func TestExchangeDatesStatements(t *testing.T) {
	is := is.New(t)
	ours := NewTimestampEcho(start, 1<<63)
	stamp := ours.Stamp(start.Add(time.Second))
	since, ok := ours.NotBefore(start.Add(5*time.Second), stamp)
	is.True(ok)
	is.Equal(since, start.Add(time.Second))

	restarted := NewTimestampEcho(start.Add(2*time.Second), 1<<62)
	_, ok = restarted.NotBefore(start.Add(9*time.Second), stamp)
	is.True(!ok) // a stamp from before the restart dates nothing
	_, ok = ours.NotBefore(start.Add(5*time.Second), 0)
	is.True(!ok)
	_, ok = ours.NotBefore(start, stamp)
	is.True(!ok) // a stamp from the future is none of ours
}

// world is a process, control and an operator with a network that delays,
// repeats and loses, and clocks that run at slightly different speeds.
type world struct {
	now time.Time
	// accepted lists when each revision was accepted; index i is revision i+1.
	accepted []time.Time
	process  *Permission
	peer     *Permission
	// has is the revision of process and peer.
	has  [2]uint64
	seq  uint64
	wire []message
}

type message struct {
	to       int
	echo     uint64
	revision uint64
	left     time.Duration
	since    time.Time
}

// TestAcceptedChangeIsInForceOrThePermissionHasLapsed checks the claim on which
// taking a zone out rests, for a process that also adopts from a peer.
func TestAcceptedChangeIsInForceOrThePermissionHasLapsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, process: NewPermission(span, margin), peer: NewPermission(span, margin)}
		both := [2]*Permission{w.process, w.peer}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"accept": func(*rapid.T) { w.accepted = append(w.accepted, w.now) },
			"heartbeat": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "process")
				w.seq++
				both[i].HeartbeatSent(w.now, w.seq)
				// Control's echo stands for the revisions accepted when it came in.
				w.wire = append(w.wire, message{to: i, echo: w.seq, revision: uint64(len(w.accepted))})
			},
			"ask peer": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "process")
				w.wire = append(w.wire, message{to: i, revision: w.has[1-i], left: both[1-i].Left(w.now), since: w.now})
			},
			"deliver": func(t *rapid.T) {
				if len(w.wire) == 0 {
					return
				}
				at := rapid.IntRange(0, len(w.wire)-1).Draw(t, "message")
				m := w.wire[at]
				if rapid.Bool().Draw(t, "last copy") {
					w.wire = append(w.wire[:at], w.wire[at+1:]...)
				}
				if m.echo != 0 {
					w.has[m.to] = max(w.has[m.to], m.revision)
					both[m.to].HeartbeatEchoed(m.echo)
					return
				}
				both[m.to].Adopt(m.since, w.has[m.to], m.revision, m.left)
			},
			"": func(t *rapid.T) {
				for i, p := range both {
					for r, at := range w.accepted {
						if w.has[i] < uint64(r+1) && p.Fresh(w.now) && w.now.Sub(at) >= span {
							t.Fatalf("process %d works without revision %d, accepted %v ago", i, r+1, w.now.Sub(at))
						}
					}
				}
			},
		})
	})
}
