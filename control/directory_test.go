package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

// worker returns endpoint worker-1. adjust, if not nil, changes it.
func worker(incarnation uint64, adjust func(*wire.Endpoint)) wire.Endpoint {
	e := wire.Endpoint{Name: "worker-1", Addr: "10.0.0.1:7000", Incarnation: incarnation}
	if adjust != nil {
		adjust(&e)
	}
	return e
}

// TestAnnouncements checks which announcements are published after an earlier one of the same
// endpoint with incarnation 5.
func TestAnnouncements(t *testing.T) {
	tests := map[string]struct {
		next wire.Endpoint
		want announceResult
	}{
		"same":                 {worker(5, nil), unchanged},
		"older incarnation":    {worker(4, func(e *wire.Endpoint) { e.Addr = "10.0.0.2:7000" }), outdated},
		"newer, other address": {worker(6, func(e *wire.Endpoint) { e.Addr = "10.0.0.2:7000" }), published},
		"different load":       {worker(5, func(e *wire.Endpoint) { e.Load.FreeTokens = 7 }), unchanged},
		"now leaving":          {worker(5, func(e *wire.Endpoint) { e.Load.Leaving = true }), published},
		"slow start ended":     {worker(5, func(e *wire.Endpoint) { e.Load.RampTokens = -1 }), published},
		"other capacity":       {worker(5, func(e *wire.Endpoint) { e.Load.CapacityTokens = 9 }), published},
		"other version loaded": {worker(5, func(e *wire.Endpoint) { e.Version = "v2" }), published},
		"one more adapter":     {worker(5, func(e *wire.Endpoint) { e.Adapters = []string{"x"} }), published},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectory()
			d.announce(start, worker(5, nil))
			is.New(t).Equal(d.announce(start, test.next), test.want)
		})
	}
}

// TestLoadIsPublishedOncePerSlot announces another load every 100 ms for 100 s.
func TestLoadIsPublishedOncePerSlot(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	publications := 0
	now := start
	for i := range 1000 {
		now = now.Add(100 * time.Millisecond)
		if d.announce(now, worker(5, func(e *wire.Endpoint) { e.Load.FreeTokens = int64(i) })) == published {
			publications++
		}
	}
	is.True(publications >= 100 && publications <= 101) // one a second
}

func TestEndpointThatFallsSilentIsDropped(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	d.announce(start, worker(5, nil))
	d.seen(start.Add(5*time.Second), "worker-1", 5)
	d.seen(start.Add(9*time.Second), "worker-1", 4) // an older incarnation does not count
	is.Equal(len(d.expire(start.Add(5*time.Second))), 0)
	is.Equal(d.expire(start.Add(6*time.Second)), []string{"worker-1"})
	// A removed endpoint may announce itself again, also with a lower incarnation.
	is.Equal(d.announce(start.Add(7*time.Second), worker(1, nil)), published)
}

// idleStream is the stream of a session on which nothing is sent.
type idleStream struct{ wire.Stream }

func (idleStream) Abort() {}

// TestLaggingListsProcessesWithOldPermissions checks which processes may still hold a permission
// for a revision below 7. Replica 2 is the only other replica.
func TestLaggingListsProcessesWithOldPermissions(t *testing.T) {
	const lease = 3 * time.Second
	add := func(tb *table, name string, revision uint64, permittedFrom time.Duration) {
		s := newSession(&wire.Hello{Role: "entry", Name: name, Revision: revision}, idleStream{}, start)
		s.permittedFrom = start.Add(permittedFrom)
		tb.add(start, s)
	}
	reports := func(tb *table, id replica.ID, revision uint64) {
		r := newRemote(id, idleStream{})
		tb.addRemote(r)
		tb.report(start, r, &report{Full: true, Sessions: []sessionReport{{Key: "process/far", Name: "far", Revision: revision}}})
	}
	tests := map[string]struct {
		set  func(tb *table)
		want []string
	}{
		"no process lags":              {func(tb *table) { reports(tb, 2, 7) }, nil},
		"process has the revision":     {func(tb *table) { reports(tb, 2, 7); add(tb, "a", 7, 0) }, nil},
		"lags and is permitted":        {func(tb *table) { reports(tb, 2, 7); add(tb, "a", 6, 0) }, []string{"a"}},
		"lags and has expired":         {func(tb *table) { reports(tb, 2, 7); add(tb, "a", 6, -lease) }, nil},
		"lags at another replica":      {func(tb *table) { reports(tb, 2, 6) }, []string{"far"}},
		"replica that reports nothing": {func(tb *table) { add(tb, "a", 6, 0) }, []string{"a", "replica 2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := newTable(start, time.Minute)
			test.set(tb)
			var got []string
			for _, p := range tb.lagging(start, 7, lease, []replica.ID{2}) {
				got = append(got, p.Name)
			}
			is.New(t).Equal(got, test.want)
		})
	}
}

// TestSessionsCatchUpWithTheEndpointList lets a session fall behind by any number of changes. The
// session's copy of the list must equal the directory after each update.
func TestSessionsCatchUpWithTheEndpointList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory()
		now := start
		known := map[string]wire.Endpoint{}
		version := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				d.announce(now, wire.Endpoint{
					Name:        fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "name")),
					Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")),
				})
			},
			"many": func(t *rapid.T) {
				if rapid.IntRange(0, 15).Draw(t, "rarely") > 0 {
					return
				}
				for i := range maxDirectoryLog + 1 {
					d.announce(now, wire.Endpoint{Name: "busy", Incarnation: 10, Version: fmt.Sprint(i)})
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Second)
				d.expire(now)
			},
			"follow": func(t *rapid.T) {
				changes := d.since(version)
				if changes.reset {
					clear(known)
				}
				for _, e := range changes.endpoints {
					known[e.Name] = e
				}
				for _, name := range changes.removed {
					delete(known, name)
				}
				version = changes.version
				if len(known) != len(d.members) {
					t.Fatalf("session has %d endpoints, directory has %d", len(known), len(d.members))
				}
				for name, m := range d.members {
					if known[name].Version != m.endpoint.Version || known[name].Incarnation != m.endpoint.Incarnation {
						t.Fatalf("session has a different version or incarnation of endpoint %s", name)
					}
				}
			},
		})
	})
}
