package control_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// partitionable is an Opener that simulates a network partition. While partitioned is set,
// messages are lost silently in both directions and no stream can be opened.
type partitionable struct {
	wire.Opener
	partitioned atomic.Bool
}

func (c *partitionable) Open(ctx context.Context, addr string) (wire.Stream, error) {
	if c.partitioned.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s, err := c.Opener.Open(ctx, addr)
	return &partitionableStream{Stream: s, partitioned: &c.partitioned}, err
}

// partitionableStream is a stream of a partitionable Opener.
type partitionableStream struct {
	wire.Stream
	partitioned *atomic.Bool
}

func (s *partitionableStream) Send(m wire.Message) error {
	if s.partitioned.Load() {
		return nil
	}
	return s.Stream.Send(m)
}

func (s *partitionableStream) Recv() (wire.Message, error) {
	for {
		m, err := s.Stream.Recv()
		if err != nil || !s.partitioned.Load() {
			return m, err
		}
	}
}

// TestZoneOutIsAnsweredAfterThePermissionOfAnUnreachableEntry takes a zone out of service while
// an entry is behind a network partition. The answer must wait until the entry's permission has
// expired, so that the entry cannot use the zone after the answer.
func TestZoneOutIsAnsweredAfterThePermissionOfAnUnreachableEntry(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, longGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	network := &partitionable{Opener: d.dialer("entry-1", wire.RoleEntry, &wire.Traffic{})}
	entry := d.client("entry-1", wire.RoleEntry, func(o *session.Options) { o.Opener = network })
	d.background(entry.Run)
	eventually(t, "entry has a permission", func() bool { return entry.Fresh() && entry.View().Revision() == 1 })

	network.partitioned.Store(true)
	answered := make(chan error, 1)
	go func() {
		answered <- operator.Do(context.Background(), command.NameChange, "c1", zoneOut(1, "annex"), nil)
	}()
	eventually(t, "accepted", func() bool {
		var view command.View
		is.NoErr(operator.Do(timeoutContext(t), command.NameView, "", nil, &view))
		return view.Document.Revision == 2
	})
	inForce := func() bool {
		var lagging command.Lagging
		is.NoErr(operator.Do(timeoutContext(t), command.NameInForce, "", command.InForce{Revision: 2}, &lagging))
		return len(lagging.Processes) == 0
	}
	eventually(t, "answered", func() bool {
		select {
		case err := <-answered:
			is.NoErr(err)
			return true
		default:
			return false
		}
	})
	is.True(!entry.Fresh()) // the entry lacks the change, so its permission must have expired
	eventually(t, "the change is applied", inForce)
	is.Equal(entry.View().Revision(), uint64(1))

	network.partitioned.Store(false)
	eventually(t, "entry has the new revision and a permission", func() bool { return entry.Fresh() && entry.View().Revision() == 2 })
}

// TestUnknownZoneOutStaysUnknownAfterControlHasStopped takes a zone out with an answer that does not
// wait, while an entry is cut off, and then stops control. The entry lacks the change and must not
// take the stopped replicas as a proof that there is none.
func TestUnknownZoneOutStaysUnknownAfterControlHasStopped(t *testing.T) {
	for name, early := range map[string]bool{"stopped replicas count": false, "early confirmation": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 3, longGrace)
			operator := d.client("operator-1", wire.RoleOperator, nil)
			d.leader(operator)
			network := &partitionable{Opener: d.dialer("entry-1", wire.RoleEntry, &wire.Traffic{})}
			entry := d.client("entry-1", wire.RoleEntry, func(o *session.Options) {
				o.Opener, o.Stopped, o.EarlyConfirmation = network, nil, early
			})
			d.background(entry.Run)
			eventually(t, "entry has a permission", func() bool { return entry.Fresh() && entry.View().Revision() == 1 })
			network.partitioned.Store(true)
			change := zoneOut(1, "annex")
			change.NoWait = true
			is.NoErr(operator.Do(timeoutContext(t), command.NameChange, "c1", change, nil))
			confirmed := time.Now()
			for i := range 3 {
				d.stop(i)
			}
			time.Sleep(time.Until(confirmed.Add(2 * entryLease)))
			is.Equal(entry.View().Revision(), uint64(1))
			is.Equal(entry.Fresh(), !early)
		})
	}
}

// An entry that was cut off while more was published than fits into one message got no update any more: each was over
// the limit, and ended the session.
func TestLargePublicationsCutAnEntryOff(t *testing.T) {
	const size, publications = 700 << 10, 10
	is := is.New(t)
	d := deploy(t, 1, longGrace)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	network := &partitionable{Opener: d.dialer("entry-1", wire.RoleEntry, &wire.Traffic{})}
	entry := d.client("entry-1", wire.RoleEntry, func(o *session.Options) { o.Opener = network })
	d.background(entry.Run)
	eventually(t, "entry has a permission", func() bool { return entry.Fresh() && entry.View().Revision() == 1 })
	network.partitioned.Store(true)
	for version := range uint64(publications) {
		p := config.Publication{Version: version + 1, Content: make([]byte, size)}
		is.NoErr(operator.Do(timeoutContext(t), command.NamePublish, "", &command.Publish{Publication: p}, nil))
	}
	network.partitioned.Store(false)
	eventually(t, "entry has the newest publication and a permission", func() bool {
		return entry.Fresh() && entry.View().Load().PublishedVersion() == publications
	})
}
