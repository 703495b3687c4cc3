package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// keepBookingStream opens a stream of another entry to the gateway and sends bookings on it, as often as an entry does,
// until the test ends or the stream does.
func (s *runningGateway) keepBookingStream(t *testing.T, name string) {
	t.Helper()
	is := is.New(t)
	id, err := wire.OpenIdentity(&settings.TLS{Trust: settings.TrustNetwork}, settings.Node{Name: name, BindIP: "127.0.0.1"}, wire.RoleEntry)
	is.NoErr(err)
	pool, err := wire.NewPool(id, wire.PoolOptions{KeepAlive: time.Second}, &wire.Traffic{})
	is.NoErr(err)
	t.Cleanup(pool.Close)
	ctx, cancel := context.WithTimeout(context.Background(), peerOpenTimeout)
	defer cancel()
	stream, err := pool.Open(ctx, s.running.peers.Addr())
	is.NoErr(err)
	is.NoErr(stream.Send(&wire.Bookings{Full: true}))
	go func() {
		for stream.Send(&wire.Bookings{}) == nil {
			time.Sleep(bookingHeartbeat)
		}
	}()
}

// bookingStreamCount returns the number of entries with an open stream to the gateway.
func (s *runningGateway) bookingStreamCount() int {
	s.running.mu.Lock()
	defer s.running.mu.Unlock()
	return len(s.running.bookingStreams)
}

// A stopping entry waited for messages of other entries after it had closed its socket, and was killed at the end of
// its grace time.
func TestStoppingEntryWaitsForItsPeers(t *testing.T) {
	is := is.New(t)
	const grace = bookingTimeout / 2
	s := startGateway(t, grace, 50*time.Millisecond)
	names := []string{"entry-2", "entry-3", "entry-4"}
	for _, name := range names {
		s.keepBookingStream(t, name)
	}
	for s.bookingStreamCount() < len(names) {
		time.Sleep(time.Millisecond)
	}
	s.stop()
	select {
	case err := <-s.stopped:
		is.NoErr(err)
	case <-time.After(grace):
		t.Fatal("the gateway has not ended")
	}
}

// silentStream is a stream of another entry that sends bookings and then keeps the stream open.
type silentStream struct {
	wire.Stream
	first   chan wire.Message
	aborted chan struct{}
}

func (s *silentStream) Peer() wire.Peer             { return wire.Peer{Name: "entry-2", Role: wire.RoleEntry} }
func (s *silentStream) SetDeadline(time.Time) error { return nil }
func (s *silentStream) Abort()                      { close(s.aborted) }

func (s *silentStream) Recv() (wire.Message, error) {
	select {
	case m := <-s.first:
		return m, nil
	case <-s.aborted:
		return nil, context.Canceled
	}
}

// An entry kept the streams of its peers open at its end until the time for its handlers had passed, a fifth of what was
// left of its grace time.
func TestStreamOfAPeerOutlastsTheEntry(t *testing.T) {
	w := newTestGateway(t)
	stream := &silentStream{first: make(chan wire.Message), aborted: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.g.servePeer(stream)
	}()
	stream.first <- &wire.Bookings{Full: true}
	w.g.stopBackground()
	<-ended
}
