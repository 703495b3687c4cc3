package stream

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrClosed is returned by Buffer.Write after the reader has closed the buffer.
var ErrClosed = errors.New("stream buffer closed by its reader")

// Buffer passes bytes from a writer to a slower reader and holds no more bytes than its
// Reservation allows. Write blocks while the reservation cannot grow, which pauses the
// source of the stream. Neither side holds a lock while it waits.
type Buffer struct {
	reservation *Reservation

	mu sync.Mutex
	// parts are the writes that have not been read.
	parts [][]byte
	// err is the argument of Finish, or io.ErrClosedPipe after Close.
	err    error
	closed bool
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}
}

// NewBuffer returns an empty buffer that accounts for its bytes in h.
func NewBuffer(h *Reservation) *Buffer {
	return &Buffer{reservation: h, changed: make(chan struct{})}
}

// notify wakes all goroutines that wait in Write and Read. The caller holds b.mu.
func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Write appends a copy of p. It blocks while the reservation cannot grow by len(p), until
// ctx ends. An empty buffer accepts one write even when the budget is exhausted, so that
// other streams can slow this one down but never stop it.
func (b *Buffer) Write(ctx context.Context, p []byte) error {
	for {
		changed, err := b.tryWrite(p)
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryWrite appends a copy of p, or returns a channel that is closed when Write may try
// again. The channel is nil once p has been appended or the buffer is closed.
func (b *Buffer) tryWrite(p []byte) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	if !b.reservation.TryGrow(int64(len(p))) && len(b.parts) > 0 {
		return b.changed, nil
	}
	b.parts = append(b.parts, append([]byte(nil), p...))
	b.notify()
	return nil, nil
}

// Finish ends the stream. Read returns err after the last part: io.EOF for a complete
// stream, or the error that interrupted the stream.
func (b *Buffer) Finish(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.notify()
}

// Read returns the next part. It blocks while there is none, until ctx ends. After the
// last part it returns the error given to Finish.
func (b *Buffer) Read(ctx context.Context) ([]byte, error) {
	for {
		b.mu.Lock()
		if len(b.parts) > 0 {
			part := b.parts[0]
			b.parts = b.parts[1:]
			b.reservation.Shrink(int64(len(part)))
			b.notify()
			b.mu.Unlock()
			return part, nil
		}
		changed, err := b.changed, b.err
		b.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Close discards the unread parts, releases the reservation and makes Write return
// ErrClosed. The reader calls it.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.parts = nil
	if b.err == nil {
		b.err = io.ErrClosedPipe
	}
	b.reservation.Close()
	b.notify()
}
