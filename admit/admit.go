// Package admit decides whether a request can finish within its deadline.
//
// It estimates the tokens of a prompt, weighs the predicted wait, prefill and output
// against the deadline and refuses at once what cannot finish, with the time to come
// back. What it refuses has not run. It learns how far predictions fall short.
package admit

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Constants of the allowance for wrong predictions.
const (
	// initialFactor is the factor on predictions before any has been checked.
	initialFactor = 1.3
	// minFactor and mostFactor bound the learned factor.
	minFactor = 1.1
	maxFactor  = 4.0
	// missMultiplier and lower move the factor after a prediction that fell short of the truth
	// and after one that held. Their ratio makes one in 100 fall short.
	missMultiplier = 1.05
	hitMultiplier = 0.9995
	// slack is time kept for what no prediction covers: the network and scheduling.
	slack = 250 * time.Millisecond
	// maxRetryAfter bounds the time that a refused caller is told to wait.
	maxRetryAfter = time.Minute
	// minRetryAfter is the least such time.
	minRetryAfter = 200 * time.Millisecond
)

// Forecast is what a request is predicted to take.
type Forecast struct {
	// Wait is the time before its prefill starts, at the entry and at the endpoint.
	Wait time.Duration
	// Prefill is the time from then to its first token.
	Prefill time.Duration
	// Output is the time from the first token to the end, at the bound of its output.
	Output time.Duration
}

// DeadlineController admits requests by deadline. Calls are serialised by the host.
type DeadlineController struct {
	factor [route.Classes]float64
}

// NewDeadlineController returns an admission that has checked no prediction yet.
func NewDeadlineController() *DeadlineController {
	d := &DeadlineController{}
	for c := range d.factor {
		d.factor[c] = initialFactor
	}
	return d
}

// Admit refuses a request that is predicted to miss its deadline. The refusal says
// when the wait is expected to be short enough; it names no time when the request
// could not finish in time even without a wait.
func (d *DeadlineController) Admit(now time.Time, class route.Class, f Forecast, deadline time.Time) error {
	timeLeft := deadline.Sub(now)
	needed := d.RequiredTime(class, f)
	if needed <= timeLeft {
		return nil
	}
	alone := d.RequiredTime(class, Forecast{Prefill: f.Prefill, Output: f.Output})
	if alone > timeLeft {
		return verdict.Refuse(verdict.ReasonDeadline, 0,
			"the request takes about %v alone and has %v left", alone.Round(time.Millisecond), timeLeft.Round(time.Millisecond))
	}
	retry := min(max(needed-timeLeft, minRetryAfter), maxRetryAfter)
	return verdict.Refuse(verdict.ReasonOverloaded, retry,
		"the request would take about %v and has %v left", needed.Round(time.Millisecond), timeLeft.Round(time.Millisecond))
}

// RequiredTime returns the time that a request has to have left to be admitted.
func (d *DeadlineController) RequiredTime(class route.Class, f Forecast) time.Duration {
	predicted := float64(f.Wait + f.Prefill + f.Output)
	return time.Duration(predicted*d.factor[class]) + slack
}

// LatestStart returns when a waiting request can no longer finish in time: without a
// further wait, it needs all the time left.
func (d *DeadlineController) LatestStart(class route.Class, f Forecast, deadline time.Time) time.Time {
	alone := Forecast{Prefill: f.Prefill, Output: f.Output}
	return deadline.Add(-d.RequiredTime(class, alone))
}

// Observe compares a forecast with the time that the request took in fact.
func (d *DeadlineController) Observe(class route.Class, f Forecast, took time.Duration) {
	predicted := float64(f.Wait + f.Prefill + f.Output)
	if float64(took-slack) > predicted*d.factor[class] {
		d.factor[class] = min(d.factor[class]*missMultiplier, maxFactor)
		return
	}
	d.factor[class] = max(d.factor[class]*hitMultiplier, minFactor)
}

// SafetyFactor returns the learned factor on a class's predictions.
func (d *DeadlineController) SafetyFactor(class route.Class) float64 { return d.factor[class] }
