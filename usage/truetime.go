package usage

import "time"

const (
	// maxGradual is the difference from the wall clock from which on it counts as a step of the wall
	// clock. Smaller differences come from the drift of the clocks.
	maxGradual = 250 * time.Millisecond
	// slewDivisor bounds the speed of a gradual correction: a hundredth of the elapsed time is far above
	// the drift of a VM's clock and changes the length of a window by 1 %.
	slewDivisor = 100
	// stepTime is how long a step of the wall clock has to last before it is followed. The wall clock of a
	// VM may step by seconds and back.
	stepTime = 60 * time.Second
)

// TrueTime estimates the true time from readings of the wall clock and of the time elapsed. The elapsed time
// is that of the monotonic clock plus the time for which the VM was suspended, since any fixed moment.
type TrueTime struct {
	// estimate is the true time at elapsed.
	estimate time.Time
	elapsed  time.Duration
	// stepped is set while the wall clock differs by a step. step is the difference that was first seen,
	// and steppedAt the elapsed time then.
	stepped   bool
	step      time.Duration
	steppedAt time.Duration
}

// NewTrueTime returns an estimate that begins with the wall clock.
func NewTrueTime(wall time.Time, elapsed time.Duration) *TrueTime {
	return &TrueTime{estimate: wall.Round(0), elapsed: elapsed}
}

// Now returns the true time at this reading of the clocks.
func (t *TrueTime) Now(wall time.Time, elapsed time.Duration) time.Time {
	passed := max(elapsed-t.elapsed, 0)
	t.estimate, t.elapsed = t.estimate.Add(passed), t.elapsed+passed
	ahead := wall.Round(0).Sub(t.estimate)
	switch {
	case ahead.Abs() < maxGradual:
		t.stepped = false
		limit := passed / slewDivisor
		t.estimate = t.estimate.Add(min(max(ahead, -limit), limit))
	case !t.stepped || (ahead-t.step).Abs() >= maxGradual:
		t.stepped, t.step, t.steppedAt = true, ahead, t.elapsed
	case t.elapsed-t.steppedAt >= stepTime:
		t.stepped = false
		t.estimate = wall.Round(0)
	}
	return t.estimate
}
