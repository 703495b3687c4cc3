package control

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// fullStream is a stream to a replica that reads no more than a number of messages.
type fullStream struct {
	wire.Stream
	left    int
	blocked chan struct{}
	aborted context.Context
	abort   func()
}

func (s *fullStream) SetSendDeadline(time.Time) error { return nil }
func (s *fullStream) Abort()                          { s.abort() }

func (s *fullStream) Send(wire.Message) error {
	if s.left--; s.left >= 0 {
		return nil
	}
	close(s.blocked)
	<-s.aborted.Done()
	return s.aborted.Err()
}

// fullDialer opens one stream.
type fullDialer struct {
	session.Dropper
	stream wire.Stream
}

func (d fullDialer) Open(context.Context, string) (wire.Stream, error) { return d.stream, nil }
func (d fullDialer) Drop(string)                                       {}

// A stopping replica waited for messages to replicas that read nothing: for the first one of a stream without a limit,
// for another one until its deadline.
func TestStoppingReplicaWaitsForAReplicaThatReadsNothing(t *testing.T) {
	for name, read := range map[string]int{"first message": 0, "later message": 1} {
		t.Run(name, func(t *testing.T) {
			aborted, abort := context.WithCancel(context.Background())
			stream := &fullStream{left: read, blocked: make(chan struct{}), aborted: aborted, abort: abort}
			tr := newTransport(fullDialer{stream: stream}, kernel.SystemClock{}, hclog.NewNullLogger(), map[replica.ID]string{7: "10.0.0.2:1"})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			tr.open(ctx, 1, "10.0.0.1:1")
			tr.Send(7, &replica.Message{})
			<-stream.blocked
			stop()
			tr.wait()
		})
	}
}
