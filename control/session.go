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

// flushInterval is the minimum time between two updates of a session, so that a burst of
// changes is sent as one update.
const flushInterval = 20 * time.Millisecond

// peerSession is the session of an entry, sidecar or operator with this replica.
type peerSession struct {
	hello  wire.Hello
	role   wire.Role
	stream wire.Stream
	// wake has a buffer of one. It signals sendUpdates that there may be an update to send.
	wake chan struct{}

	// table.mu guards the fields below.

	// seq is the number of the newest heartbeat that arrived. echo is the number of the
	// newest heartbeat that a barrier has covered: the barrier began after the heartbeat
	// arrived, and has completed. The process gets echo in an update, which renews its
	// permission.
	seq  uint64
	echo uint64
	// seen is when the newest heartbeat arrived.
	seen time.Time
	// permittedFrom is when the heartbeat with the number echo arrived. The process's
	// permission expires at the latest one lease after this time.
	permittedFrom time.Time
	// revision is the configuration revision that the process reports to have.
	revision uint64
	endpoint *wire.Endpoint
	// demand is the demand for shares of the client accounts' limits that the newest heartbeat
	// carried.
	demand []wire.Share
	// shares holds the granted shares that are still to be sent.
	shares []wire.Share
}

// sentState is what sendUpdates has sent on a session so far.
type sentState struct {
	revision         uint64
	echo             uint64
	directoryVersion uint64
	settled          bool
	ordersVersion    uint64
	suspectsVersion  uint64
	leader           string
	replicas         []string
	entries          []entry
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

// notify signals sendUpdates that there may be an update to send. It never blocks.
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

// checkHello checks that the certificate of p belongs to the name and role in h, and that the
// role may have a session.
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

// receiveHeartbeats records the session's heartbeats. It returns nil if the process closes the
// stream.
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

// sendUpdates sends updates on the session until its stream ends.
func (s *Server) sendUpdates(ses *peerSession) error {
	sent := sentState{revision: ses.hello.Revision}
	for {
		if u := s.compose(ses, &sent); u != nil {
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

// compose returns an update with all that was not yet sent on the session, or nil if there is
// nothing to send. It reads the echo before the configuration: a process that gets the echo must
// also have got every change that was accepted before the heartbeat arrived.
func (s *Server) compose(ses *peerSession, sent *sentState) *wire.Update {
	u := &wire.Update{Leader: s.leaderName()}
	changed := !sent.initialized || u.Leader != sent.leader
	sent.initialized, sent.leader = true, u.Leader
	echo, shares := s.table.takeEchoAndShares(ses)
	if echo > sent.echo {
		u.Echo, sent.echo, changed = echo, echo, true
	}
	if len(shares) > 0 {
		u.Shares, changed = shares, true
	}
	s.store.read(func(m *state.Machine) {
		changed = addConfiguration(u, m, ses.role, sent) || changed
		changed = addOrders(u, m, ses, sent) || changed
		changed = addSuspects(u, m, sent) || changed
	})
	if ses.role != wire.RoleSidecar {
		changed = s.addEndpoints(u, sent) || changed
		changed = s.addPeers(u, sent) || changed
	}
	if !changed {
		return nil
	}
	return u
}

// addConfiguration adds the configuration changes after sent.revision, or the complete document
// if the process has none or the changes are no longer kept.
func addConfiguration(u *wire.Update, m *state.Machine, role wire.Role, sent *sentState) bool {
	doc := m.Document()
	u.Revision = doc.Revision
	if doc.Revision <= sent.revision {
		return false
	}
	changes, ok := m.ChangesSince(sent.revision)
	if sent.revision == 0 || !ok {
		u.Snapshot = forRole(doc, role)
	} else {
		u.Changes = changesForRole(changes, role)
	}
	sent.revision = doc.Revision
	return true
}

// forRole returns the part of the configuration that processes of the role need. Sidecars get
// no client accounts.
func forRole(d *config.Document, role wire.Role) *config.Document {
	if role == wire.RoleSidecar {
		return d.WithoutAccounts()
	}
	return d
}

// changesForRole is like forRole, for changes.
func changesForRole(changes []config.ChangeSet, role wire.Role) []config.ChangeSet {
	out := make([]config.ChangeSet, len(changes))
	for i, r := range changes {
		if role == wire.RoleSidecar {
			r = r.WithoutAccounts()
		}
		out[i] = r
	}
	return out
}

// addOrders adds the orders in force for the sidecar's endpoint.
func addOrders(u *wire.Update, m *state.Machine, ses *peerSession, sent *sentState) bool {
	if ses.role != wire.RoleSidecar || m.OrdersVersion() == sent.ordersVersion {
		return false
	}
	sent.ordersVersion = m.OrdersVersion()
	u.Orders = m.Orders(ses.hello.Endpoint.Name, ses.hello.Endpoint.Incarnation)
	return len(u.Orders) > 0
}

// addSuspects adds the digests of suspect requests, which run only under a permit and with no
// other request in flight, and of quarantined requests, which are refused.
func addSuspects(u *wire.Update, m *state.Machine, sent *sentState) bool {
	if m.SuspectsVersion() == sent.suspectsVersion {
		return false
	}
	sent.suspectsVersion = m.SuspectsVersion()
	u.Suspects, u.Quarantine, u.HasQuarantine = m.Suspects(), m.Quarantine(), true
	return true
}

// addPeers adds the addresses of the replicas, and those at which entries reach one another.
func (s *Server) addPeers(u *wire.Update, sent *sentState) bool {
	changed := false
	if replicas := s.memberAddrs(); !slices.Equal(replicas, sent.replicas) {
		u.Replicas, sent.replicas, changed = replicas, replicas, true
	}
	if entries := s.table.entries(); !slices.Equal(entries, sent.entries) {
		sent.entries, changed = entries, true
		for _, e := range entries {
			u.Entries, u.EntryZones = append(u.Entries, e.addr), append(u.EntryZones, e.zone)
		}
	}
	return changed
}

// addEndpoints adds the changes of the endpoint list. Until the list has settled (table.settled),
// it may lack endpoints that have yet to announce themselves here. The update then has no
// Reset, so that the process keeps endpoints that it knows from another replica.
func (s *Server) addEndpoints(u *wire.Update, sent *sentState) bool {
	d, settled := s.table.endpointsSince(s.clock.Now(), sent.directoryVersion, sent.settled)
	sent.directoryVersion, sent.settled = d.version, settled
	u.Endpoints, u.Removed, u.Reset = d.endpoints, d.removed, d.reset
	return d.reset || len(d.endpoints) > 0 || len(d.removed) > 0
}
