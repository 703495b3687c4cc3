package gateway

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// failingDialer is a dialer that cannot open any stream.
type failingDialer struct{}

func (failingDialer) Open(context.Context, string) (wire.Stream, error) { return nil, context.Canceled }
func (failingDialer) Drop(string)                                       {}
func (failingDialer) Close()                                            {}

// TestPeersAreKeptWhileAReplicaListsFew guards against the loss of peers when the
// replica of control with which the entries have their sessions restarts: it then lists
// only those that have reconnected.
func TestPeersAreKeptWhileAReplicaListsFew(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	w.g.Peers, w.g.dialer = "10.0.0.1:7000", failingDialer{}
	ctx, cancel := context.WithCancel(context.Background())
	defer w.g.peerTasks.Wait()
	defer cancel()
	all := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	is.Equal(w.g.updatePeers(ctx, all), all)
	for _, q := range w.g.bookings.peers {
		is.True(q.unlistedSince.IsZero())
	}
	is.Equal(w.g.updatePeers(ctx, all[:2]), all) // the third is kept though it is no longer listed
	w.g.bookings.mu.Lock()
	third := w.g.bookings.peers[all[2]]
	is.True(!third.unlistedSince.IsZero())
	w.g.bookings.mu.Unlock()
	is.True(!w.g.bookings.dropIfUnlisted(time.Now(), all[2], third))
	is.Equal(w.g.updatePeers(ctx, all), all)
	is.True(!w.g.bookings.dropIfUnlisted(time.Now().Add(time.Minute), all[2], third)) // listed again
	is.Equal(w.g.updatePeers(ctx, all[:2]), all)
	is.True(w.g.bookings.dropIfUnlisted(time.Now().Add(time.Minute), all[2], third))
	is.Equal(w.g.updatePeers(ctx, all[:2]), all[:2])
}

func TestBookingsAreSentOnce(t *testing.T) {
	is := is.New(t)
	b := newBookings()
	q := newPeerQueue()
	b.peers["peer"] = q
	b.openQueue(q)
	booking := &assign.Booking{Primary: assign.Part{Endpoint: "e1", Tokens: 7}, Helpers: []assign.Part{{Endpoint: "e2"}}, PrefillTime: time.Second, Short: true}
	one, two, three := b.newID(), b.newID(), b.newID()
	for _, id := range []uint64{one, two, three} {
		b.begin(id, booking)
	}
	b.end(two, true) // before the peer has received its begin; its request counts all the same
	b.answered(one)
	m := b.takePending(q)
	is.Equal(len(m.Begun), 3)
	is.Equal(fromWire(&m.Begun[0]), booking)
	is.Equal(m.Unprefilled, []uint64{two})
	is.Equal(m.Answered, []uint64{one})
	is.Equal(len(b.takePending(q).Begun), 0)
	b.end(one, false)
	b.limitChanged(assign.Limit{Endpoint: "e1", Version: 1})
	limits := []assign.Limit{{Endpoint: "e1", Version: 2}, {Endpoint: "e2", Version: 1}}
	all := b.takeAll(q, limits) // a new stream starts with all current bookings and limits
	is.True(all.Full)
	is.Equal(len(all.Begun), 1)
	is.Equal(all.Begun[0].ID, three)
	is.Equal(len(all.Limits), 3)
	rest := b.takePending(q)
	is.Equal(len(rest.Begun)+len(rest.Ended)+len(rest.Limits), 0)
}

