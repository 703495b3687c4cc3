package control

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// awaitPermissionExpiry holds back the answer to an order that takes something out of
// service until every permission that does not know the order has lapsed. An
// answered order is therefore in force everywhere, also at processes that no
// replica can reach. A process whose permission never lapsed knows every answered
// order, which is what lets it go on when the replicas have stopped.
func (s *Server) awaitPermissionExpiry(ctx context.Context, c *wire.Command, answer *wire.Answer) {
	var changed command.Changed
	if answer.Refused != nil || !takesOutOfService(c) || wire.Unmarshal(answer.Body, &changed) != nil {
		return
	}
	left := s.lease - s.store.sinceApplied(s.clock.Now(), changed.Revision)
	if left <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.clock.After(left):
	}
}

// takesOutOfService reports whether the command takes a zone or an endpoint out of service.
func takesOutOfService(c *wire.Command) bool {
	var change command.Change
	if c.Name != command.NameChange || wire.Unmarshal(c.Body, &change) != nil || change.NoWait {
		return false
	}
	for _, item := range change.Changes {
		if item.Zone != nil && item.Zone.State == config.Out {
			return true
		}
		if item.Endpoint != nil && item.Endpoint.State == config.Out {
			return true
		}
	}
	return false
}

// listenForLiveness opens the replica's address for TCP too, where nothing is
// served. The VM's kernel refuses a connection there only when it is up and the
// replica has stopped, which tells a stopped replica from one that is cut off.
func listenForLiveness(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrap(err, "listen for liveness")
}

// serveLiveness closes each connection at once until the listener is closed.
func serveLiveness(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			_ = conn.Close()
		}
	}
}
