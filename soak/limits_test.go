package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// arrive records n arrivals at equal intervals in a span and returns those in excess.
func arrive(l *LimitedArrivals, from, span time.Duration, n int) (excess int) {
	for i := range n {
		if _, _, over := l.Arrived(at(from + span*time.Duration(i)/time.Duration(n))); over {
			excess++
		}
	}
	return excess
}

func TestArrivalsOverANamedLimitAreFound(t *testing.T) {
	const allowed = 17 // 1.5 x 2 a second x 4 s + 5
	tests := map[string]struct {
		arrive func(l *LimitedArrivals) int
		want   int
	}{
		"as many as allowed":     {func(l *LimitedArrivals) int { return arrive(l, 5*time.Second, 4*time.Second, allowed) }, 0},
		"one more":               {func(l *LimitedArrivals) int { return arrive(l, 5*time.Second, 4*time.Second, allowed+1) }, 1},
		"before the limit binds": {func(l *LimitedArrivals) int { return arrive(l, time.Second, 1900*time.Millisecond, 2*allowed) }, 0},
		"before it is told": {func(l *LimitedArrivals) int {
			return arrive(l, 0, 400*time.Millisecond, 100) + arrive(l, 4*time.Second, time.Second, allowed)
		}, 0},
		"lowered, at once": {func(l *LimitedArrivals) int {
			l.Answered(at(10*time.Second), 1)
			return arrive(l, 11*time.Second, time.Second, allowed)
		}, 0},
		"lowered, later": {func(l *LimitedArrivals) int {
			l.Answered(at(10*time.Second), 1)
			return arrive(l, 15*time.Second, time.Second, allowed)
		}, allowed - 11},
		"ended": {func(l *LimitedArrivals) int {
			l.Answered(at(10*time.Second), 0)
			return arrive(l, 15*time.Second, time.Second, 100)
		}, 0},
		"named again": {func(l *LimitedArrivals) int {
			l.Answered(at(10*time.Second), 0)
			l.Answered(at(11*time.Second), 2)
			return arrive(l, 13*time.Second, 900*time.Millisecond, allowed) + arrive(l, 14*time.Second, time.Second, 1)
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &LimitedArrivals{ContactTime: 3 * time.Second}
			l.Answered(at(0), 2)
			is.Equal(test.arrive(l), test.want)
		})
	}
}
