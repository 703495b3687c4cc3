package reserve

import (
	"testing"

	"github.com/matryer/is"
)

func TestBacklog(t *testing.T) {
	is := is.New(t)
	b := &Backlog{}
	is.Equal(b.Pending(start, 10_000), int64(0))
	b.Add(start, "long", 400_000)
	b.Add(after(1), "short", 2_000)
	is.Equal(b.Pending(after(10), 10_000), int64(302_000)) // 402,000 when no progress is assumed
	is.Equal(b.Pending(after(10), 0), int64(402_000))      // no measured rate
	is.Equal(b.Pending(after(90), 10_000), int64(22_000))  // longer than predicted, but no first token yet
	b.Remove(after(91), "long")
	b.Remove(after(91), "long")
	is.Equal(b.Pending(after(91.1), 10_000), int64(1_000))
	b.Add(after(92), "cancelled", 50_000)
	b.Remove(after(93), "cancelled")
	b.Remove(after(93), "short")
	is.Equal(b.Pending(after(94), 10_000), int64(0))
	b.Add(after(95), "lost", 10_000)
	b.Clear()
	is.Equal(b.Pending(after(96), 10_000), int64(0))
}
