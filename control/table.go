package control

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// table holds the sessions of this replica and the endpoint list. Its lock is
// "control.table" of kernel.LockOrder.
type table struct {
	mu       sync.Mutex
	started  time.Time
	grace    time.Duration
	sessions map[string]*peerSession
	// remotes holds what the other replicas report of their sessions.
	remotes map[replica.ID]*remote
	// registered holds the direct endpoints that announced themselves here.
	registered map[string]*registration
	list       *directory
}

// newTable returns an empty table. An endpoint that is silent for grace is
// dropped from the list.
func newTable(now time.Time, grace time.Duration) *table {
	return &table{
		started: now, grace: grace, sessions: map[string]*peerSession{},
		remotes: map[replica.ID]*remote{}, registered: map[string]*registration{}, list: newDirectory(),
	}
}

// key tells the sessions apart: a sidecar's is its endpoint's, so that of two
// sidecars for one endpoint only one has a session.
func (s *peerSession) key() string {
	if s.role == wire.RoleSidecar {
		return "endpoint/" + s.hello.Endpoint.Name
	}
	return processKey(s.hello.Name)
}

func processKey(name string) string { return "process/" + name }

// add enters a session in place of an older one of the same process. It refuses
// an older incarnation of an endpoint.
func (t *table) add(now time.Time, s *peerSession) bool {
	t.mu.Lock()
	if s.endpoint != nil && t.list.announce(now, *s.endpoint) == outdated {
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
func (t *table) remove(s *peerSession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.key()] == s {
		delete(t.sessions, s.key())
	}
}

// heartbeat enters a heartbeat. It reports false when the session was replaced.
func (t *table) heartbeat(now time.Time, s *peerSession, b *wire.Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.key()] != s {
		return false
	}
	s.seen = now
	s.seq = max(s.seq, b.Seq)
	s.revision = max(s.revision, b.Revision)
	s.demand = b.Demand
	if s.endpoint == nil {
		return true
	}
	if b.Endpoint == nil {
		t.list.seen(now, s.endpoint.Name, s.endpoint.Incarnation)
		return true
	}
	if b.Endpoint.Name != s.endpoint.Name {
		return false
	}
	switch t.list.announce(now, *b.Endpoint) {
	case outdated:
		return false
	case published:
		s.endpoint = b.Endpoint
		t.notifyLocked()
	}
	return true
}

// pendingHeartbeat is a heartbeat that no barrier has covered yet, of a session here, or
// only its demand, of a session with another replica.
type pendingHeartbeat struct {
	session *peerSession
	remote  *remote
	process string
	seq     uint64
	seen    time.Time
	demand  []wire.Share
}

// pendingHeartbeats returns the heartbeats that no barrier has covered yet, and takes the
// demands that other replicas passed on.
func (t *table) pendingHeartbeats() []pendingHeartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []pendingHeartbeat
	for _, s := range t.sessions {
		if s.seq > s.echo {
			out = append(out, pendingHeartbeat{
				session: s, process: s.hello.Name, seq: s.seq, seen: s.seen, demand: s.demand,
			})
		}
	}
	for _, r := range t.remotes {
		for _, d := range r.demands {
			out = append(out, pendingHeartbeat{remote: r, process: d.Process, seq: d.Seq, seen: r.seen, demand: d.Wanted})
		}
		clear(r.demands)
	}
	return out
}

// markCovered marks heartbeats as markCovered by a barrier that began after they came in.
func (t *table) markCovered(heartbeats []pendingHeartbeat) {
	t.mu.Lock()
	for _, w := range heartbeats {
		if w.session != nil {
			w.session.echo = max(w.session.echo, w.seq)
			w.session.permittedFrom = w.seen
		}
	}
	t.mu.Unlock()
	for _, w := range heartbeats {
		if w.session != nil {
			w.session.notify()
		}
	}
}

// setShares leaves shares for the session's sender.
func (t *table) setShares(s *peerSession, shares []wire.Share) {
	t.mu.Lock()
	s.shares = shares
	t.mu.Unlock()
	s.notify()
}

// takeEchoAndShares returns the session's echo and the shares that wait for it.
func (t *table) takeEchoAndShares(s *peerSession) (uint64, []wire.Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := s.shares
	s.shares = nil
	return s.echo, shares
}

// endpointsSince returns the changes of the endpoint list after version. Once
// the list has settled, a session that was not told so gets it whole.
func (t *table) endpointsSince(now time.Time, version uint64, sentSettled bool) (delta, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := t.settled(now)
	if settled && !sentSettled {
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
	t.forgetRegistrations(deadline)
	var silent []*peerSession
	for _, s := range t.sessions {
		if s.seen.Before(deadline) {
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

// processes lists the sessions of all replicas by name.
func (t *table) processes(now time.Time) []command.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []command.Process
	for _, s := range t.sessions {
		out = append(out, s.process(now))
	}
	for _, r := range t.remotes {
		for _, s := range r.sessions {
			if s.Role != roleEndpoint {
				out = append(out, s.process(now.Sub(r.seen)))
			}
		}
	}
	return sortProcesses(out)
}

// entries lists the addresses of the entries that have a session with any replica.
func (t *table) entries() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, s := range t.sessions {
		if s.hello.Addr != "" {
			out = append(out, s.hello.Addr)
		}
	}
	for _, r := range t.remotes {
		for _, s := range r.sessions {
			if s.Addr != "" {
				out = append(out, s.Addr)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// sortProcesses sorts by name and keeps, of a process that changed its replica,
// the session that was heard last.
func sortProcesses(list []command.Process) []command.Process {
	slices.SortFunc(list, func(a, b command.Process) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Silent, b.Silent))
	})
	return slices.CompactFunc(list, func(a, b command.Process) bool { return a.Name == b.Name })
}

func (s *peerSession) process(now time.Time) command.Process {
	return command.Process{
		Name: s.hello.Name, Role: s.hello.Role, Region: s.hello.Region, Zone: s.hello.Zone,
		Revision: s.revision, Silent: now.Sub(s.seen),
	}
}

// lagging lists the processes that may hold a permission for a revision lower
// than revision: they have not said that they have it, and were heard within the
// span. A replica that does not report may have any number of them.
func (t *table) lagging(now time.Time, revision uint64, lease time.Duration, others []replica.ID) []command.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []command.Process
	for _, s := range t.sessions {
		if s.revision < revision && now.Sub(s.permittedFrom) < lease {
			out = append(out, s.process(now))
		}
	}
	for _, id := range others {
		r, ok := t.remotes[id]
		if !ok {
			out = append(out, command.Process{Name: "replica " + strconv.FormatUint(uint64(id), 10), Role: string(wire.RoleControl)})
			continue
		}
		for _, s := range r.sessions {
			if s.Role != roleEndpoint && s.Revision < revision {
				out = append(out, s.process(now.Sub(r.seen)))
			}
		}
	}
	return sortProcesses(out)
}

// unknown reports that no endpoint of that name has announced itself, once the
// list has settled.
func (t *table) unknown(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.list.members[name]
	return !ok && t.settled(now)
}

// settled reports whether the endpoints have had the time to announce themselves
// since this replica started.
func (t *table) settled(now time.Time) bool { return now.Sub(t.started) >= t.grace }

// endpoints lists all endpoints by name.
func (t *table) endpoints() []wire.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.list()
}

func (t *table) countSessions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}

func (t *table) countEndpoints() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list.members)
}
