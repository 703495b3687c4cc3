package kernel

import "time"

// Clock is the time source of a process. Tests replace it with a fake.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
