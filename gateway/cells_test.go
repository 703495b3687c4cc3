package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// twoCells connects three gateways: the first is in zone-0 with the endpoint scribe-1, the others are
// in zone-1 with scribe-2, which runs one request at once.
func twoCells(t *testing.T) (asking *testGateway, other []*testGateway) {
	t.Helper()
	asking, other, serve := twoSilentCells(t)
	serve()
	return asking, other
}

// twoSilentCells is twoCells with entries that do not answer until serve is called.
func twoSilentCells(t *testing.T) (asking *testGateway, other []*testGateway, serve func()) {
	t.Helper()
	asking, other = newTestGateway(t), []*testGateway{newTestGateway(t), newTestGateway(t)}
	addrs, serve := joinPeers(t, asking, other[0], other[1])
	entries := []assign.Entry{{Addr: addrs[0], Zone: "zone-0"}, {Addr: addrs[1], Zone: "zone-1"}, {Addr: addrs[2], Zone: "zone-1"}}
	for i := range 39 { // the rest of the first cell, behind it in the order of placing entries
		entries = append(entries, assign.Entry{Addr: fmt.Sprint("127.0.0.1:", 90_000+i), Zone: "zone-0"})
	}
	for _, w := range []*testGateway{asking, other[0], other[1]} {
		for i := range 2 {
			e := scribe(i)
			e.Slots = 1
			w.g.fleet.Update(e)
		}
		w.g.divide(entries)
	}
	return asking, other, serve
}

// canChoose reports whether an entry has room for a short request.
func (w *testGateway) canChoose(c *call) bool {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	a, err := w.g.fleet.Choose(w.g.clock.Now(), &c.placementRequest)
	return err == nil && !a.Crowded
}

// setZonesOut takes availability zones out of service.
func (w *testGateway) setZonesOut(zones ...string) {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	out := map[string]bool{}
	for _, z := range zones {
		out[z] = true
	}
	w.g.fleet.SetZonesOut(out)
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

// Without entries that help one another, an entry whose zone is out could only refuse its callers.
func TestRequestWithoutRoomInItsCellIsPlacedByAnother(t *testing.T) {
	for name, tokens := range map[string]int{"short prompt": 1_000, "long prompt": 50_000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			asking, other := twoCells(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			own, err := asking.g.place(ctx, asking.call("/read/1", tokens).newAttempt(ctx))
			is.NoErr(err)
			is.Equal(own.Primary.Name, "scribe-1") // there is room in the own cell
			is.Equal(own.held, nil)

			asking.setZonesOut("zone-0")
			c := asking.call("/read/1", tokens)
			p, err := asking.g.place(ctx, c.newAttempt(ctx))
			is.NoErr(err)
			is.Equal(p.Primary.Name, "scribe-2")
			probe := other[0].call("/read/1", 1_000)
			holder := other[0]
			if other[0].canChoose(probe) {
				holder = other[1]
			}
			is.True(!holder.canChoose(probe)) // the entry that placed it counts the request
			p.markAnswered()
			p.release(false)
			eventually(t, "end of the booking", func() bool { return holder.canChoose(probe) })
		})
	}
}

// An entry that dies cannot report the end of the bookings that others hold for it.
func TestHeldBookingEndsWithItsEntry(t *testing.T) {
	is := is.New(t)
	asking, other := twoCells(t)
	asking.setZonesOut("zone-0")
	_, err := asking.g.place(context.Background(), asking.call("/read/1", 1_000).newAttempt(context.Background()))
	is.NoErr(err)
	probe := other[0].call("/read/1", 1_000)
	is.True(!other[0].canChoose(probe) || !other[1].canChoose(probe))
	asking.g.dialer.Close()
	eventually(t, "end of the booking", func() bool { return other[0].canChoose(probe) && other[1].canChoose(probe) })
}

