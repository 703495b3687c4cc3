package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzEvents checks that the events of a stream are its bytes, whole and in order, whatever an endpoint
// sends, and that what is held is accounted for.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("data: a\r\n\r\n\n\n\x00\xff: \nid:\n"))
	f.Add([]byte("id: 1\ndata: cut"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		budget := newHeldBytes()
		held := &heldAnswer{bytes: budget.Account("parish"), limit: 1 << 10}
		events := newEventReader(iotest.OneByteReader(bytes.NewReader(raw)), held)
		var seen []byte
		for {
			ev, err := events.next()
			if len(ev.raw) > 1<<10 {
				t.Fatalf("an event of %d bytes", len(ev.raw))
			}
			if now, _ := budget.Held(); now != int64(len(ev.raw)) {
				t.Fatalf("%d bytes accounted for, %d held", now, len(ev.raw))
			}
			if err == nil {
				if !bytes.HasSuffix(ev.raw, []byte("\n")) {
					t.Fatalf("%q is no whole event", ev.raw)
				}
				seen = append(seen, ev.raw...)
				continue
			}
			if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !bytes.Equal(seen, raw) {
				t.Fatalf("%q of %q", seen, raw)
			}
			break
		}
		held.reset()
		if now, _ := budget.Held(); now != 0 {
			t.Fatalf("%d bytes left over", now)
		}
	})
}
