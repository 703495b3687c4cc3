// Package fence keeps orders to an engine apart by their fencing numbers, for
// engines that do not check the numbers themselves.
//
// The process beside the engine is the fence. It has no disk, so after a start it
// passes nothing before it has read the newest number from a quorum. That read
// also takes the place of any earlier process for the same engine: control renews
// its permission no more. The permission lapses by itself, so the new process
// waits for one lease before it acts, and an old one that was frozen checks its
// own permission, which has lapsed by then, when it thaws.
package fence

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Gate passes orders with rising numbers. It does no locking.
type Gate struct {
	opened bool
	// newest is the highest number that passed or was read from the quorum.
	newest uint64
	// from is when the gate may first pass an order.
	from time.Time
}

// Open sets the newest number as read from a quorum. Orders pass from the moment
// from on: one lease after the answer to the read came in.
func (g *Gate) Open(newest uint64, from time.Time) {
	g.opened = true
	g.newest = max(g.newest, newest)
	if from.After(g.from) {
		g.from = from
	}
}

// Opened reports whether the newest number has been read.
func (g *Gate) Opened() bool { return g.opened }

// WaitTime returns how long the gate still passes nothing once it is opened.
func (g *Gate) WaitTime(now time.Time) time.Duration { return max(0, g.from.Sub(now)) }

// Admit lets an order pass or says why not. fresh says whether the process holds
// its permission at now; it must be looked up after the order came in. An order
// passes once: its own number is old from then on.
func (g *Gate) Admit(now time.Time, number uint64, fresh bool) error {
	switch {
	case !g.opened:
		return verdict.Refuse(verdict.ReasonNoQuorum, time.Second,
			"the newest fencing number has not been read from a quorum yet")
	case now.Before(g.from):
		return verdict.Refuse(verdict.ReasonFenced, g.from.Sub(now),
			"an earlier process beside the engine may still act")
	case !fresh:
		return verdict.Refuse(verdict.ReasonStaleConfiguration, time.Second,
			"this process cannot tell whether it was replaced")
	case number <= g.newest:
		return verdict.Refuse(verdict.ReasonFenced, 0,
			"fencing number %d is not newer than %d", number, g.newest)
	}
	g.newest = number
	return nil
}

// MayRetry reports whether the order that passed with number is still the newest,
// and may be tried again after a failure.
func (g *Gate) MayRetry(number uint64, fresh bool) bool { return fresh && number == g.newest }

// Newest returns the newest number that passed or was read.
func (g *Gate) Newest() uint64 { return g.newest }
