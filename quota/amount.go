// Package quota divides the limits of client accounts among many processes, so that a
// process admits a request without asking any other.
//
// An Allocator, in the leader of control, grants parts of each limit, called shares. A
// Limiter, in each entry, enforces the shares that were granted to the entry, which is
// called their holder, and reports its demand. A share is a lease that counts from the
// moment the holder sent its demand. The allocator counts a share until the lease has
// certainly ended, so the shares in force never add up to more than the limit. Usage may exceed the limit only in these cases,
// and by a bounded amount:
//
//   - Initial allowance: before the first answer about an account, a limiter admits a
//     small amount and deducts it from the first share.
//   - Disconnected holders: a holder that cannot reach control keeps using its last share.
//     The allocator grants that share to others after the lease has ended, so during a
//     partition an account may reach up to twice its limit.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package quota

// Kind is one of the limited quantities.
type Kind int

// The limited quantities.
const (
	// Requests and Tokens are rates per second.
	Requests Kind = iota
	Tokens
	// Concurrent is the number of requests in flight. It is granted in whole numbers.
	Concurrent
	// HeldBytes is the number of bytes that a process buffers for slow readers.
	HeldBytes
	// Kinds is the number of kinds.
	Kinds
)

// Amount holds one quantity of each kind. In a limit, zero means that the kind is not
// limited.
type Amount [Kinds]float64

// IsZero reports whether all quantities are zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// Share is a part of an account's limit, demanded by a limiter or granted by the
// allocator.
type Share struct {
	Account string
	Amount  Amount
	// Seq is the number of a demand: in a grant, of the demand that it answers, and in a
	// demand, of the demand whose grant is in force at the holder, or zero for none.
	Seq uint64
}