// Where all cells are busy, the request has to wait, though it began in a cell without endpoints.
func TestRequestWaitsForRoomInAnotherCell(t *testing.T) {
	is := is.New(t)
	asking, other := twoCells(t)
	asking.setZonesOut("zone-0")
	for _, w := range other {
		w.g.mu.Lock()
		w.g.fleet.Place(w.g.clock.Now(), "", 1<<40, &assign.Booking{Primary: assign.Part{Endpoint: "scribe-2"}, Short: true})
		w.g.mu.Unlock()
	}
	go func() {
		time.Sleep(2 * cellWait)
		for _, w := range other {
			w.g.mu.Lock()
			w.g.fleet.EndBooking("", 1<<40, false)
			w.g.placeQueued(w.g.clock.Now())
			w.g.mu.Unlock()
		}
	}()
	p, err := asking.g.place(context.Background(), asking.call("/read/1", 1_000).newAttempt(context.Background()))
	is.NoErr(err)
	is.Equal(p.Primary.Name, "scribe-2")
}

// An entry without endpoints refused its callers when the entries of the other cells were silent for
// 0.15 s or had no valid permission, though it could have asked again.
func TestRequestOutlastsOtherCellsThatCannotAnswer(t *testing.T) {
	for name, setSilent := range map[string]func(other []*testGateway, serve func(), silent bool){
		"silent": func(_ []*testGateway, serve func(), silent bool) {
			if !silent {
				serve()
			}
		},
		"permissions lapsed": func(other []*testGateway, serve func(), silent bool) {
			for _, w := range other {
				w.session.expired.Store(silent)
			}
			if silent {
				serve()
			}
		},
	} {
		for _, silence := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " for ", silence), func(t *testing.T) {
				is := is.New(t)
				asking, other, serve := twoSilentCells(t)
				asking.setZonesOut("zone-0")
				c := asking.call("/read/1", 1_000)
				c.deadline = c.started.Add(20 * time.Second)
				c.route.AbandonAfter = 0
				setSilent(other, serve, true)
				type result struct {
					p   *placement
					err error
				}
				placed := make(chan result, 1)
				go func() {
					p, err := asking.g.place(context.Background(), c.newAttempt(context.Background()))
					placed <- result{p, err}
				}()
				time.Sleep(silence)
				setSilent(other, serve, false)
				r := <-placed
				is.NoErr(r.err)
				is.Equal(r.p.Primary.Name, "scribe-2")
			})
		}
	}
}

// A request that no cell can serve is refused at once, also while its own cell has no endpoint.
func TestRequestThatNoCellCanServeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	asking, other := twoCells(t)
	for _, w := range append(other, asking) {
		w.setZonesOut("zone-0", "zone-1")
	}
	started := time.Now()
	_, err := asking.g.place(context.Background(), asking.call("/read/1", 1_000).newAttempt(context.Background()))
	is.Equal(verdict.From(err).Reason, verdict.ReasonNoEndpoint)
	is.True(time.Since(started) < 2*otherCellTimeout+cellWait) // it did not wait for its limit of 1.5 s
}

// Bookings went to all entries; now the streams of entries that are moved to another cell end.
func TestBookingsGoToTheOwnCellOnly(t *testing.T) {
	is := is.New(t)
	b := newBookings()
	self := assign.Entry{Addr: "10.0.0.1:7355", Zone: "hall"}
	addrs := []string{self.Addr}
	u := &wire.Update{Entries: addrs, EntryZones: []string{"hall"}}
	for i := range 50 {
		addr := fmt.Sprintf("10.%d.1.%d:7355", i%2, i)
		addrs = append(addrs, addr)
		b.peers[addr] = newPeerQueue()
		u.Entries, u.EntryZones = append(u.Entries, addr), append(u.EntryZones, []string{"hall", "annex"}[i%2])
	}
	entries := b.entries(addrs, u, self)
	cells := assign.DivideEntries(entries, self.Addr)
	b.setCell(cells.Entries(cells.Own()))
	near := 0
	for _, q := range b.peers {
		is.Equal(q.inCell, q.zone == "hall")
		if q.inCell {
			near++
		}
	}
	is.Equal(near, 25)
	b.setCell([]string{self.Addr})
	for _, q := range b.peers {
		is.True(!q.inCell)
		is.Equal(len(q.reopen) == 1, q.zone == "hall") // told to end its stream
	}
	u.EntryZones = nil // control of an earlier version
	is.True(!slices.ContainsFunc(b.entries(addrs, u, self), func(e assign.Entry) bool { return e.Zone != "" }))
}
