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
	// groupReport marks reports on sessions, and groupShares what the leader lends
	// to entries that have their session with another replica.
	groupReport = "report"
	groupShares = "shares"
	// reportInterval is the time between two reports. An empty one is a sign of life.
	reportInterval = 200 * time.Millisecond
)

// report tells another replica about the sessions here, so that each replica
// knows all endpoints and the leader all processes.
type report struct {
	// Full is set when Sessions lists all.
	Full bool `cbor:"1,keyasint,omitempty"`
	// Sessions are new or changed; Closed names those that ended.
	Sessions []sessionReport `cbor:"2,keyasint,omitempty"`
	Closed   []string        `cbor:"3,keyasint,omitempty"`
	// Demands are for the leader.
	Demands []demandReport `cbor:"4,keyasint,omitempty"`
}

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

type demandReport struct {
	Process string       `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"`
	Wanted  []wire.Share `cbor:"3,keyasint,omitempty"`
}

// sharesReport carries lent shares back to the replica with the entry's session.
type sharesReport struct {
	Process string       `cbor:"1,keyasint"`
	Shares  []wire.Share `cbor:"2,keyasint"`
}

// remote is what another replica reported of its sessions.
type remote struct {
	from     replica.ID
	stream   wire.Stream
	seen     time.Time
	sessions map[string]sessionReport
	// demands wait for a barrier, by process; only the newest of each counts.
	demands map[string]demandReport
	// out holds shares on their way to the replica; what does not fit is dropped,
	// and the entry asks again.
	out chan sharesReport
}

func newRemote(from replica.ID, stream wire.Stream) *remote {
	return &remote{
		from: from, stream: stream, sessions: map[string]sessionReport{},
		demands: map[string]demandReport{}, out: make(chan sharesReport, maxQueued),
	}
}

// grantShares hands shares over for sending and never blocks.
func (r *remote) grantShares(m sharesReport) {
	select {
	case r.out <- m:
	default:
	}
}

// send sends shares until the stream ends.
func (r *remote) send() {
	for {
		select {
		case <-r.stream.Context().Done():
			return
		case m := <-r.out:
			data, err := wire.Marshal(&m)
			if err == nil {
				err = r.stream.Send(&wire.Replica{Group: groupShares, Data: data})
			}
			if err != nil {
				r.stream.Abort()
				return
			}
		}
	}
}

func (r *sessionReport) process(silent time.Duration) command.Process {
	return command.Process{
		Name: r.Name, Role: r.Role, Region: r.Region, Zone: r.Zone, Revision: r.Revision, Silent: silent,
	}
}

// addRemote enters the reports of a replica in place of an earlier stream's.
func (t *table) addRemote(r *remote) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remotes[r.from] = r
}

// removeRemote drops the reports of a stream that ended. Their endpoints stay listed for
// the grace time.
func (t *table) removeRemote(r *remote) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remotes[r.from] == r {
		delete(t.remotes, r.from)
	}
}

// report takes in one report.
func (t *table) report(now time.Time, r *remote, m *report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.seen = now
	if m.Full {
		r.sessions = map[string]sessionReport{}
	}
	before := t.list.version
	for _, s := range m.Sessions {
		r.sessions[s.Key] = s
		switch {
		case s.Endpoint == nil:
		case s.Endpoint.Direct:
			t.list.announceDirect(now, *s.Endpoint)
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

// setRemoteShares passes shares to the session of an entry, which the leader lent.
func (t *table) setRemoteShares(m *sharesReport) {
	t.mu.Lock()
	s := t.sessions[processKey(m.Process)]
	t.mu.Unlock()
	if s != nil {
		t.setShares(s, m.Shares)
	}
}

// reportState is what one stream has told another replica so far.
type reportState struct {
	sessions map[string]sessionReport
	demands  map[string]uint64
}

// compose returns the news since the last report on the stream.
func (t *table) compose(sent *reportState, toLeader bool) *report {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &report{Full: sent.sessions == nil}
	if m.Full {
		sent.sessions = map[string]sessionReport{}
		sent.demands = map[string]uint64{}
	}
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

// hasKey says whether the session or registration is here.
func (t *table) hasKey(key string) bool {
	if name, ok := strings.CutPrefix(key, roleEndpoint+"/"); ok && t.registered[name] != nil {
		return true
	}
	return t.sessions[key] != nil
}

func (s *peerSession) report(key string) sessionReport {
	return sessionReport{
		Key: key, Name: s.hello.Name, Role: s.hello.Role, Region: s.hello.Region, Zone: s.hello.Zone,
		Revision: s.revision, Endpoint: s.endpoint, Addr: s.hello.Addr,
	}
}

// sameReport compares endpoints by pointer: a heartbeat with an unchanged
// endpoint keeps the session's earlier one.
func sameReport(a, b *sessionReport) bool { return *a == *b }

// runReports reports to every other replica until ctx ends.
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

func (s *Server) otherReplicas() []replica.ID {
	var out []replica.ID
	for _, m := range s.members() {
		if m.ID != s.node.Status().ID {
			out = append(out, m.ID)
		}
	}
	return out
}

// runReporter keeps a stream of reports to one replica.
func (s *Server) runReporter(ctx context.Context, to replica.ID) {
	for ctx.Err() == nil {
		if err := s.reportTo(ctx, to); err != nil {
			s.log.Debug("reports to replica ended", "replica", to, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(reportInterval):
		}
	}
}

func (s *Server) reportTo(ctx context.Context, to replica.ID) error {
	bounded, cancel := context.WithTimeout(ctx, peerOpenTimeout)
	stream, err := s.transport.dial(bounded, to)
	cancel()
	if err != nil {
		return err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	s.running.Go(func() { s.receiveShares(stream) })
	sent := &reportState{}
	for {
		data, err := wire.Marshal(s.table.compose(sent, s.node.Status().Leader == to))
		if err != nil {
			return err
		}
		// The deadline bounds the receiving of shares too, which goes on as long as
		// reports do.
		if err := stream.SetDeadline(s.clock.Now().Add(peerSilence)); err != nil {
			return err
		}
		if err := stream.Send(&wire.Replica{Group: groupReport, Data: data}); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return errors.New("stream was closed")
		case <-s.clock.After(reportInterval):
		}
	}
}

// receiveShares takes in what the leader lends until the stream ends.
func (s *Server) receiveShares(stream wire.Stream) {
	defer stream.Abort()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		var shares sharesReport
		envelope, ok := m.(*wire.Replica)
		if !ok || envelope.Group != groupShares || wire.Unmarshal(envelope.Data, &shares) != nil {
			return
		}
		s.table.setRemoteShares(&shares)
	}
}
