package stream

import "sync"

// Limits bound the bytes that a process holds in memory for its streams.
type Limits struct {
	// Stream, Account and Process are the maximum bytes for one stream, for all
	// streams of a client account, and for all streams of the process.
	Stream  int64 `json:"stream_bytes" validate:"min=1"`
	Account int64 `json:"account_bytes" validate:"min=1"`
	Process int64 `json:"process_bytes" validate:"min=1"`
}

// Budget tracks the bytes that streams hold in memory and enforces Limits on them. It is
// safe for concurrent use. The lock order lists its lock as "stream.Budget".
type Budget struct {
	limits Limits

	mu sync.Mutex
	// process is the bytes in use now, peak the most so far.
	process int64
	peak    int64
	// accounts holds the bytes by client account. Shrink removes an entry that falls
	// to zero.
	accounts map[string]int64
}

// NewBudget returns a budget with no bytes in use.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, accounts: map[string]int64{}}
}

// Held returns the bytes in use now and the peak since the budget was created.
func (b *Budget) Held() (now, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process, b.peak
}

// Account returns an empty reservation for one stream of the client account called name.
func (b *Budget) Account(name string) *Reservation {
	return &Reservation{budget: b, account: name}
}

// Reservation is the part of a Budget that one stream holds. It must be used by one
// goroutine at a time.
type Reservation struct {
	budget  *Budget
	account string
	bytes   int64
}

// TryGrow adds n bytes to the reservation and returns true. If this would exceed any of
// the three limits, it changes nothing and returns false.
func (h *Reservation) TryGrow(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.bytes+n > b.limits.Stream || b.accounts[h.account]+n > b.limits.Account || b.process+n > b.limits.Process {
		return false
	}
	h.bytes += n
	b.process += n
	b.accounts[h.account] += n
	b.peak = max(b.peak, b.process)
	return true
}

// Shrink returns n bytes to the budget, or all of the reservation if it holds fewer.
func (h *Reservation) Shrink(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	b.process -= n
	b.accounts[h.account] -= n
	if b.accounts[h.account] == 0 {
		delete(b.accounts, h.account)
	}
}

// Close returns all of the reservation to the budget.
func (h *Reservation) Close() { h.Shrink(h.bytes) }
