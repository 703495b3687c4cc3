// Package quota shares the limits of client accounts out to many processes, so
// that none of them has to ask anybody about a single request.
//
// A Ledger, at the one leader of control, lends parts of each limit. A Holder, in
// each entry, spends what it was lent and reports what it would like. A share is
// a lease: it counts from the moment the holder asked, and the ledger counts it
// until that lease has surely ended, so the shares in force never add up to more
// than the limit. What may come on top is bounded:
//
//   - the floor: a holder that has not been answered about an account lets a small
//     amount through, and pays for it out of its first share;
//   - holding over: a holder that is cut off from control keeps its last share. The
//     ledger lends it out again after it lapsed, so that during a cut an account
//     may reach at most twice its limit.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package quota

// Kind is one of the limited quantities.
type Kind int

// The limited quantities.
const (
	// Requests and Tokens are rates a second.
	Requests Kind = iota
	Tokens
	// Concurrent counts requests in flight; it is lent in whole numbers.
	Concurrent
	// HeldBytes counts the bytes that a process holds for slow readers.
	HeldBytes
	// Kinds is the number of kinds.
	Kinds
)

// Amount is one quantity of each kind. As a limit, zero means that the kind has
// no limit.
type Amount [Kinds]float64

// IsZero reports whether nothing is in a.
func (a Amount) IsZero() bool { return a == Amount{} }

// Share is a part of an account's limit, wanted or lent.
type Share struct {
	Account string
	Amount  Amount
	// Seq is, in a grant, the number of the demand that it answers, and in a
	// demand the number of the newest grant in force; zero for none.
	Seq uint64
}
