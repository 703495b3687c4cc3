package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

const (
	duration = 3 * time.Second
	margin   = 150 * time.Millisecond
)

func TestPermissionCountsFromWhenTheHeartbeatWasSent(t *testing.T) {
	is := is.New(t)
	p := NewPermission(duration, margin)
	is.True(!p.Fresh(start))
	p.HeartbeatSent(start, 1)
	p.HeartbeatEchoed(1)
	is.Equal(p.Left(start.Add(time.Second)), duration-margin-time.Second)
	is.True(!p.Fresh(start.Add(duration - margin))) // expires without a call
}

// TestPermissionIsNotRenewedWithoutProof checks that echoes, peers and polls which do not
// prove a current configuration leave the permission expired.
func TestPermissionIsNotRenewedWithoutProof(t *testing.T) {
	tests := map[string]func(p *Permission){
		"echo of a heartbeat never sent": func(p *Permission) { p.HeartbeatEchoed(9) },
		"echo of heartbeat zero":         func(p *Permission) { p.HeartbeatEchoed(0) },
		"echo of an old session":         func(p *Permission) { p.HeartbeatSent(start, 1); p.Reset(); p.HeartbeatEchoed(1) },
		"peer with a higher revision": func(p *Permission) {
			p.Adopt(start, 4, 5, duration)
		},
		"peer with expired permission":            func(p *Permission) { p.Adopt(start, 5, 5, 0) },
		"peer with only the margin left":          func(p *Permission) { p.Adopt(start, 5, 5, margin) },
		"peer message from a lease ago":           func(p *Permission) { p.Adopt(start.Add(-duration), 5, 5, duration) },
		"poll that began a lease ago":             func(p *Permission) { p.RenewFrom(start.Add(-duration)) },
		"echo of a forgotten heartbeat":           func(p *Permission) { fillUnanswered(p); p.HeartbeatEchoed(1) },
		"peer that claimed an hour, a minute ago": func(p *Permission) { p.Adopt(start.Add(-time.Minute), 5, 5, time.Hour) },
	}
	for name, update := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPermission(duration, margin)
			update(p)
			is.New(t).True(!p.Fresh(start))
		})
	}
}

// fillUnanswered sends so many heartbeats that the permission forgets the first one.
func fillUnanswered(p *Permission) {
	for seq := uint64(1); seq <= maxUnanswered+1; seq++ {
		p.HeartbeatSent(start.Add(-duration), seq)
	}
}

func TestPermissionAdoptsAPeerWithoutNewerRevision(t *testing.T) {
	is := is.New(t)
	p := NewPermission(duration, margin)
	is.True(p.Adopt(start, 7, 6, time.Second))
	is.Equal(p.Left(start), time.Second-margin)
	p.HeartbeatSent(start.Add(-time.Second), 1)
	p.HeartbeatEchoed(1)
	is.Equal(p.Left(start), duration-margin-time.Second) // the later expiry counts
}

func TestPollNeedsAMajorityWithoutNewerChanges(t *testing.T) {
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
		"the same replica twice":     {[]ReplicaStatus{settled(1, 5, three), settled(1, 5, three)}, false},
		"two of three":               {[]ReplicaStatus{settled(1, 5, three), settled(2, 4, three)}, true},
		"one has a newer revision":   {[]ReplicaStatus{settled(1, 5, three), settled(2, 5, three), settled(3, 6, three)}, false},
		"one is not settled":         {[]ReplicaStatus{settled(1, 5, three), {Replica: 2, Revision: 5, Voters: three}}, false},
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

// TestNotBefore checks the time derived from an echoed stamp, and that stamps from before a
// restart, from the future and of value zero give none.
func TestNotBefore(t *testing.T) {
	is := is.New(t)
	echo := NewTimestampEcho(start, 1<<63)
	stamp := echo.Stamp(start.Add(time.Second))
	since, ok := echo.NotBefore(start.Add(5*time.Second), stamp)
	is.True(ok)
	is.Equal(since, start.Add(time.Second))

	restarted := NewTimestampEcho(start.Add(2*time.Second), 1<<62)
	_, ok = restarted.NotBefore(start.Add(9*time.Second), stamp)
	is.True(!ok) // a stamp from before the restart
	_, ok = echo.NotBefore(start.Add(5*time.Second), 0)
	is.True(!ok)
	_, ok = echo.NotBefore(start, stamp)
	is.True(!ok) // a stamp from the future
}

// simulation is control and two processes that are peers of one another, with a network
// that delays, duplicates, reorders and loses messages.
type simulation struct {
	now time.Time
	// accepted lists when each revision was accepted; index i is revision i+1.
	accepted []time.Time
	process  *Permission
	peer     *Permission
	// revisions holds the revisions of process and peer.
	revisions [2]uint64
	seq       uint64
	// inTransit holds the messages in transit.
	inTransit []message
}

// message is the echo of a heartbeat, or a peer's permission if echo is zero.
type message struct {
	to       int
	echo     uint64
	revision uint64
	left     time.Duration
	since    time.Time
}

// TestAcceptedChangeIsAppliedOrThePermissionHasExpired checks that one duration after a
// change was accepted, each process has the change or an expired permission, also when the
// processes adopt one another's permissions. Taking an availability zone out of service
// relies on this.
func TestAcceptedChangeIsAppliedOrThePermissionHasExpired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, process: NewPermission(duration, margin), peer: NewPermission(duration, margin)}
		permissions := [2]*Permission{s.process, s.peer}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"accept": func(*rapid.T) { s.accepted = append(s.accepted, s.now) },
			"heartbeat": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "process")
				s.seq++
				permissions[i].HeartbeatSent(s.now, s.seq)
				// Control's echo carries all revisions accepted when the heartbeat arrives.
				s.inTransit = append(s.inTransit, message{to: i, echo: s.seq, revision: uint64(len(s.accepted))})
			},
			"ask peer": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "process")
				s.inTransit = append(s.inTransit, message{to: i, revision: s.revisions[1-i], left: permissions[1-i].Left(s.now), since: s.now})
			},
			"deliver": func(t *rapid.T) {
				if len(s.inTransit) == 0 {
					return
				}
				at := rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "message")
				m := s.inTransit[at]
				if rapid.Bool().Draw(t, "last copy") {
					s.inTransit = append(s.inTransit[:at], s.inTransit[at+1:]...)
				}
				if m.echo != 0 {
					s.revisions[m.to] = max(s.revisions[m.to], m.revision)
					permissions[m.to].HeartbeatEchoed(m.echo)
					return
				}
				permissions[m.to].Adopt(m.since, s.revisions[m.to], m.revision, m.left)
			},
			"": func(t *rapid.T) {
				for i, p := range permissions {
					for r, at := range s.accepted {
						if s.revisions[i] < uint64(r+1) && p.Fresh(s.now) && s.now.Sub(at) >= duration {
							t.Fatalf("process %d has a valid permission without revision %d, accepted %v ago", i, r+1, s.now.Sub(at))
						}
					}
				}
			},
		})
	})
}
