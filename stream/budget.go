package stream

import "sync"

// Limits bound the bytes held for readers.
type Limits struct {
	// Stream, Account and Process are the most bytes held for one stream, for all
	// streams of a client account, and for all streams of the process.
	Stream  int64 `json:"stream_bytes" validate:"min=1"`
	Account int64 `json:"account_bytes" validate:"min=1"`
	Process int64 `json:"process_bytes" validate:"min=1"`
}

// Budget accounts the bytes held for readers. It is safe for concurrent use; its
// lock is "stream.Budget" in the lock order.
type Budget struct {
	limits Limits

	mu       sync.Mutex
	process  int64
	peak     int64
	accounts map[string]int64
}

// NewBudget returns a budget with nothing held.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, accounts: map[string]int64{}}
}

// Held returns the bytes held now and the most that were held at once.
func (b *Budget) Held() (now, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process, b.peak
}

// NewReservation opens the account of one stream.
func (b *Budget) NewReservation(name string) *Reservation {
	return &Reservation{budget: b, account: name}
}

// Reservation is what one stream holds. It is used by one goroutine at a time.
type Reservation struct {
	budget  *Budget
	account string
	bytes   int64
}

// TryGrow holds n more bytes, or none when any of the three limits would be passed.
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

// Shrink returns n bytes.
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

// Close returns all that the stream holds.
func (h *Reservation) Close() { h.Shrink(h.bytes) }
