package autoscale

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// constant returns n samples of the same demand.
func constant(n int, d Demand) []Demand {
	out := make([]Demand, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// rising returns n samples of busy slots that begin at from and rise by a step each second.
func rising(n int, from, step float64) []Demand {
	out := make([]Demand, n)
	for i := range out {
		out[i].Busy = from + step*float64(i)
	}
	return out
}

func TestDecide(t *testing.T) {
	limits := Limits{Min: 1, Max: 20, BootTime: 20 * time.Second}
	same := func(n, count int) []int {
		out := make([]int, n)
		for i := range out {
			out[i] = count
		}
		return out
	}
	busy := func(slots float64) []Demand { return constant(10, Demand{Busy: slots}) }
	for name, c := range map[string]struct {
		in   Input
		want int
	}{
		"the target utilization is kept":                     {Input{Demand: busy(56), Current: 1, Serving: 8}, 10},
		"a part of an endpoint needs one":                    {Input{Demand: busy(57), Current: 1, Serving: 8}, 11},
		"a ramp counts at the end of the boot time":          {Input{Demand: rising(10, 10, 1), Current: 3, Serving: 3}, 7}, // level 17, plus 20 s at 1 slot/s
		"a falling demand is not extrapolated":               {Input{Demand: rising(10, 60, -2), Current: 1, Serving: 8}, 9},
		"a step is not extrapolated":                         {Input{Demand: append(constant(5, Demand{Busy: 7}), constant(5, Demand{Busy: 14})...), Current: 2, Serving: 3}, 3},
		"waiting requests count":                             {Input{Demand: constant(10, Demand{Busy: 24, Waiting: 25}), Current: 3, Serving: 3}, 9},
		"refused requests count":                             {Input{Demand: constant(10, Demand{Busy: 24, Refused: 25}), Current: 3, Serving: 3}, 9},
		"requests that come back do not count without bound": {Input{Demand: constant(10, Demand{Busy: 8, Refused: 900}), Current: 1, Serving: 1}, 6},
		"a service without endpoints starts":                 {Input{Demand: constant(10, Demand{Waiting: 2}), Current: 0}, 1},
		"the largest count":                                  {Input{Demand: busy(1e9), Current: 20, Serving: 20}, 20},
		"the smallest count":                                 {Input{Demand: busy(0), Current: 1, Required: same(30, 1)}, 1},
		"an order above new limits falls at once":            {Input{Demand: busy(1e9), Current: 25, Serving: 25}, 20},
		"an order below new limits rises at once":            {Input{Demand: busy(0), Current: 0}, 1},
		"too few samples":                                    {Input{Demand: constant(9, Demand{Busy: 100}), Current: 4, Serving: 4}, 4},
		"a lower count has not sufficed for long enough":     {Input{Demand: busy(7), Current: 10, Serving: 10, Required: same(29, 2), SinceLowered: time.Hour}, 10},
		"the largest count of that time decides":             {Input{Demand: busy(7), Current: 10, Serving: 10, Required: append(same(29, 2), 9), SinceLowered: time.Hour}, 9},
		"a fifth at a time":                                  {Input{Demand: busy(7), Current: 10, Serving: 10, Required: same(30, 2), SinceLowered: time.Hour}, 8},
		"one endpoint at least":                              {Input{Demand: busy(1), Current: 3, Serving: 3, Required: same(30, 1), SinceLowered: time.Hour}, 2},
		"not again at once":                                  {Input{Demand: busy(7), Current: 10, Serving: 10, Required: same(30, 2), SinceLowered: 9 * time.Second}, 10},
	} {
		t.Run(name, func(t *testing.T) {
			c.in.Limits, c.in.Slots = limits, 8
			is.New(t).Equal(Decide(c.in).Count, c.want)
		})
	}
	t.Run("without the slots of an endpoint the count stays", func(t *testing.T) {
		is.New(t).Equal(Decide(Input{Demand: busy(100), Limits: limits, Current: 4}).Count, 4)
	})
}
