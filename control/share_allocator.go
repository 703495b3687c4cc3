package control

import (
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// shareAllocator allocates shares of the client accounts' limits while this replica is the
// leader. Each term begins with a new quota.Allocator.
type shareAllocator struct {
	// leaseDuration is how long a granted share is valid.
	leaseDuration time.Duration

	// mu guards the fields below. No other lock is taken while it is held.
	mu        sync.Mutex
	allocator *quota.Allocator
	// term is the term that allocator belongs to.
	term uint64
}

// startTerm replaces the allocator if this replica leads in a new term, and expires shares. It
// is called before each round of allocations. The allocator of a new term grants nothing until the shares granted in earlier
// terms have expired.
func (l *shareAllocator) startTerm(now time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil || l.term != term {
		l.allocator, l.term = quota.NewAllocator(now, l.leaseDuration), term
	}
	l.allocator.Expire(now)
}

// demand allocates shares for one entry's demand, which arrived at receivedAt. It ignores
// accounts that are not in doc.
func (l *shareAllocator) demand(receivedAt time.Time, doc *config.Document, h *pendingHeartbeat) []wire.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := func(account string) quota.Amount { return session.LimitAmount(doc.Accounts[account].Limits) }
	known := make([]quota.Share, 0, len(h.demand))
	for _, s := range session.SharesFromWire(h.demand) {
		if _, ok := doc.Accounts[s.Account]; ok {
			known = append(known, s)
		}
	}
	return session.SharesToWire(l.allocator.Allocate(receivedAt, h.process, h.seq, known, limits), l.leaseDuration)
}

// grantShares answers the entries' demands for shares that came with the heartbeats. The
// replica must have been the leader in term since they arrived.
func (s *Server) grantShares(term uint64, heartbeats []pendingHeartbeat) {
	now := s.clock.Now()
	s.shareAllocator.startTerm(now, term)
	doc := s.store.document()
	for i := range heartbeats {
		h := &heartbeats[i]
		if h.session != nil && h.session.role != wire.RoleEntry {
			continue
		}
		// The entry counts a share's validity from when it sent the demand, which is before
		// now. The share therefore expires at the entry before it does here.
		shares := s.shareAllocator.demand(now, doc, h)
		switch {
		case len(shares) == 0:
		case h.session != nil:
			s.table.setShares(h.session, shares)
		default:
			h.remote.grantShares(sharesReport{Process: h.process, Shares: shares})
		}
	}
}
