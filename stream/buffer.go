package stream

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrClosed is returned by a Buffer whose reader has gone.
var ErrClosed = errors.New("reader has gone")

// Buffer passes bytes from a writer to a slower reader and holds no more than a
// Reservation allows. The writer waits while nothing more may be held, which pauses
// its source. Neither side holds a lock while it waits.
type Buffer struct {
	holding *Reservation

	mu     sync.Mutex
	parts  [][]byte
	err    error
	closed bool
	changed   chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer(h *Reservation) *Buffer {
	return &Buffer{holding: h, changed: make(chan struct{})}
}

func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Write adds a copy of p. An empty buffer always takes one write, so that a
// budget used up by others slows a stream and never stops it.
func (b *Buffer) Write(ctx context.Context, p []byte) error {
	for {
		wake, err := b.tryWrite(p)
		if wake == nil {
			return err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryWrite returns a nil channel once p is taken or the reader has gone.
func (b *Buffer) tryWrite(p []byte) (<-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	if !b.holding.TryGrow(int64(len(p))) && len(b.parts) > 0 {
		return b.changed, nil
	}
	b.parts = append(b.parts, append([]byte(nil), p...))
	b.notify()
	return nil, nil
}

// Finish marks the end: io.EOF for a whole answer, or what broke it.
func (b *Buffer) Finish(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.notify()
}

// Read returns the next part, or the error given to Finish after the last part.
func (b *Buffer) Read(ctx context.Context) ([]byte, error) {
	for {
		b.mu.Lock()
		if len(b.parts) > 0 {
			part := b.parts[0]
			b.parts = b.parts[1:]
			b.holding.Shrink(int64(len(part)))
			b.notify()
			b.mu.Unlock()
			return part, nil
		}
		wake, err := b.changed, b.err
		b.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Close drops what is held and stops the writer.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.parts = nil
	if b.err == nil {
		b.err = io.ErrClosedPipe
	}
	b.holding.Close()
	b.notify()
}
