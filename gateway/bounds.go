package gateway

import (
	"io"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/stream"
)

// Bounds on what an endpoint may send, which may be bytes without end. Past them its connection is
// closed, and the request may have run.
const (
	// maxAnswerHeaderBytes bounds the head of an answer, interim answers included.
	maxAnswerHeaderBytes = 64 << 10
	// answerSocketBytes bounds what the operating system holds of an answer that is not read yet; it
	// would grow to tens of megabytes.
	answerSocketBytes = 256 << 10
	// maxAnswerBytes bounds an answer that is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxHeldBytes bounds what this process holds of all answers, and maxAccountHeldBytes what it
	// holds for one client account.
	maxHeldBytes        = 32 << 20
	maxAccountHeldBytes = maxHeldBytes / 2
	// maxBodyBytes bounds what this process holds of the bodies of all requests, and maxAccountBodyBytes
	// what it holds for one client account.
	maxBodyBytes        = 64 << 20
	maxAccountBodyBytes = maxBodyBytes / 2
)

var (
	// errAnswerTooLong marks an answer over its own bound, which is the fault of its endpoint.
	errAnswerTooLong = errors.New("the answer is too long")
	// errHeldBytes marks an answer for which the process has no memory left.
	errHeldBytes = errors.New("requests in progress hold too much memory")
)

// newHeldBytes returns the budget for the answers in progress.
func newHeldBytes() *stream.Budget {
	return stream.NewBudget(stream.Limits{Stream: maxAnswerBytes, Account: maxAccountHeldBytes, Process: maxHeldBytes})
}

// newBodyBytes returns the budget for the bodies of requests.
func newBodyBytes() *stream.Budget {
	return stream.NewBudget(stream.Limits{Stream: maxAccountBodyBytes, Account: maxAccountBodyBytes, Process: maxBodyBytes})
}

// heldAnswer is what an attempt holds of an answer in memory.
type heldAnswer struct {
	bytes *stream.Reservation
	// held is the size of bytes, and limit its bound.
	held, limit int64
}

// grow accounts for n more bytes.
func (h *heldAnswer) grow(n int) error {
	if h.held+int64(n) > h.limit {
		return errors.Wrapf(errAnswerTooLong, "over %d bytes", h.limit)
	}
	if !h.bytes.TryGrow(int64(n)) {
		return errHeldBytes
	}
	h.held += int64(n)
	return nil
}

// reset accounts for the end of what is held.
func (h *heldAnswer) reset() {
	h.bytes.Close()
	h.held = 0
}

// bodyReader accounts for the bytes of a body that are read.
type bodyReader struct {
	r    io.Reader
	held *stream.Reservation
}

func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 && !r.held.TryGrow(int64(n)) {
		return 0, errHeldBytes
	}
	return n, err
}

// heldReader accounts for the bytes that are read.
type heldReader struct {
	r    io.Reader
	held *heldAnswer
}

func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if growErr := r.held.grow(n); growErr != nil {
		return 0, growErr
	}
	return n, err
}

// holdAnswer returns the account of what an attempt holds, up to limit bytes. Its caller resets it.
func (c *call) holdAnswer(limit int64) *heldAnswer {
	return &heldAnswer{bytes: c.g.heldBytes.Account(c.account), limit: limit}
}
