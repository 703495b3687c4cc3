package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// groupReport and groupShares are values of wire.ReplicaMessage.Group. groupReport marks
	// session reports, and groupShares marks shares that the leader grants to entries which
	// have their session with another replica.
	groupReport = "report"
	groupShares = "shares"
	// reportInterval is the time between two reports. An empty report is a sign of life.
	reportInterval = 200 * time.Millisecond
)

// report describes the sessions and registrations of one replica to another, so that each
// replica knows all endpoints and the leader knows all processes.
type report struct {
	// Full is set if Sessions lists all sessions and registrations.
	Full bool `cbor:"1,keyasint,omitempty"`
	// Sessions are the new and changed ones. Closed holds the keys of those that ended.
	Sessions []sessionReport `cbor:"2,keyasint,omitempty"`
	Closed   []string        `cbor:"3,keyasint,omitempty"`
	// Demands are the entries' demands for shares. Only the leader gets them.
	Demands []demandReport `cbor:"4,keyasint,omitempty"`
	// Departed are the departures that the stream has not reported yet. Replicas of earlier versions learn of
	// them only from the registrations in Sessions.
	Departed []departureReport `cbor:"5,keyasint,omitempty"`
	// More is set if the rest of the report follows in the next message.
	More bool `cbor:"6,keyasint,omitempty"`
}

// sessionReport describes one session, or one registration with the role roleEndpoint.
type sessionReport struct {
	Key      string         `cbor:"1,keyasint"`
	Name     string         `cbor:"2,keyasint"`
	Role     string         `cbor:"3,keyasint"`
	Region   string         `cbor:"4,keyasint"`
	Zone     string         `cbor:"5,keyasint"`
	Revision uint64         `cbor:"6,keyasint"`
	Endpoint *wire.Endpoint `cbor:"7,keyasint,omitempty"`
	Addr     string         `cbor:"8,keyasint,omitempty"`
}

// demandReport passes on the demand for shares of one entry. Seq numbers the entry's heartbeats.
type demandReport struct {
	Process string       `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"`
	Wanted  []wire.Share `cbor:"3,keyasint,omitempty"`
}

// sharesReport carries granted shares to the replica that has the entry's session.
type sharesReport struct {
	Process string       `cbor:"1,keyasint"`
	Shares  []wire.Share `cbor:"2,keyasint"`
}

// remote holds the sessions that another replica reports, and sends granted shares to that
// replica. table.mu guards seen, sessions and demands.
type remote struct {
	from   replica.ID
	stream wire.Stream
	// seen is when the newest report arrived.
	seen     time.Time
	sessions map[string]sessionReport
	// demands holds the newest demand of each process until a barrier begins.
	demands map[string]demandReport
	// out queues shares for sending. Shares that do not fit are dropped, and the entry
	// demands them again with its next heartbeat.
	out chan sharesReport
}

func newRemote(from replica.ID, stream wire.Stream) *remote {
	return &remote{
		from: from, stream: stream, sessions: map[string]sessionReport{},
		demands: map[string]demandReport{}, out: make(chan sharesReport, maxQueued),
	}
}

// grantShares queues shares for sending. It never blocks.
func (r *remote) grantShares(m sharesReport) {
	select {
	case r.out <- m:
	default:
	}
}

// send sends the queued shares until the stream ends.
func (r *remote) send() {
	for {
		select {
		case <-r.stream.Context().Done():
			return
		case m := <-r.out:
			data, err := wire.Marshal(&m)
			if err == nil {
				err = r.stream.Send(&wire.ReplicaMessage{Group: groupShares, Data: data})
			}
			if err != nil {
				r.stream.Abort()
				return
			}
		}
	}
}

// process returns the reported process, with silent as the time since its last sign of life.
func (r *sessionReport) process(silent time.Duration) command.Process {
	return command.Process{
		Name: r.Name, Role: r.Role, Region: r.Region, Zone: r.Zone, Revision: r.Revision, Silent: silent,
	}
}

// addRemote adds the reports of a new stream from a replica. They replace the reports of an
// earlier stream.
func (t *table) addRemote(r *remote) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remotes[r.from] = r
}

// removeRemote drops the reports of a stream that ended. The reported endpoints stay listed
// for the grace time.
func (t *table) removeRemote(r *remote) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remotes[r.from] == r {
		delete(t.remotes, r.from)
	}
}

// report records one report m of the remote replica r.
func (t *table) report(now time.Time, r *remote, m *report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.seen = now
	if m.Full {
		r.sessions = map[string]sessionReport{}
	}
	before := t.list.version
	for _, d := range m.Departed {
		t.depart(now.Add(-d.Age), incarnation{d.Name, d.Incarnation})
	}
	for _, s := range m.Sessions {
		r.sessions[s.Key] = s
		switch {
		case s.Endpoint == nil:
		case s.Endpoint.Direct:
			if e, result := t.list.announceDirect(now, *s.Endpoint); result != outdated && e.Load.Leaving {
				t.depart(now, incarnationOf(&e))
			}
		default:
			t.list.announce(now, *s.Endpoint)
		}
	}
	for _, key := range m.Closed {
		delete(r.sessions, key)
	}
	for _, s := range r.sessions {
		if s.Endpoint != nil {
			t.list.seen(now, s.Endpoint.Name, s.Endpoint.Incarnation)
		}
	}
	for _, d := range m.Demands {
		r.demands[d.Process] = d
	}
	if t.list.version != before {
		t.notifyLocked()
	}
}

// setRemoteShares queues shares, which the leader has granted to an entry, for the next update
// of the entry's session with this replica.
func (t *table) setRemoteShares(m *sharesReport) {
	t.mu.Lock()
	s := t.sessions[processKey(m.Process)]
	t.mu.Unlock()
	if s != nil {
		t.setShares(s, m.Shares)
	}
}

