package control

import (
	"io"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// receiver is a replica.Node that receives messages of the consensus protocol.
type receiver interface {
	Receive(m *replica.Message)
}

// serveReplica receives one stream from another replica. first holds the startMessage, which
// identifies the sending replica and the start of its process. Messages of the consensus protocol or session reports follow.
func (s *Server) serveReplica(stream wire.Stream, first *wire.ReplicaMessage) {
	var start startMessage
	if stream.Peer().Role != wire.RoleControl || first.Group != groupStart || wire.Unmarshal(first.Data, &start) != nil {
		s.log.Warn("replica refused", "peer", stream.Peer().Name, "role", stream.Peer().Role)
		stream.Abort()
		return
	}
	s.transport.peerStarted(start)
	in := &inbound{server: s, stream: stream, from: start.ID}
	defer in.close()
	for {
		m, err := in.next()
		if err == nil {
			err = in.handle(m)
		}
		if err != nil {
			s.log.Debug("stream of replica ended", "replica", start.ID, "error", err)
			stream.Abort()
			return
		}
	}
}

// inbound is a stream from another replica.
type inbound struct {
	server *Server
	stream wire.Stream
	from   replica.ID
	// remote is nil until the first report arrives on the stream.
	remote *remote
	// parts holds what has arrived of a report that is sent in several messages, else nil.
	parts *report
}

// next returns the next message of the stream.
func (l *inbound) next() (*wire.ReplicaMessage, error) {
	m, err := l.stream.Recv()
	if err != nil {
		return nil, err
	}
	envelope, ok := m.(*wire.ReplicaMessage)
	if !ok {
		return nil, errors.Errorf("unexpected %T from a replica", m)
	}
	return envelope, nil
}

// handle processes one message. An error ends the stream.
func (l *inbound) handle(m *wire.ReplicaMessage) error {
	s := l.server
	s.transport.markHeard(l.from)
	switch m.Group {
	case groupConsensus:
		return l.handleConsensus(m.Data)
	case groupReport:
		return l.handleReport(m.Data)
	}
	return errors.Errorf("unknown message group %q from a replica", m.Group)
}

// handleReport processes a report, or keeps it until the rest has arrived.
func (l *inbound) handleReport(data []byte) error {
	s := l.server
	r := &report{}
	// A replica of an earlier version may report names that are not UTF-8.
	if err := wire.UnmarshalAnyText(data, r); err != nil {
		s.log.Warn("report of replica not readable", "replica", l.from, "bytes", len(data), "error", err)
		return err
	}
	if l.remote == nil {
		l.remote = newRemote(l.from, l.stream)
		s.table.addRemote(l.remote)
		s.running.Go(l.remote.send)
	}
	if err := l.stream.SetDeadline(s.clock.Now().Add(peerSilence)); err != nil {
		return err
	}
	l.parts = joinParts(l.parts, r)
	if l.parts.More {
		return nil
	}
	r, l.parts = l.parts, nil
	s.table.report(s.clock.Now(), l.remote, r)
	if len(r.Demands) > 0 {
		s.barriers.notify()
	}
	return nil
}

func (l *inbound) handleConsensus(data []byte) error {
	r, ok := l.server.node.(receiver)
	if !ok {
		return io.EOF
	}
	m := &replica.Message{}
	if err := m.Unmarshal(data); err != nil {
		return err
	}
	l.server.transport.markSeen(m.From)
	r.Receive(m)
	return nil
}

// close removes the sessions that were reported on the stream.
func (l *inbound) close() {
	if l.remote != nil {
		l.server.table.removeRemote(l.remote)
	}
}
