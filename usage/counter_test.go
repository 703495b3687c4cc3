package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

// second returns a true time in seconds since 1970.
func second(s float64) time.Time { return time.Unix(0, int64(s*float64(time.Second))) }

// A request at the boundary of two windows was counted in the wrong one.
func TestWindowOfATime(t *testing.T) {
	c := NewCounter(5 * time.Second)
	for s, want := range map[float64]uint64{0: 0, 4.999: 0, 5: 1, 1_700_000_000: 340_000_000, 1_700_000_004.99: 340_000_000, -7: 0} {
		is.New(t).Equal(c.windowAt(second(s)), want)
	}
	is.New(t).Equal(NewCounter(2500*time.Millisecond).windowAt(second(7.5)), uint64(3))
}

// A report that was lost, repeated or answered while requests began led to counts that were missing.
func TestReportsAreCumulativeUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	c := NewCounter(5 * time.Second)
	is.Equal(c.Report(), nil)
	c.Began(second(51), "mill")
	c.Began(second(54), "mill")
	c.Began(second(56), "dairy")
	first := c.Report()
	is.Equal(first, []command.WindowCounts{{Window: 10, Counts: map[string]uint64{"mill": 2}}, {Window: 11, Counts: map[string]uint64{"dairy": 1}}})
	is.Equal(c.Report(), first) // the answer was lost

	c.Began(second(57), "mill") // while the report is under way
	is.Equal(len(first[1].Counts), 1)
	c.Acknowledged(first, 10)
	second11 := []command.WindowCounts{{Window: 11, Counts: map[string]uint64{"dairy": 1, "mill": 1}}}
	is.Equal(c.Report(), second11)
	is.Equal(c.Pending(), uint64(1))
	c.Acknowledged(second11, 11)
	c.Acknowledged(first, 10) // a late answer
	is.Equal(c.Report(), nil)
	is.Equal(c.Pending(), uint64(0))
	is.Equal(c.TakeDropped(), nil)
}

// Counts that control dropped because it had closed their window disappeared without a word, or were sent
// again for ever.
func TestCountsOfClosedWindowsAreDropped(t *testing.T) {
	is := is.New(t)
	c := NewCounter(5 * time.Second)
	c.Began(second(51), "mill")
	c.Acknowledged(c.Report(), 10)
	c.Began(second(52), "mill")
	c.Began(second(53), "mill")
	c.Began(second(56), "mill")
	sent := c.Report()
	c.Began(second(54), "dairy")
	c.Acknowledged(sent, 11)
	is.Equal(c.TakeDropped(), []Dropped{{Window: 10, Count: 3, Reason: ReasonClosed}})
	is.Equal(c.TakeDropped(), nil)
	is.Equal(c.Report(), nil)
	is.Equal(len(c.windows), 1)
}

// Without an answer from control, or with many client accounts, the memory grew without bound.
func TestCountsAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCounter(time.Second)
	for i := range maxAccounts + 3 {
		c.Began(second(100), fmt.Sprint("account-", i))
	}
	c.Began(second(100), "account-0")
	is.Equal(len(c.windows[100].counts), maxAccounts)
	is.Equal(c.windows[100].counts["account-0"], uint64(2))
	is.Equal(c.TakeDropped(), []Dropped{{Window: 100, Count: 3, Reason: ReasonBounds}})

	c = NewCounter(time.Second)
	for i := range maxWindows {
		c.Began(second(float64(100+i)), "mill")
	}
	c.Acknowledged(c.Report()[3:5], 0)
	for _, s := range []float64{200, 201} { // in place of the two that are acknowledged
		c.Began(second(s), "mill")
	}
	is.Equal(c.TakeDropped(), nil)
	is.Equal(len(c.windows), maxWindows)
	c.Began(second(400), "mill")
	is.Equal(c.TakeDropped(), []Dropped{{Window: 100, Count: 1, Reason: ReasonBounds}})
}

// A report with many accounts in many windows exceeded the largest message between processes.
func TestLargeReportsAreSplit(t *testing.T) {
	is := is.New(t)
	c := NewCounter(time.Second)
	for s := range 6 {
		for i := range maxAccounts {
			c.Began(second(float64(s)), fmt.Sprint("account-", i))
		}
	}
	first := c.Report()
	is.Equal(len(first), maxReported/maxAccounts)
	c.Acknowledged(first, 0)
	rest := c.Report()
	is.Equal(len(rest), 6-len(first))
	is.Equal(rest[0].Window, uint64(len(first)))
}
