package control

import (
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// shareAllocator keeps the ledger of the client accounts' shares while this replica
// leads. Each term of leadership starts an empty one.
type shareAllocator struct {
	leaseDuration time.Duration

	// mu is "control.lender" of kernel.LockOrder.
	mu        sync.Mutex
	allocator *quota.Allocator
	term      uint64
}

// startTerm tells the lender that this replica leads in term. The ledger of a new term
// waits until the shares of earlier ones have lapsed.
func (l *shareAllocator) startTerm(now time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil || l.term != term {
		l.allocator, l.term = quota.NewAllocator(now, l.leaseDuration), term
	}
	l.allocator.Expire(now)
}

// demand answers one entry's demand, which came in at heard.
func (l *shareAllocator) demand(receivedAt time.Time, doc *config.Document, w *pendingHeartbeat) []wire.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := func(account string) quota.Amount { return session.LimitAmount(doc.Accounts[account].Limits) }
	known := make([]quota.Share, 0, len(w.demand))
	for _, s := range session.SharesFromWire(w.demand) {
		if _, ok := doc.Accounts[s.Account]; ok {
			known = append(known, s)
		}
	}
	return session.SharesToWire(l.allocator.Allocate(receivedAt, w.process, w.seq, known, limits), l.leaseDuration)
}

// grantShares answers the demands that came with the heartbeats.
func (s *Server) grantShares(term uint64, heartbeats []pendingHeartbeat) {
	now := s.clock.Now()
	s.shareAllocator.startTerm(now, term)
	doc := s.store.document()
	for i := range heartbeats {
		w := &heartbeats[i]
		if w.session != nil && w.session.role != wire.RoleEntry {
			continue
		}
		// The share counts from the sending of the demand; now is later.
		shares := s.shareAllocator.demand(now, doc, w)
		switch {
		case len(shares) == 0:
		case w.session != nil:
			s.table.setShares(w.session, shares)
		default:
			w.remote.grantShares(sharesReport{Process: w.process, Shares: shares})
		}
	}
}
