package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRequestsInAPauseAreCountedByEntry(t *testing.T) {
	is := is.New(t)
	var p Pauses
	_, excess := p.Arrived(at(0), "a")
	is.True(!excess)
	p.Asked(at(0), "a", 2*time.Second)
	p.Asked(at(time.Second), "a", 3*time.Second) // goes on until 4 s
	for i, after := range []time.Duration{100, 400, 600, 3900, 3950, 4100} {
		n, excess := p.Arrived(at(after*time.Millisecond), "a")
		is.Equal(n, []int{0, 0, 1, 2, 3, 0}[i])
		is.Equal(excess, after == 3950)
		n, _ = p.Arrived(at(after*time.Millisecond), "b")
		is.Equal(n, 0)
	}
}
