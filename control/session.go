package control

import (
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// flushInterval is the least time between two updates of a session, so that a
// burst of changes travels as one.
const flushInterval = 20 * time.Millisecond

// peerSession is one process's stream to this replica.
type peerSession struct {
	hello  wire.Hello
	role   wire.Role
	stream wire.Stream
	// wake has one place: it tells the sender that there may be news.
	wake chan struct{}

	// The fields below belong to the table and are read under its lock.

	// seq is the newest heartbeat that came in and echo the newest after which
	// the configuration was known to be current.
	seq  uint64
	echo uint64
	// seen is when the newest heartbeat came in.
	seen time.Time
	// permittedFrom is when the heartbeat that echo names came in.
	permittedFrom time.Time
	// revision is what the process says it has.
	revision uint64
	endpoint *wire.Endpoint
	// demand came with the newest heartbeat; shares wait to be sent.
	demand []wire.Share
	shares []wire.Share
}

// sentState is what a session's sender has sent so far.
type sentState struct {
	revision         uint64
	echo             uint64
	directoryVersion uint64
	settled          bool
	ordersVersion    uint64
	suspectsVersion  uint64
	leader           string
	replicas         []string
	entries          []string
	initialized      bool
}

func newSession(h *wire.Hello, stream wire.Stream, now time.Time) *peerSession {
	return &peerSession{
		hello:    *h,
		role:     wire.Role(h.Role),
		stream:   stream,
		wake:     make(chan struct{}, 1),
		seen:     now,
		revision: h.Revision,
		endpoint: h.Endpoint,
	}
}

func (s *peerSession) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// serveSession runs a session until its stream ends.
func (s *Server) serveSession(stream wire.Stream, hello *wire.Hello) {
	if err := checkHello(stream.Peer(), hello); err != nil {
		s.log.Warn("session refused", "peer", stream.Peer().Name, "role", stream.Peer().Role, "error", err)
		stream.Abort()
		return
	}
	ses := newSession(hello, stream, s.clock.Now())
	if !s.table.add(s.clock.Now(), ses) {
		s.log.Warn("session refused", "peer", hello.Name, "error", "an older incarnation of the endpoint")
		stream.Abort()
		return
	}
	s.log.Info("session opened", "process", hello.Name, "role", hello.Role, "zone", hello.Zone, "revision", hello.Revision)
	sent := make(chan error, 1)
	go func() { sent <- s.sendUpdates(ses) }()
	err := s.receiveHeartbeats(ses)
	stream.Abort()
	if sendErr := <-sent; err == nil {
		err = sendErr
	}
	s.table.remove(ses)
	s.log.Info("session closed", "process", hello.Name, "role", hello.Role, "error", err)
}

func checkHello(p wire.Peer, h *wire.Hello) error {
	if string(p.Role) != h.Role || p.Name != h.Name {
		return errors.Errorf("certificate of %s %s cannot open a session of %s %s", p.Role, p.Name, h.Role, h.Name)
	}
	switch p.Role {
	case wire.RoleEntry, wire.RoleOperator:
		return nil
	case wire.RoleSidecar:
		if h.Endpoint == nil {
			return errors.New("sidecar names no endpoint")
		}
		return nil
	}
	return errors.Errorf("role %q has no sessions", p.Role)
}

func (s *Server) receiveHeartbeats(ses *peerSession) error {
	for {
		m, err := ses.stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		heartbeat, ok := m.(*wire.Heartbeat)
		if !ok {
			return errors.Errorf("unexpected %T in a session", m)
		}
		if !s.table.heartbeat(s.clock.Now(), ses, heartbeat) {
			return errors.New("a newer session of the process or endpoint took over")
		}
		s.barriers.notify()
	}
}

func (s *Server) sendUpdates(ses *peerSession) error {
	t := sentState{revision: ses.hello.Revision}
	for {
		if u := s.compose(ses, &t); u != nil {
			if err := ses.stream.Send(u); err != nil {
				return err
			}
		}
		select {
		case <-s.clock.After(flushInterval):
		case <-ses.stream.Context().Done():
			return nil
		}
		select {
		case <-ses.wake:
		case <-ses.stream.Context().Done():
			return nil
		}
	}
}

// compose returns what the session has not been told yet, or nil. It reads the
// echo before the configuration: the echo promises that the update holds every
// change accepted before the heartbeat, so the configuration must be the later read.
func (s *Server) compose(ses *peerSession, t *sentState) *wire.Update {
	u := &wire.Update{Leader: s.leaderName()}
	changed := !t.initialized || u.Leader != t.leader
	t.initialized, t.leader = true, u.Leader
	echo, shares := s.table.takeEchoAndShares(ses)
	if echo > t.echo {
		u.Echo, t.echo, changed = echo, echo, true
	}
	if len(shares) > 0 {
		u.Shares, changed = shares, true
	}
	s.store.read(func(m *state.Machine) {
		changed = addConfiguration(u, m, ses.role, t) || changed
		changed = addOrders(u, m, ses, t) || changed
		changed = addSuspects(u, m, t) || changed
	})
	if ses.role != wire.RoleSidecar {
		changed = s.addEndpoints(u, t) || changed
		changed = s.addPeers(u, t) || changed
	}
	if !changed {
		return nil
	}
	return u
}

// addConfiguration adds the changes after t.revision, or the whole document when
// the process has none or is too far behind.
func addConfiguration(u *wire.Update, m *state.Machine, role wire.Role, t *sentState) bool {
	doc := m.Document()
	u.Revision = doc.Revision
	if doc.Revision <= t.revision {
		return false
	}
	changes, ok := m.ChangesSince(t.revision)
	if t.revision == 0 || !ok {
		u.Snapshot = forRole(doc, role)
	} else {
		u.Changes = changesForRole(changes, role)
	}
	t.revision = doc.Revision
	return true
}

func forRole(d *config.Document, role wire.Role) *config.Document {
	if role == wire.RoleSidecar {
		return d.WithoutAccounts()
	}
	return d
}

func changesForRole(changes []config.Revised, role wire.Role) []config.Revised {
	out := make([]config.Revised, len(changes))
	for i, r := range changes {
		if role == wire.RoleSidecar {
			r = r.WithoutAccounts()
		}
		out[i] = r
	}
	return out
}

// addOrders adds the standing orders of the session's own endpoint.
func addOrders(u *wire.Update, m *state.Machine, ses *peerSession, t *sentState) bool {
	if ses.role != wire.RoleSidecar || m.OrdersVersion() == t.ordersVersion {
		return false
	}
	t.ordersVersion = m.OrdersVersion()
	u.Orders = m.Orders(ses.hello.Endpoint.Name, ses.hello.Endpoint.Incarnation)
	return len(u.Orders) > 0
}

// addSuspects adds the requests that run alone or not at all.
func addSuspects(u *wire.Update, m *state.Machine, t *sentState) bool {
	if m.SuspectsVersion() == t.suspectsVersion {
		return false
	}
	t.suspectsVersion = m.SuspectsVersion()
	u.Suspects, u.Quarantine, u.HasQuarantine = m.Suspects(), m.Quarantine(), true
	return true
}

// addPeers adds where the replicas are and where the entries meet.
func (s *Server) addPeers(u *wire.Update, t *sentState) bool {
	changed := false
	if replicas := s.memberAddrs(); !slices.Equal(replicas, t.replicas) {
		u.Replicas, t.replicas, changed = replicas, replicas, true
	}
	if entries := s.table.entries(); !slices.Equal(entries, t.entries) {
		u.Entries, t.entries, changed = entries, entries, true
	}
	return changed
}

// addEndpoints adds the changes of the endpoint list. Until the list has settled
// after the replica's start it may lack endpoints that still have to announce
// themselves here, so it is not yet sent as the whole list.
func (s *Server) addEndpoints(u *wire.Update, t *sentState) bool {
	d, settled := s.table.endpointsSince(s.clock.Now(), t.directoryVersion, t.settled)
	t.directoryVersion, t.settled = d.version, settled
	u.Endpoints, u.Removed, u.Reset = d.endpoints, d.gone, d.reset
	return d.reset || len(d.endpoints) > 0 || len(d.gone) > 0
}
