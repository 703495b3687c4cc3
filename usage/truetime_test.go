package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Counts went to the wrong window when the wall clock stepped, drifted or the VM was suspended.
func TestTrueTimeFollowsWhatLastsOnly(t *testing.T) {
	const ms = time.Millisecond
	// off returns the wall clock's error at an elapsed time.
	tests := map[string]struct {
		off   func(elapsed time.Duration) time.Duration
		lasts time.Duration
		// least and most bound the error of the estimate at the end.
		least, most time.Duration
	}{
		"exact":                        {func(time.Duration) time.Duration { return 0 }, time.Hour, 0, 0},
		"small step":                   {after(10*time.Second, 200*ms), 20 * time.Second, 95 * ms, 105 * ms},
		"small step, corrected":        {after(10*time.Second, -200*ms), time.Minute, -201 * ms, -199 * ms},
		"step forward":                 {after(10*time.Second, 3*time.Second), 69 * time.Second, 0, 0},
		"step back":                    {after(10*time.Second, -3*time.Second), 69 * time.Second, 0, 0},
		"step at the bound":            {after(10*time.Second, 250*ms), 69 * time.Second, 0, 0},
		"step that lasts":              {after(10*time.Second, -3*time.Second), 71 * time.Second, -3 * time.Second, -3 * time.Second},
		"step and back":                {between(10*time.Second, 65*time.Second, 3*time.Second), 5 * time.Minute, 0, 0},
		"step and a second step":       {steps(10*time.Second, 3*time.Second, 40*time.Second, 5*time.Second), 99 * time.Second, 0, 0},
		"second step that lasts":       {steps(10*time.Second, 3*time.Second, 40*time.Second, 5*time.Second), 101 * time.Second, 5 * time.Second, 5 * time.Second},
		"slow drift, 500 in a million": {func(e time.Duration) time.Duration { return e / 2000 }, time.Hour, 1790 * ms, 1800 * ms},
		"slow drift back":              {func(e time.Duration) time.Duration { return -e / 2000 }, time.Hour, -1800 * ms, -1790 * ms},
		"drift and a step": {func(e time.Duration) time.Duration {
			return e/2000 + between(10*time.Minute, 10*time.Minute+50*time.Second, -20*time.Second)(e)
		}, time.Hour, 1790 * ms, 1800 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_700_000_000, 0)
			tt := NewTrueTime(start, 0)
			var last time.Time
			for e := time.Duration(0); e <= test.lasts; e += 500 * ms {
				now := tt.Now(start.Add(e+test.off(e)), e)
				if now.Before(last) && test.most > -time.Second {
					t.Fatalf("time went back from %v to %v", last, now)
				}
				last = now
			}
			if off := last.Sub(start.Add(test.lasts)); off < test.least || off > test.most {
				t.Errorf("the estimate is off by %v, want %v to %v", off, test.least, test.most)
			}
		})
	}
}

// after is an error of the wall clock from a time on.
func after(at, step time.Duration) func(time.Duration) time.Duration {
	return between(at, 1<<62, step)
}

// between is an error of the wall clock for some time.
func between(from, to, step time.Duration) func(time.Duration) time.Duration {
	return steps(from, step, to, 0)
}

// steps is an error of the wall clock from a time on, and another one from a later time on.
func steps(at, step, at2, step2 time.Duration) func(time.Duration) time.Duration {
	return func(elapsed time.Duration) time.Duration {
		switch {
		case elapsed >= at2:
			return step2
		case elapsed >= at:
			return step
		}
		return 0
	}
}

// The time for which a VM was suspended is part of the elapsed time. A reading of the clocks on either side
// of a suspension looks like a step and must leave no trace.
func TestTrueTimeAcrossASuspension(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	tt := NewTrueTime(start, 0)
	at := func(wall, elapsed time.Duration) time.Duration {
		return tt.Now(start.Add(wall), elapsed).Sub(start)
	}
	is.Equal(at(time.Second, time.Second), time.Second)
	is.Equal(at(time.Second, 601*time.Second), 601*time.Second) // the wall clock was read before
	is.Equal(at(602*time.Second, 602*time.Second), 602*time.Second)
	is.Equal(at(602*time.Second, 601*time.Second), 602*time.Second) // an older reading of the elapsed time
}
