package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// otherCellTimeout bounds the time in which an entry of another cell says whether it has room.
	otherCellTimeout = 150 * time.Millisecond
	// cellWait is how long a request waits in one cell before the others are asked again.
	cellWait = 300 * time.Millisecond
)

// entries returns the entries at these addresses with their availability zones, which u may tell.
func (b *bookings) entries(addrs []string, u *wire.Update, self assign.Entry) []assign.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	zonesKnown := len(u.EntryZones) == len(u.Entries)
	for i, addr := range u.Entries {
		if q := b.peers[addr]; q != nil && zonesKnown {
			q.zone = u.EntryZones[i]
		}
	}
	out := make([]assign.Entry, len(addrs))
	for i, addr := range addrs {
		out[i].Addr = addr
		switch q := b.peers[addr]; {
		case !zonesKnown:
		case q != nil:
			out[i].Zone = q.zone
		case addr == self.Addr:
			out[i].Zone = self.Zone
		}
	}
	return out
}

// setCell records which peers belong to the cell of this entry.
func (b *bookings) setCell(addrs []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, q := range b.peers {
		if inCell := slices.Contains(addrs, addr); inCell != q.inCell {
			q.inCell = inCell
			q.signalReopen()
		}
	}
}

// divide divides the deployment into cells after the list of entries has changed.
func (g *Gateway) divide(entries []assign.Entry) {
	cells := assign.DivideEntries(entries, string(g.Peers))
	own := cells.Entries(cells.Own())
	g.bookings.setCell(own)
	g.placer.setCells(cells, own)
	g.mu.Lock()
	changed := !slices.Equal(own, g.entryAddrs)
	g.entryAddrs = own
	g.fleet.SetCells(cells)
	g.updateSharing()
	g.mu.Unlock()
	if changed {
		g.log.Info("cells changed", "cell", cells.Own(), "entries", len(own), "other_cells", len(cells.Others()), "all_entries", len(entries))
	}
}

// setCells replaces the cells; own are the addresses of this entry's, sorted.
func (p *placer) setCells(cells *assign.Cells, own []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cells, p.addrs = cells, own
}

// otherCells reports whether there are cells other than this entry's.
func (p *placer) otherCells() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cells != nil && len(p.cells.Others()) > 0
}

