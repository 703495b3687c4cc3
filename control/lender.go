package control

import (
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// lender keeps the ledger of the client accounts' shares while this replica
// leads. Each term of leadership starts an empty one.
type lender struct {
	valid time.Duration

	// mu is "control.lender" of kernel.LockOrder.
	mu     sync.Mutex
	ledger *quota.Allocator
	term   uint64
}

// led tells the lender that this replica leads in term. The ledger of a new term
// waits until the shares of earlier ones have lapsed.
func (l *lender) led(now time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ledger == nil || l.term != term {
		l.ledger, l.term = quota.NewAllocator(now, l.valid), term
	}
	l.ledger.Expire(now)
}

// demand answers one entry's demand, which came in at heard.
func (l *lender) demand(heard time.Time, doc *config.Document, w *waiting) []wire.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := func(account string) quota.Amount { return session.LimitAmount(doc.Accounts[account].Limits) }
	known := make([]quota.Share, 0, len(w.demand))
	for _, s := range session.SharesFromWire(w.demand) {
		if _, ok := doc.Accounts[s.Account]; ok {
			known = append(known, s)
		}
	}
	return session.SharesToWire(l.ledger.Allocate(heard, w.process, w.seq, known, limits), l.valid)
}

// lend answers the demands that came with the heartbeats.
func (s *Server) lend(term uint64, beats []waiting) {
	now := s.clock.Now()
	s.lender.led(now, term)
	doc := s.store.document()
	for i := range beats {
		w := &beats[i]
		if w.session != nil && w.session.role != wire.RoleEntry {
			continue
		}
		// The share counts from the sending of the demand; now is later.
		shares := s.lender.demand(now, doc, w)
		switch {
		case len(shares) == 0:
		case w.session != nil:
			s.table.lent(w.session, shares)
		default:
			w.remote.lend(sharesReport{Process: w.process, Shares: shares})
		}
	}
}
