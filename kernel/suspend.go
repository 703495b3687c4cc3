package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the VM has been suspended since it started. The clock
// of SystemClock does not count that time, and a lease has to.
func Suspended() time.Duration {
	var boot, steady unix.Timespec
	// The steady clock is read first, so that the time between the two calls counts as
	// suspended rather than the other way round.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0 // a kernel without these clocks cannot suspend the VM
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