// contacts returns the entries of the other cells that the entry called self asks to place a request,
// one a cell, in random order: the placing entry of the cell if the prompt is long. The result silent
// reports whether a cell is left out because none of its entries has answered lately.
func (p *placer) contacts(now time.Time, self string, long bool) (out []string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unusable := func(addr string) bool { return !p.usable(now, addr) }
	for _, cell := range p.cells.Others() {
		addr := p.cells.Contact(cell, self, unusable)
		if i := slices.IndexFunc(p.cells.Entries(cell), func(a string) bool { return !unusable(a) }); long && i >= 0 {
			addr = p.cells.Entries(cell)[i]
		}
		if addr == "" {
			silent = true
			continue
		}
		out = append(out, addr)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out, silent
}

// placeAmongCells places a request in this entry's cell if there is room, else in one of the others
// that has room now, and otherwise waits. From time to time it looks for room elsewhere again.
func (g *Gateway) placeAmongCells(ctx context.Context, a *attempt) (*placement, error) {
	for {
		w := a.newWaiter()
		w.Immediate = true
		p, err := g.placeInCell(ctx, w)
		if p != nil || !mayFitElsewhere(err) {
			return p, err
		}
		elsewhere := g.placeElsewhere(ctx, a)
		if elsewhere.placement != nil {
			return elsewhere.placement, nil
		}
		w = a.newWaiter()
		w.YieldAt = g.clock.Now().Add(cellWait)
		switch {
		case schedule.MayClear(verdict.From(err).Reason):
			p, err = g.placeInCell(ctx, w)
		case elsewhere.busy != "":
			p, err = g.placeAtOtherCell(ctx, a, elsewhere.busy, w)
		case elsewhere.silent:
			g.awaitOtherCells(ctx, w)
		}
		if p != nil || ctx.Err() != nil || !g.clock.Now().Before(w.GiveUpAt) || !mayFitElsewhere(err) {
			return p, err
		}
		// A refusal before YieldAt is final: waiting would not have helped.
		if g.clock.Now().Before(w.YieldAt) && !verdict.IsReason(err, verdict.ReasonUnreachable) {
			return p, err
		}
	}
}

// awaitOtherCells waits before the other cells are asked again. An entry that has not answered may go
// on, and may have room.
func (g *Gateway) awaitOtherCells(ctx context.Context, w *waiter) {
	until := w.YieldAt
	if w.GiveUpAt.Before(until) {
		until = w.GiveUpAt
	}
	select {
	case <-ctx.Done():
	case <-g.clock.After(until.Sub(g.clock.Now())):
	}
}

// mayFitElsewhere reports whether a request that was refused in one cell may find room in another one.
func mayFitElsewhere(err error) bool {
	if errors.Is(err, errCallerGone) {
		return false
	}
	switch verdict.From(err).Reason {
	case verdict.ReasonOverloaded, verdict.ReasonEndpointMemory, verdict.ReasonNoEndpoint, verdict.ReasonDeadline, verdict.ReasonUnreachable:
		return true
	}
	return false
}

// elsewhere is what the other cells say about a request.
type elsewhere struct {
	// placement is set if a cell has placed the request.
	placement *placement
	// busy is the address of an entry whose cell has endpoints that are busy, or "".
	busy string
	// silent is set if a cell did not answer, or the entry asked had no valid permission.
	silent bool
}

// placeElsewhere places a request in another cell that has room now.
func (g *Gateway) placeElsewhere(ctx context.Context, a *attempt) elsewhere {
	contacts, silent := g.placer.contacts(g.clock.Now(), string(g.Peers), schedule.ClassOf(&a.request) != route.Short)
	out := elsewhere{silent: silent}
	var refusal *verdict.Refusal
	for _, addr := range contacts {
		askCtx, cancel := context.WithTimeout(ctx, otherCellTimeout)
		w := a.newWaiter()
		w.Immediate = true
		p, err := g.placeAtOtherCell(askCtx, a, addr, w)
		cancel()
		if p != nil || ctx.Err() != nil {
			return elsewhere{placement: p}
		}
		switch refusal = verdict.From(err); {
		case schedule.MayClear(refusal.Reason):
			out.busy = addr
		case refusal.Reason == verdict.ReasonUnreachable, refusal.Reason == verdict.ReasonStaleConfiguration:
			out.silent = true
		}
	}
	reason, detail := "", ""
	if refusal != nil {
		reason, detail = string(refusal.Reason), refusal.Detail
	}
	a.log().Info("request turned away by other cells", "asked", len(contacts), "busy", out.busy, "silent", out.silent, "reason", reason, "detail", detail,
		"left", a.c.deadline.Sub(g.clock.Now()))
	return out
}

// placeAtOtherCell lets an entry of another cell place a request. That entry holds the booking until
// the placement is released. An error is the refusal of the other cell.
func (g *Gateway) placeAtOtherCell(ctx context.Context, a *attempt, addr string, w *waiter) (*placement, error) {
	now := g.clock.Now()
	m := w.toWire(now)
	m.Hold = a.c.deadline.Sub(now)
	answer, stream := g.askPlacer(ctx, addr, m, true)
	switch {
	case answer == nil:
		g.placer.markUnusable(g.clock.Now(), addr)
		return nil, verdict.Refuse(verdict.ReasonUnreachable, defaultRetryAfter, "entry %s of another cell does not answer", addr)
	case answer.Refused != nil:
		return nil, answer.Refused.Refusal()
	}
	p, rejected := g.acceptPlacement(addr, w, answer, stream)
	if p == nil {
		(&placement{g: g, id: w.BookingID, held: stream}).release(true)
		return nil, verdict.Refuse(rejected, defaultRetryAfter, "the choice of entry %s of another cell does not hold", addr)
	}
	g.metrics.placedByOtherCells.Inc()
	return p, nil
}

// holdForPeer holds the booking that this entry has made for an entry of another cell, until that
// entry reports its end, closes the stream, or longest has passed.
func (g *Gateway) holdForPeer(stream wire.Stream, w *waiter, answer *wire.Placed, longest time.Duration) {
	p := &placement{g: g, id: w.BookingID}
	g.bookings.begin(w.BookingID, fromWire(answer.Booking))
	if !g.sendPlaced(stream, answer) || stream.SetDeadline(g.clock.Now().Add(longest)) != nil {
		p.release(true)
		return
	}
	for answered := false; ; {
		m, err := stream.Recv()
		b, ok := m.(*wire.Bookings)
		switch {
		case err != nil || !ok:
			g.log.Debug("booking of another cell ended", "peer", stream.Peer().Name, "booking", w.BookingID, "error", err)
			p.release(!answered)
			return
		case len(b.Ended) > 0 || len(b.Unprefilled) > 0:
			p.release(len(b.Unprefilled) > 0)
			return
		case len(b.Answered) > 0:
			answered = true
			p.markAnswered()
		}
	}
}

// sendHeld tells the entry that holds the booking of a change.
func (p *placement) sendHeld(m *wire.Bookings) {
	err := p.held.SetSendDeadline(p.g.clock.Now().Add(placerTimeout))
	if err == nil {
		err = p.held.Send(m)
	}
	if err != nil {
		// The other entry ends the booking when the stream ends.
		p.g.log.Debug("booking of another cell not updated", "addr", p.placer, "booking", p.id, "error", err)
	}
}

// endHeld ends a booking that an entry of another cell holds, without waiting for it.
func (p *placement) endHeld(unprefilled bool) {
	end := &wire.Bookings{Ended: []uint64{p.id}}
	if unprefilled {
		end = &wire.Bookings{Unprefilled: []uint64{p.id}}
	}
	go func() {
		defer p.held.Abort()
		p.sendHeld(end)
		if p.held.CloseSend() != nil || p.held.SetDeadline(p.g.clock.Now().Add(placerTimeout)) != nil {
			return
		}
		// An abort before the other entry has closed its side could discard the message.
		_, _ = p.held.Recv()
	}()
}
