package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

func TestShareOfExtraRetries(t *testing.T) {
	const window = 10 * time.Second
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := map[string]struct {
		counts map[float64]int64 // by the time in seconds
		at     float64
		want   int64
	}{
		"before the first list":                  {nil, 100, 0},
		"an earlier start may have spent it":     {map[float64]int64{1: 4}, 14, 0},
		"a window and the delay of lists later":  {map[float64]int64{1: 4}, 15, 4},
		"a replica lists few entries at first":   {map[float64]int64{1: 1, 6: 4}, 15, 4},
		"an entry joins":                         {map[float64]int64{1: 4, 20: 5}, 20, 5},
		"an entry that left may have spent some": {map[float64]int64{1: 4, 20: 3}, 29, 4},
		"an entry that left a window ago":        {map[float64]int64{1: 4, 20: 3}, 31, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := entryCount{started: start}
			for second := range 101 {
				if n, ok := test.counts[float64(second)]; ok {
					c.record(at(float64(second)), n, window)
				}
			}
			is.Equal(c.sharing(at(test.at), window), test.want)
		})
	}
}

// TestEntriesShareExtraRetriesWhileTheyRestart checks that entries that start, end and learn late
// of one another never spend more than RetryLimits.Extra in a window.
func TestEntriesShareExtraRetriesWhileTheyRestart(t *testing.T) {
	limits := RetryLimits{Extra: 20, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var entries []*retryBudget
		var spent []time.Time
		// listed is the number of entries, and changed the time of its last change. Entries learn
		// of a change within entryListDelay.
		listed, changed := 0, now
		inform := func() {
			for _, b := range entries {
				b.recordEntries(now, int64(listed))
			}
		}
		start := func(*rapid.T) {
			if len(entries) < 8 {
				entries = append(entries, newRetryBudget(limits, now))
				listed, changed = len(entries), now
			}
		}
		start(nil)
		t.Repeat(map[string]func(*rapid.T){
			"start": start,
			"kill": func(t *rapid.T) {
				if len(entries) > 1 {
					entries = entries[1:]
					listed, changed = len(entries), now
				}
			},
			"restart": func(t *rapid.T) {
				n := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				entries[n] = newRetryBudget(limits, now)
				changed = now
			},
			"inform": func(*rapid.T) { inform() },
			"spend": func(t *rapid.T) {
				b := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
				for b.trySpend(now, "desk", b.sharing(now)) {
					spent = append(spent, now)
				}
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
				if now.Sub(changed) >= entryListDelay-4*time.Second {
					inform()
				}
				spent = dropBefore(spent, now.Add(-limits.Window))
				if float64(len(spent)) > limits.Extra {
					t.Fatalf("%d extra retries in a window", len(spent))
				}
			},
		})
	})
}

func TestEntryCutOffFromControlHasNoShareOfExtraRetries(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	is.Equal(w.g.retrySharing(), int64(1))
	w.session.expired.Store(true)
	is.Equal(w.g.retrySharing(), int64(0))
}

// A retry that was given back when its attempt was not sent let the next attempt pass without one.
func TestRetryThatIsNotSentIsGivenBackOnce(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "good"))
	w.g.retries.setLimits(RetryLimits{Extra: 1, Window: 10 * time.Second})
	left := func() float64 { return w.g.retries.remaining(w.g.clock.Now(), "desk", 1) }
	c := w.call("/status/1", 0)
	lost := verdict.Uncertain(verdict.ReasonEndpointLost, 0, "lost")
	is.True(c.mayTryAgain(lost))
	is.Equal(left(), 0.0)
	for range 2 {
		a := c.newAttempt(context.Background())
		a.spent, c.spent = c.spent, time.Time{}
		c.open = append(c.open, a)
		c.close(a, false)
		is.True(c.mayTryAgain(verdict.Refuse(verdict.ReasonEndpointMemory, 0, "full")))
		is.True(!c.spent.IsZero()) // for the next attempt
	}
	is.True(c.mayTryAgain(lost))
	is.Equal(left(), 0.0)
	c.endAttempts(nil)
	c.endAttempts(nil)
	is.Equal(left(), 1.0)
}

// A retry that was granted long before it was sent counted from its grant, and giving it back undid the
// retry of another request.
func TestRetryCountsFromItsSend(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	newBudget := func() *retryBudget {
		return newRetryBudget(RetryLimits{Extra: 1, Window: 10 * time.Second}, time.Time{})
	}
	b := newBudget()
	is.True(b.trySpend(at(0), "desk", 1))
	is.True(b.trySpend(at(10.5), "desk", 1))
	b.giveBack("desk", at(0)) // the first was not sent
	is.True(!b.trySpend(at(11), "desk", 1))

	b = newBudget()
	is.True(b.trySpend(at(0), "desk", 1))
	b.moveTo(at(9), "desk", at(0))
	is.True(!b.trySpend(at(11), "desk", 1))
	is.True(b.trySpend(at(19.5), "desk", 1))
}
