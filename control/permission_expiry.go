package control

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// awaitPermissionExpiry delays the answer to a command that takes a zone or an endpoint out
// of service until every permission for an older configuration revision has expired. After
// the answer, no process takes new work under an older revision: a process that no replica
// can reach has lost its permission. Conversely, a process whose permission is valid has
// applied every such command that was answered, so it may continue to serve while the
// replicas are down.
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

// takesOutOfService reports whether the command takes a zone or an endpoint out of service
// and its sender waits for awaitPermissionExpiry (command.Change.NoWait is not set).
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

// listenForLiveness listens on the replica's address over TCP, where nothing is served:
// sessions, commands and the other replicas use the same address over QUIC. A refused TCP connection shows that the VM is up and the replica has stopped,
// because the VM's operating system sends the refusal. A replica behind a network partition
// refuses nothing.
func listenForLiveness(id *wire.Identity, addr string) (net.Listener, error) {
	bindAddr, err := id.BindAddr(addr)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", bindAddr)
	return l, errors.Wrap(err, "listen for liveness")
}

// serveLiveness accepts connections and closes each at once, until the listener is closed.
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