// reportState is what one stream has reported to another replica so far, by session key.
type reportState struct {
	sessions map[string]sessionReport
	// demands holds the heartbeat numbers of the newest demands reported.
	demands map[string]uint64
	// departed holds the departures that were reported.
	departed map[incarnation]bool
}

// compose returns the changes since the last report on the stream and records them in sent.
// Demands are included if the receiver is the leader.
func (t *table) compose(now time.Time, sent *reportState, toLeader bool) *report {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &report{Full: sent.sessions == nil}
	if m.Full {
		sent.sessions = map[string]sessionReport{}
		sent.demands = map[string]uint64{}
		sent.departed = map[incarnation]bool{}
	}
	m.Departed = t.departureReports(now, sent.departed)
	addChanged := func(key string, r sessionReport) {
		if old, ok := sent.sessions[key]; !ok || !sameReport(&old, &r) {
			m.Sessions = append(m.Sessions, r)
			sent.sessions[key] = r
		}
	}
	t.registrationReports(addChanged)
	for key, s := range t.sessions {
		addChanged(key, s.report(key))
		if toLeader && s.role == wire.RoleEntry && s.seq > sent.demands[key] {
			m.Demands = append(m.Demands, demandReport{Process: s.hello.Name, Seq: s.seq, Wanted: s.demand})
			sent.demands[key] = s.seq
		}
	}
	for key := range sent.sessions {
		if !t.hasKey(key) {
			m.Closed = append(m.Closed, key)
			delete(sent.sessions, key)
			delete(sent.demands, key)
		}
	}
	return m
}

// hasKey reports whether this replica has the session or registration with the key. The caller
// holds t.mu.
func (t *table) hasKey(key string) bool {
	if name, ok := strings.CutPrefix(key, roleEndpoint+"/"); ok && t.registered[name] != nil {
		return true
	}
	return t.sessions[key] != nil
}

// report returns the session's part of a report.
func (s *peerSession) report(key string) sessionReport {
	return sessionReport{
		Key: key, Name: s.hello.Name, Role: s.hello.Role, Region: s.hello.Region, Zone: s.hello.Zone,
		Revision: s.revision, Endpoint: s.endpoint, Addr: s.hello.Addr,
	}
}

// sameReport compares endpoints by pointer. This is sufficient, because an endpoint that is
// announced again unchanged keeps its earlier pointer.
func sameReport(a, b *sessionReport) bool { return *a == *b }

// runReports runs a reporter for each other replica until ctx ends, and follows changes of
// the membership.
func (s *Server) runReports(ctx context.Context) {
	running := map[replica.ID]context.CancelFunc{}
	for {
		s.transport.updateAddrs(s.members())
		others := s.otherReplicas()
		for _, id := range others {
			if _, ok := running[id]; !ok {
				reportCtx, cancel := context.WithCancel(ctx)
				running[id] = cancel
				s.running.Go(func() { s.runReporter(reportCtx, id) })
			}
		}
		for id, cancel := range running {
			if !slices.Contains(others, id) {
				cancel()
				delete(running, id)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(time.Second):
		}
	}
}

// otherReplicas returns the IDs of the other members of the group.
func (s *Server) otherReplicas() []replica.ID {
	var out []replica.ID
	for _, m := range s.members() {
		if m.ID != s.node.Status().ID {
			out = append(out, m.ID)
		}
	}
	return out
}

// runReporter sends reports to one replica, on a new stream after each failure, until ctx ends.
func (s *Server) runReporter(ctx context.Context, to replica.ID) {
	for ctx.Err() == nil {
		switch sent, err := s.reportTo(ctx, to); {
		case err == nil || ctx.Err() != nil:
		case sent:
			s.log.Warn("reports to replica interrupted", "replica", to, "error", err)
		default:
			s.log.Debug("replica gets no reports", "replica", to, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(reportInterval):
		}
	}
}

// reportTo opens a stream to a replica and sends reports on it until the stream fails or ctx
// ends. sent is set if it sent any.
func (s *Server) reportTo(ctx context.Context, to replica.ID) (sent bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, peerOpenTimeout)
	stream, err := s.transport.dial(bounded, to)
	cancel()
	if err != nil {
		return false, err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	s.running.Go(func() { s.receiveShares(stream) })
	state := &reportState{}
	for {
		m := s.table.compose(s.clock.Now(), state, s.node.Status().Leader == to)
		parts, err := m.encode(func(record string, err error) {
			s.log.Warn("record left out of report", "replica", to, "record", record, "error", err)
		})
		if err != nil {
			return sent, err
		}
		// The deadline also applies to receiving shares. Each report extends it, so
		// that receiving continues while reports can be sent.
		if err := stream.SetDeadline(s.clock.Now().Add(peerSilence)); err != nil {
			return sent, err
		}
		for _, data := range parts {
			if err := stream.Send(&wire.ReplicaMessage{Group: groupReport, Data: data}); err != nil {
				return sent, err
			}
		}
		sent = true
		select {
		case <-stream.Context().Done():
			return sent, errors.New("stream was closed")
		case <-s.clock.After(reportInterval):
		}
	}
}

// receiveShares passes on the shares that the leader grants, until the stream ends.
func (s *Server) receiveShares(stream wire.Stream) {
	defer stream.Abort()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		var shares sharesReport
		envelope, ok := m.(*wire.ReplicaMessage)
		if !ok || envelope.Group != groupShares || wire.Unmarshal(envelope.Data, &shares) != nil {
			return
		}
		s.table.setRemoteShares(&shares)
	}
}
