// Package admit decides whether a request can finish within its deadline.
//
// It estimates the number of tokens in a prompt, compares the predicted wait, prefill
// and output times with the deadline, and refuses a request that cannot finish in
// time, with a retry delay if a retry can succeed. A refused request has not run. A
// safety factor, learned from completed requests, corrects for predictions that are
// too short.
package admit

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Constants of the correction for wrong predictions and of the retry delay.
const (
	// initialFactor is the safety factor of a class before its first observation.
	initialFactor = 1.3
	// minFactor and maxFactor bound the learned safety factor.
	minFactor = 1.1
	maxFactor = 4.0
	// missMultiplier multiplies the safety factor after a miss, which is a request that
	// took longer than its forecast times the factor plus slack. hitMultiplier does so
	// after any other request. The factor settles where one request in 100 is a miss,
	// because a miss raises the factor about 100 times as much as a hit lowers it.
	missMultiplier = 1.05
	hitMultiplier  = 0.9995
	// slack is added to every prediction for network and scheduling delays, which
	// predictions do not cover.
	slack = 250 * time.Millisecond
	// maxRetryAfter and minRetryAfter bound the retry delay in a refusal.
	maxRetryAfter = time.Minute
	minRetryAfter = 200 * time.Millisecond
)

// Forecast is the predicted time that a request takes, by phase.
type Forecast struct {
	// Wait is the time in the queues of the entry and the endpoint, before the
	// request's prefill starts.
	Wait time.Duration
	// Prefill is the time from the start of prefill to the first token.
	Prefill time.Duration
	// Output is the time from the first token to the last, for an output of the
	// maximum length.
	Output time.Duration
}

// DeadlineController admits requests by deadline. It keeps a safety factor for each
// class of request. It is not safe for concurrent use; callers serialize access.
type DeadlineController struct {
	factor [route.NumClasses]float64
}

// NewDeadlineController returns a controller with the initial safety factors.
func NewDeadlineController() *DeadlineController {
	d := &DeadlineController{}
	for c := range d.factor {
		d.factor[c] = initialFactor
	}
	return d
}

// Admit returns nil if the request is predicted to finish by its deadline, else a
// refusal. The refusal's RetryAfter is the time after which the wait is expected to be
// short enough, and zero if the request would miss its deadline even without a wait.
func (d *DeadlineController) Admit(now time.Time, class route.Class, f Forecast, deadline time.Time) error {
	timeLeft := deadline.Sub(now)
	needed := d.RequiredTime(class, f)
	if needed <= timeLeft {
		return nil
	}
	withoutWait := d.RequiredTime(class, Forecast{Prefill: f.Prefill, Output: f.Output})
	if withoutWait > timeLeft {
		return verdict.Refuse(verdict.ReasonDeadline, 0,
			"the request takes about %v alone and has %v left", withoutWait.Round(time.Millisecond), timeLeft.Round(time.Millisecond))
	}
	retry := min(max(needed-timeLeft, minRetryAfter), maxRetryAfter)
	return verdict.Refuse(verdict.ReasonOverloaded, retry,
		"the request would take about %v and has %v left", needed.Round(time.Millisecond), timeLeft.Round(time.Millisecond))
}

// RequiredTime returns the time that has to be left until a request's deadline for
// the request to be admitted: the forecast times the safety factor, plus slack.
func (d *DeadlineController) RequiredTime(class route.Class, f Forecast) time.Duration {
	predicted := float64(f.Wait + f.Prefill + f.Output)
	return time.Duration(predicted*d.factor[class]) + slack
}

// ExpiresAt returns when a waiting request expires: the latest time at which it can start and
// still finish by its deadline. The forecast's Wait is ignored.
func (d *DeadlineController) ExpiresAt(class route.Class, f Forecast, deadline time.Time) time.Time {
	withoutWait := Forecast{Prefill: f.Prefill, Output: f.Output}
	return deadline.Add(-d.RequiredTime(class, withoutWait))
}

// Observe adjusts the class's safety factor after a request that took the given time
// from arrival to completion.
func (d *DeadlineController) Observe(class route.Class, f Forecast, took time.Duration) {
	predicted := float64(f.Wait + f.Prefill + f.Output)
	if float64(took-slack) > predicted*d.factor[class] {
		d.factor[class] = min(d.factor[class]*missMultiplier, maxFactor)
		return
	}
	d.factor[class] = max(d.factor[class]*hitMultiplier, minFactor)
}

// SafetyFactor returns the factor by which predictions for the class are multiplied.
func (d *DeadlineController) SafetyFactor(class route.Class) float64 { return d.factor[class] }
