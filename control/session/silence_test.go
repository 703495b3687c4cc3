package session

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// pausingReplicas are replicas that echo every heartbeat, except those that are paused.
type pausingReplicas struct {
	mu     sync.Mutex
	paused map[string]chan struct{}
	last   string
}

// serve serves a session at the replica called name.
func (p *pausingReplicas) serve(name string) func(*fakeStream) {
	return func(s *fakeStream) {
		if _, err := s.Recv(); err == nil {
			p.echo(name, s)
		}
	}
}

// echo echoes the heartbeats of a session at the replica called name.
func (p *pausingReplicas) echo(name string, s *fakeStream) {
	for {
		m, err := s.Recv()
		if err != nil {
			return
		}
		heartbeat, ok := m.(*wire.Heartbeat)
		if !ok {
			return
		}
		p.mu.Lock()
		paused := p.paused[name]
		if paused == nil {
			p.last = name
		}
		p.mu.Unlock()
		if paused != nil {
			select {
			case <-paused:
			case <-s.Context().Done():
				return
			}
		}
		if s.Send(&wire.Update{Snapshot: documentAt(1), Revision: 1, Echo: heartbeat.Seq}) != nil {
			return
		}
	}
}

// pause pauses replicas until resume is called.
func (p *pausingReplicas) pause(names ...string) (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	going := make(chan struct{})
	for _, name := range names {
		p.paused[name] = going
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		clear(p.paused)
		close(going)
	}
}

// lastEchoed returns the replica that last echoed a heartbeat.
func (p *pausingReplicas) lastEchoed() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// The replica of the session falls silent and goes on: the permission stays valid meanwhile, with the
// times that entries use on the platform.
func TestSilentReplicaCostsNoPermission(t *testing.T) {
	const lease = 3 * time.Second
	for _, silence := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint(silence), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := &pausingReplicas{paused: map[string]chan struct{}{}}
			n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": p.serve("a"), "b": p.serve("b"), "c": p.serve("c")}}
			c, err := New(Options{
				Node: settings.Node{Name: "entry-1"}, Role: wire.RoleEntry, Replicas: []string{"a", "b", "c"}, Opener: n,
				Lease: lease, Heartbeat: lease / 5, RenewalTimeout: 2 * lease / 5, EarlyConfirmation: true,
			})
			is.NoErr(err)
			startClient(t, c)
			eventually(t, "fresh", c.Fresh)
			resume := p.pause(p.lastEchoed())
			started := time.Now()
			least := c.Permission().Left
			for resumed := false; time.Since(started) < silence+lease; time.Sleep(5 * time.Millisecond) {
				if !resumed && time.Since(started) >= silence {
					resume()
					resumed = true
				}
				least = min(least, c.Permission().Left)
			}
			is.True(least > 0)
			t.Log("least time left:", least)
		})
	}
}
