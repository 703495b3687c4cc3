// Package fence checks the fencing numbers of orders to an engine, for engines that do not
// check them themselves.
//
// The process beside the engine does the check. It keeps no state on disk, so after a start
// it admits no order until it has read the newest fencing number from a quorum of control.
// With this read it also replaces any earlier process beside the same engine, whose
// permission control then no longer renews. The new process waits for the duration of a
// lease before it admits an order, so that the permission of the earlier process has
// expired. An earlier process that was suspended checks its permission when it resumes, and
// finds that it has expired.
package fence

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Gate admits orders with increasing fencing numbers. It does no locking: the caller
// serialises the calls.
type Gate struct {
	opened bool
	// newest is the highest number that was admitted or read from the quorum.
	newest uint64
	// opensAt is the earliest time at which the gate admits an order.
	opensAt time.Time
}

// Open sets the newest number, as read from a quorum. The gate admits orders from opensAt
// on, which is the duration of a lease after the answer to the read arrived. A second Open
// lowers neither of the two.
func (g *Gate) Open(newest uint64, opensAt time.Time) {
	g.opened = true
	g.newest = max(g.newest, newest)
	if opensAt.After(g.opensAt) {
		g.opensAt = opensAt
	}
}

// Opened reports whether Open was called.
func (g *Gate) Opened() bool { return g.opened }

// WaitTime returns the time at now until opensAt, or zero after it.
func (g *Gate) WaitTime(now time.Time) time.Duration { return max(0, g.opensAt.Sub(now)) }

// Admit admits the order with the given number, or refuses it with a *verdict.Refusal.
// fresh is whether the process has a valid permission at now; the caller must check the
// permission after the order has arrived. An order is admitted only once, because its
// number is then no longer newer than the newest.
func (g *Gate) Admit(now time.Time, number uint64, fresh bool) error {
	switch {
	case !g.opened:
		return verdict.Refuse(verdict.ReasonNoQuorum, time.Second,
			"the newest fencing number has not been read from a quorum yet")
	case now.Before(g.opensAt):
		return verdict.Refuse(verdict.ReasonFenced, g.opensAt.Sub(now),
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

// MayRetry reports whether the admitted order with the given number may be tried again
// after a failure: the process has a valid permission and has admitted no newer order.
func (g *Gate) MayRetry(number uint64, fresh bool) bool { return fresh && number == g.newest }

// Newest returns the highest number that was admitted or read from the quorum.
func (g *Gate) Newest() uint64 { return g.newest }
