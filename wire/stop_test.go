package wire

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// servedStream is an open stream of a peer to a server.
type servedStream struct {
	Stream
	// stop begins the stop of the server, and stopped gets the result of its Serve.
	stop    func()
	stopped chan error
}

// openToServer opens a stream to a server that serves streams with h and gives its handlers this time to end. It
// sends the first message.
func openToServer(t *testing.T, end time.Duration, h Handler) *servedStream {
	t.Helper()
	is := is.New(t)
	trusted := &settings.TLS{Trust: settings.TrustNetwork}
	serverID, err := OpenIdentity(trusted, settings.Node{Name: "entry-1", BindIP: "127.0.0.1"}, RoleEntry)
	is.NoErr(err)
	clientID, err := OpenIdentity(trusted, settings.Node{Name: "entry-2", BindIP: "127.0.0.1"}, RoleEntry)
	is.NoErr(err)
	srv, err := Listen("127.0.0.1:0", serverID, &Traffic{}, h)
	is.NoErr(err)
	srv.handlerEndTime = end
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stopped := make(chan error, 1)
	go func() { stopped <- srv.Serve(ctx) }()
	pool, err := NewPool(clientID, PoolOptions{KeepAlive: time.Second}, &Traffic{})
	is.NoErr(err)
	t.Cleanup(pool.Close)
	open, opened := context.WithTimeout(ctx, handshakeTimeout)
	defer opened()
	s, err := pool.Open(open, srv.Addr())
	is.NoErr(err)
	is.NoErr(s.Send(&Dispatch{Attempt: Attempt{Number: 7}}))
	return &servedStream{Stream: s, stop: cancel, stopped: stopped}
}

// A stopping server waited for handlers whose streams only the peer could end, and its process was killed.
func TestStoppingServerWaitsForAPeerThatKeepsItsStreamOpen(t *testing.T) {
	is := is.New(t)
	waiting := make(chan bool, 2)
	s := openToServer(t, handlerEndTime, func(s Stream) {
		for {
			if _, err := s.Recv(); err != nil {
				return
			}
			waiting <- true
		}
	})
	<-waiting
	s.stop()
	select {
	case err := <-s.stopped:
		is.NoErr(err)
	case <-time.After(idleTimeout / 2):
		t.Fatal("the server has not ended")
	}
	_, err := s.Recv()
	is.True(err != nil) // the peer is told
}

// A handler that is about to answer when the server stops still answers, and the server ends with it.
func TestStoppingServerCutsAnAnswer(t *testing.T) {
	is := is.New(t)
	begun, stopping := make(chan bool), make(chan bool)
	s := openToServer(t, time.Hour, func(s Stream) {
		_, _ = s.Recv()
		close(begun)
		<-stopping
		_ = s.Send(&Grant{Attempt: Attempt{Number: 7}})
		_, _ = s.Recv() // the peer has the answer
	})
	<-begun
	s.stop()
	close(stopping)
	m, err := s.Recv()
	is.NoErr(err)
	is.Equal(m.(*Grant).Attempt.Number, uint32(7))
	is.NoErr(s.CloseSend())
	is.NoErr(<-s.stopped)
}
