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

// table holds the sessions of this replica, the sessions that other replicas report, and the
// endpoint list. Its methods are safe for concurrent use.
type table struct {
	// mu is "control.table" of kernel.LockOrder.
	mu sync.Mutex
	// started is when the table was created.
	started time.Time
	// grace is the time after the last sign of life at which an endpoint or a session is
	// removed.
	grace time.Duration
	// sessions holds the sessions of this replica by peerSession.key.
	sessions map[string]*peerSession
	// remotes holds the sessions that the other replicas report.
	remotes map[replica.ID]*remote
	// registered holds the direct endpoints that announced themselves here, by name.
	registered map[string]*registration
	// list is the endpoint list.
	list *directory
}

// newTable returns an empty table that is created at now.
func newTable(now time.Time, grace time.Duration) *table {
	return &table{
		started: now, grace: grace, sessions: map[string]*peerSession{},
		remotes: map[replica.ID]*remote{}, registered: map[string]*registration{}, list: newDirectory(),
	}
}

// key returns the key of the session in table.sessions. Sidecars use the name of the endpoint,
// so that only one of two sidecars for the same endpoint has a session.
func (s *peerSession) key() string {
	if s.role == wire.RoleSidecar {
		return "endpoint/" + s.hello.Endpoint.Name
	}
	return processKey(s.hello.Name)
}

// processKey returns the key of the session of an entry or operator.
func processKey(name string) string { return "process/" + name }

// add adds a session and ends an older one with the same key. It returns false for a session
// of an outdated incarnation of an endpoint, which it does not add.
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

// remove removes the session unless a newer one has replaced it. Its endpoint stays listed for
// the grace time, in which the sidecar may open a session with another replica.
func (t *table) remove(s *peerSession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[s.key()] == s {
		delete(t.sessions, s.key())
	}
}

// heartbeat records a heartbeat of the session. It returns false if the session or the
// endpoint's incarnation was replaced, or the heartbeat names another endpoint; the session
// then ends.
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

// pendingHeartbeat is a heartbeat that no barrier has covered yet. For a session with another
// replica, it is only the demand for shares that the replica has reported, since that replica
// echoes the heartbeat itself. Either session or remote is set.
type pendingHeartbeat struct {
	session *peerSession
	remote  *remote
	process string
	seq     uint64
	seen    time.Time
	demand  []wire.Share
}

// pendingHeartbeats returns the heartbeats that no barrier has covered yet, and the demands that
// other replicas have reported. It returns each reported demand only once.
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

// markCovered marks heartbeats as covered by a barrier that began after they arrived, so that
// they are echoed.
func (t *table) markCovered(heartbeats []pendingHeartbeat) {
	t.mu.Lock()
	for _, h := range heartbeats {
		if h.session != nil {
			h.session.echo = max(h.session.echo, h.seq)
			h.session.permittedFrom = h.seen
		}
	}
	t.mu.Unlock()
	for _, h := range heartbeats {
		if h.session != nil {
			h.session.notify()
		}
	}
}

// setShares queues granted shares for the session's next update.
func (t *table) setShares(s *peerSession, shares []wire.Share) {
	t.mu.Lock()
	s.shares = shares
	t.mu.Unlock()
	s.notify()
}

// takeEchoAndShares returns the session's echo, and returns and removes its queued shares.
func (t *table) takeEchoAndShares(s *peerSession) (uint64, []wire.Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := s.shares
	s.shares = nil
	return s.echo, shares
}

// endpointsSince returns the changes of the endpoint list after version, and whether the list
// has settled. sentSettled reports whether the session has received an update since the list
// settled; if not, and the list has settled, endpointsSince returns the complete list.
// delta.reset stays unset until the list has settled.
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

// sweep removes endpoints, registrations and sessions without a sign of life for the grace
// time. It returns the names of the removed endpoints.
func (t *table) sweep(now time.Time) []string {
	t.mu.Lock()
	deadline := now.Add(-t.grace)
	expired := t.list.expire(deadline)
	t.forgetRegistrations(deadline)
	t.list.forgetDepartures(deadline.Add(-departureMemory))
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
	return expired
}

// notifyAll signals every session that there may be an update to send. It never blocks on I/O.
func (t *table) notifyAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notifyLocked()
}

// notifyLocked is notifyAll for callers that hold t.mu.
func (t *table) notifyLocked() {
	for _, s := range t.sessions {
		s.notify()
	}
}

// processes returns the processes that have a session with any replica, sorted by name.
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

// entry is an entry that has a session with a replica.
type entry struct {
	addr, zone string
}

// entries returns the entries that have a session with any replica, sorted by address.
func (t *table) entries() []entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []entry
	for _, s := range t.sessions {
		if s.hello.Addr != "" {
			out = append(out, entry{s.hello.Addr, s.hello.Zone})
		}
	}
	for _, r := range t.remotes {
		for _, s := range r.sessions {
			if s.Addr != "" {
				out = append(out, entry{s.Addr, s.Zone})
			}
		}
	}
	slices.SortFunc(out, func(a, b entry) int { return cmp.Or(cmp.Compare(a.addr, b.addr), cmp.Compare(a.zone, b.zone)) })
	return slices.CompactFunc(out, func(a, b entry) bool { return a.addr == b.addr })
}

// sortProcesses sorts processes by name. A process that has moved to another replica may be
// listed twice; sortProcesses keeps the one with the latest sign of life.
func sortProcesses(list []command.Process) []command.Process {
	slices.SortFunc(list, func(a, b command.Process) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Silent, b.Silent))
	})
	return slices.CompactFunc(list, func(a, b command.Process) bool { return a.Name == b.Name })
}

// process describes the session's process at now.
func (s *peerSession) process(now time.Time) command.Process {
	return command.Process{
		Name: s.hello.Name, Role: s.hello.Role, Region: s.hello.Region, Zone: s.hello.Zone,
		Revision: s.revision, Silent: now.Sub(s.seen),
	}
}

// lagging returns the processes that may hold a permission for a configuration older than
// revision: those that have not reported to have the revision and whose permission may not
// have expired. Of the sessions with other replicas, it lists all that lack the revision. A
// replica that does not report is listed itself, because it may have any number of such
// processes.
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

// unknown reports whether the list has settled and no endpoint of that name is listed.
func (t *table) unknown(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.list.members[name]
	return !ok && t.settled(now)
}

// settled reports whether this replica has been running for the grace time, in which all
// endpoints have had the time to announce themselves.
func (t *table) settled(now time.Time) bool { return now.Sub(t.started) >= t.grace }

// endpoints returns all endpoints, sorted by name.
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
