// Package autoscale decides how many endpoints each service needs in each availability zone. It forecasts
// the demand for the time at which an endpoint that is ordered now will serve.
//
// The package does no I/O, reads no clock and takes no lock. The calling code serializes the calls.
package autoscale

import (
	"math"
	"slices"
	"time"
)

const (
	// Interval is the time between two samples of the demand.
	Interval = time.Second
	// HistoryTime is how long samples are kept.
	HistoryTime = 60 * time.Second
	// TrendTime is the time over which the trend is computed. No count is decided with fewer samples.
	TrendTime = 10 * time.Second
	// HoldTime is how long a lower count must have sufficed before it is ordered.
	HoldTime = 30 * time.Second
	// LowerInterval is the least time between two lowered counts, so that a full TrendTime shows the
	// demand at the first one.
	LowerInterval = TrendTime
	// targetUtilization is the fraction of the slots that the forecast demand may use. The rest takes
	// what varies within a second and the loss of endpoints.
	targetUtilization = 0.7
	// maxLowered is the largest fraction of the endpoints that is given up at a time, but always at
	// least one endpoint, because counts under five could never fall otherwise.
	maxLowered = 0.2
	// maxUnmet bounds the waiting and refused requests that count, as a multiple of the slots that
	// serve. Refused callers come back and are counted again, and a long queue needs fewer slots than
	// it has requests.
	maxUnmet = 3
	// levelFraction is the time over which the present demand is measured, as a fraction of the boot
	// time, between Interval and maxLevelTime. A burst that is shorter than half of that time is
	// over long before an endpoint that is ordered for it would serve.
	levelFraction = 0.25
	maxLevelTime  = 5 * time.Second
)

// Limits are what the published configuration says about the endpoints of a service in each availability
// zone. Slots is the number of requests that an endpoint runs at once, 0 if that is not known.
type Limits struct {
	Min, Max int
	BootTime time.Duration
	Slots    int
}

// clamp returns the count within the limits.
func (l Limits) clamp(count int) int { return max(l.Min, min(count, l.Max)) }

// Demand is the demand of a service in an availability zone in one second. Busy is the mean number of slots
// in use, Waiting the mean number of waiting requests, and Refused the number of requests that were refused
// for lack of capacity.
type Demand struct {
	Busy, Waiting, Refused float64
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{Busy: d.Busy + o.Busy, Waiting: d.Waiting + o.Waiting, Refused: d.Refused + o.Refused}
}

// scale returns the demand multiplied by a factor.
func (d Demand) scale(by float64) Demand {
	return Demand{Busy: d.Busy * by, Waiting: d.Waiting * by, Refused: d.Refused * by}
}

// Input is what Decide needs to know of a service in an availability zone.
type Input struct {
	// Demand has one element for each second, the latest last.
	Demand []Demand
	// Serving is the number of endpoints that serve. Those that are cold or have not registered yet
	// do not count.
	Serving int
	// Slots is the number of requests that an endpoint runs at once.
	Slots  float64
	Limits Limits
	// Current is the count that was ordered last.
	Current int
	// Required is Decision.Required of earlier seconds, the latest last.
	Required []int
	// SinceLowered is the time since the count was lowered.
	SinceLowered time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	// Count is the number of endpoints to order.
	Count int
	// Required is the number of endpoints that the forecast demand needs, within the limits.
	Required int
	// Forecast is the demand, in slots, at the time when an endpoint that is ordered now serves.
	Forecast float64
}

// Decide returns the number of endpoints. A higher number is ordered at once: demand that rises steadily
// needs endpoints a boot time later. A lower one is ordered only after it has sufficed for HoldTime, so that
// demand that goes up and down does not start and stop endpoints. Without samples of TrendTime or the number
// of slots, the current count is kept within the limits.
func Decide(in Input) Decision {
	if len(in.Demand) < samples(TrendTime) || in.Slots <= 0 {
		return Decision{Count: in.Limits.clamp(in.Current), Required: in.Limits.clamp(in.Current)}
	}
	forecast := forecast(in)
	// Floating-point noise must not add an endpoint to a whole number of them.
	needed := math.Ceil(forecast/(in.Slots*targetUtilization) - 1e-9)
	required := in.Limits.clamp(int(min(needed, float64(in.Limits.Max))))
	return Decision{Count: in.Limits.clamp(in.count(required)), Required: required, Forecast: forecast}
}

// count returns the number to order, given the number that is required now.
func (in *Input) count(required int) int {
	if required >= in.Current {
		return required
	}
	held := samples(HoldTime)
	if len(in.Required) < held || in.SinceLowered < LowerInterval {
		return in.Current
	}
	sufficed := max(required, slices.Max(in.Required[len(in.Required)-held:]))
	step := max(1, int(maxLowered*float64(in.Current)))
	return min(in.Current, max(sufficed, in.Current-step))
}

// samples returns the number of samples in a time.
func samples(span time.Duration) int { return int(span / Interval) }

// forecast returns the demand in slots after the boot time.
func forecast(in Input) float64 {
	slots := make([]float64, samples(TrendTime))
	bound := maxUnmet * in.Slots * float64(max(1, in.Serving))
	for i, d := range in.Demand[len(in.Demand)-len(slots):] {
		slots[i] = d.Busy + min(d.Waiting+d.Refused, bound)
	}
	return max(0, level(slots, in.Limits.BootTime)+trend(slots)*in.Limits.BootTime.Seconds())
}

// level returns the present demand: the median of the latest samples, which a short burst does not change.
func level(slots []float64, boot time.Duration) float64 {
	span := min(max(time.Duration(levelFraction*float64(boot)), Interval), maxLevelTime)
	latest := slices.Clone(slots[len(slots)-samples(span):])
	slices.Sort(latest)
	return latest[len(latest)/2]
}

// trend returns the rise of the demand in slots per second, which is never negative: the endpoints that run
// requests now are needed until these end. It is the linear trend, but no more than those of both halves:
// a step, which does not go on rising, would otherwise be extrapolated over the boot time.
func trend(slots []float64) float64 {
	half := len(slots) / 2
	return max(0, min(slope(slots), slope(slots[:half]), slope(slots[half:])))
}

// slope returns the slope of the least-squares line through samples one Interval apart, per second.
func slope(samples []float64) float64 {
	n := float64(len(samples))
	mean := 0.0
	for _, y := range samples {
		mean += y / n
	}
	var xy, xx float64
	for i, y := range samples {
		x := float64(i) - (n-1)/2
		xy += x * (y - mean)
		xx += x * x
	}
	return xy / xx / Interval.Seconds()
}