// Changes for a peer that cannot be reached were queued for as long as control listed it.
func TestNothingIsQueuedForAPeerWithoutAStream(t *testing.T) {
	is := is.New(t)
	b := newBookings()
	q := newPeerQueue()
	b.peers["peer"] = q
	change := func() uint64 {
		id := b.newID()
		b.begin(id, &assign.Booking{})
		b.answered(id)
		b.limitChanged(assign.Limit{Endpoint: "e1"})
		return id
	}
	b.end(change(), false)
	is.Equal(len(q.begun)+len(q.ended)+len(q.answered)+len(q.limits), 0)
	kept := change()
	b.openQueue(q)
	m := b.takeAll(q, []assign.Limit{{Endpoint: "e1"}})
	is.Equal(len(m.Begun), 1) // the stream begins with what is current
	is.Equal(m.Begun[0].ID, kept)
	is.Equal(len(m.Limits), 1)
	change()
	b.closeQueue(q)
	is.Equal(len(q.begun)+len(q.ended)+len(q.answered)+len(q.limits), 0)
}

func TestStreamToAPeerIsReplacedWhenItsProcessRestarts(t *testing.T) {
	is := is.New(t)
	b := newBookings()
	q := newPeerQueue()
	b.peerStarted("10.0.0.2:7000", 5) // before control lists it
	b.peers["10.0.0.2:7000"] = q
	replaced := func(addr string, start uint32) bool {
		b.peerStarted(addr, start)
		select {
		case <-q.reopen:
			return true
		default:
			return false
		}
	}
	is.True(!replaced("10.0.0.2:7000", 5)) // a new stream of the same process
	is.True(!replaced("10.0.0.2:7000", 0)) // an older build
	is.True(!replaced("10.0.0.3:7000", 6)) // another peer
	is.True(replaced("10.0.0.2:7000", 6))
	is.True(!replaced("10.0.0.2:7000", 6))
}

// After a stream between entries was opened again, each prompt whose answer had begun counted as unread
// until the answer ended, and its engine got no short prompts.
func TestAnswersThatHaveBegunAreKnownAfterTheStreamIsOpenedAgain(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	e := scribe(0)
	w.g.fleet.Update(e)
	b, q := newBookings(), newPeerQueue()
	b.begin(1, &assign.Booking{Primary: assign.Part{Endpoint: e.Name}, Short: true, PrefillTime: 240 * time.Millisecond, EventGapTarget: 250 * time.Millisecond})
	b.answered(1)
	w.g.applyBookings("entry-2", b.takeAll(q, nil))
	time.Sleep(250 * time.Millisecond) // the predicted reading time
	is.True(w.canChoose(w.call("/read/1", 100)))
}

// scriptedStream is a stream on which messages and errors arrive as they are sent to received.
type scriptedStream struct {
	wire.Stream
	received chan any
}

func (s *scriptedStream) Peer() wire.Peer             { return wire.Peer{Name: "entry-2", Role: wire.RoleEntry} }
func (s *scriptedStream) SetDeadline(time.Time) error { return nil }

func (s *scriptedStream) Recv() (wire.Message, error) {
	switch r := (<-s.received).(type) {
	case error:
		return nil, r
	case wire.Message:
		return r, nil
	}
	return nil, io.EOF
}

// An entry that had been paused itself found the deadlines of its streams passed, though the messages
// of its peers had arrived, and dropped the bookings of all of them.
func TestPauseOfThisEntryCostsNoBookingsOfPeers(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	e := scribe(0)
	e.Slots = 1
	w.g.fleet.Update(e)
	stream := &scriptedStream{received: make(chan any)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.g.receiveBookings(stream, &wire.Bookings{Full: true, Begun: []wire.Booking{{ID: 1, Short: true, Primary: wire.BookedPart{Endpoint: e.Name}}}})
	}()
	receive := func(r any) {
		select {
		case stream.received <- r:
		case <-done:
			t.Fatal("the stream was given up")
		}
	}
	late := errors.Wrap(os.ErrDeadlineExceeded, "read")
	receive(late) // the deadline passed during the pause
	receive(&wire.Bookings{})
	receive(late)
	is.True(!w.canChoose(w.call("/read/1", 10)))
	receive(late) // the peer is silent
	<-done
	is.True(w.canChoose(w.call("/read/1", 10)))
}
