package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// table holds the sessions of this replica and the endpoint list. Its lock is
// "control.table" of kernel.LockOrder.
type table struct {
	mu       sync.Mutex
	started  time.Time
	grace    time.Duration
	sessions map[string]*session
	list     *directory
}

// newTable returns an empty table. An endpoint that is silent for grace is
// dropped from the list.
func newTable(now time.Time, grace time.Duration) *table {
	return &table{started: now, grace: grace, sessions: map[string]*session{}, list: newDirectory()}
}

// key tells the sessions apart: a sidecar's is its endpoint's, so that of two
// sidecars for one endpoint only one has a session.
func (s *session) key() string {
	if s.role == wire.RoleSidecar {
		return "endpoint/" + s.hello.Endpoint.Name
	}
	return "process/" + s.hello.Name
}

// add enters a session in place of an older one of the same process. It refuses
// an older incarnation of an endpoint.
func (t *table) add(now time.Time, s *session) bool {
	t.mu.Lock()
	if s.endpoint != nil && !t.list.announce(now, *s.endpoint) {
		t.mu.Unlock()
		return false
	}
	old := t.sessions[s.key()]
	t.sessions[s.key()] = s
	t.mu.Unlock()
	if old != nil {
		old.stream.Abort()
	}
	t.notifyAll()
	return true
}

// remove drops the session. Its endpoint stays listed for the grace time, in
// which the sidecar may open a session with another replica.
func (t *table) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.key()] == s {
		delete(t.sessions, s.key())
	}
}

// beat enters a heartbeat. It reports false when the session was replaced.
func (t *table) beat(now time.Time, s *session, b *wire.Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.key()] != s {
		return false
	}
	s.heard = now
	s.seq = max(s.seq, b.Seq)
	s.revision = max(s.revision, b.Revision)
	s.demand = b.Demand
	if s.endpoint == nil {
		return true
	}
	if b.Endpoint == nil {
		t.list.heard(now, s.endpoint.Name, s.endpoint.Incarnation)
		return true
	}
	before := t.list.version
	if b.Endpoint.Name != s.endpoint.Name || !t.list.announce(now, *b.Endpoint) {
		return false
	}
	s.endpoint = b.Endpoint
	if t.list.version != before {
		t.notifyLocked()
	}
	return true
}

// waiting is a heartbeat that no barrier has covered yet.
type waiting struct {
	session *session
	seq     uint64
	heard   time.Time
	demand  []wire.Share
}

// pending returns the heartbeats that no barrier has covered yet.
func (t *table) pending() []waiting {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []waiting
	for _, s := range t.sessions {
		if s.seq > s.echo {
			out = append(out, waiting{session: s, seq: s.seq, heard: s.heard, demand: s.demand})
		}
	}
	return out
}

// covered marks heartbeats as covered by a barrier that began after they came in.
func (t *table) covered(beats []waiting) {
	t.mu.Lock()
	for _, w := range beats {
		w.session.echo = max(w.session.echo, w.seq)
		w.session.granted = w.heard
	}
	t.mu.Unlock()
	for _, w := range beats {
		w.session.notify()
	}
}

// lent leaves shares for the session's sender.
func (t *table) lent(s *session, shares []wire.Share) {
	t.mu.Lock()
	s.shares = shares
	t.mu.Unlock()
	s.notify()
}

// take returns the session's echo and the shares that wait for it.
func (t *table) take(s *session) (uint64, []wire.Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := s.shares
	s.shares = nil
	return s.echo, shares
}

// endpointsSince returns the changes of the endpoint list after version. Once
// the list has settled, a session that was not told so gets it whole.
func (t *table) endpointsSince(now time.Time, version uint64, toldSettled bool) (delta, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := now.Sub(t.started) >= t.grace
	if settled && !toldSettled {
		version = 0
	}
	d := t.list.since(version)
	d.reset = d.reset && settled
	return d, settled
}

// sweep drops endpoints that fell silent and ends sessions that did, and returns
// the names of the endpoints.
func (t *table) sweep(now time.Time) []string {
	t.mu.Lock()
	deadline := now.Add(-t.grace)
	gone := t.list.expire(deadline)
	var silent []*session
	for _, s := range t.sessions {
		if s.heard.Before(deadline) {
			silent = append(silent, s)
		}
	}
	t.mu.Unlock()
	for _, s := range silent {
		s.stream.Abort()
	}
	t.notifyAll()
	return gone
}

func (t *table) notifyAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notifyLocked()
}

// notifyLocked tells every session that there may be news; it never blocks.
func (t *table) notifyLocked() {
	for _, s := range t.sessions {
		s.notify()
	}
}

// processes lists the sessions by name.
func (t *table) processes(now time.Time) []command.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []command.Process
	for _, key := range slices.Sorted(maps.Keys(t.sessions)) {
		out = append(out, t.sessions[key].process(now))
	}
	return out
}

func (s *session) process(now time.Time) command.Process {
	return command.Process{
		Name: s.hello.Name, Role: s.hello.Role, Region: s.hello.Region, Zone: s.hello.Zone,
		Revision: s.revision, Silent: now.Sub(s.heard),
	}
}

// lagging lists the processes that may hold a permission for a revision lower
// than revision: an echo was granted within the span and they have not said that
// they have the revision.
func (t *table) lagging(now time.Time, revision uint64, span time.Duration) []command.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []command.Process
	for _, key := range slices.Sorted(maps.Keys(t.sessions)) {
		s := t.sessions[key]
		if s.revision < revision && now.Sub(s.granted) < span {
			out = append(out, s.process(now))
		}
	}
	return out
}

// endpoints lists all endpoints by name.
func (t *table) endpoints() []wire.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.list()
}
