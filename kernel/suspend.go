package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the total time that the VM has been suspended since its boot. The
// monotonic time of SystemClock does not include it, but the expiry of a lease must.
func Suspended() time.Duration {
	var boottime, monotonic unix.Timespec
	// The monotonic clock is read first, so that the time between the two calls is added
	// to the result rather than subtracted: leases may expire early but not late.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil {
		return 0 // an operating system without these clocks cannot suspend the VM
	}
	return time.Duration(boottime.Nano() - monotonic.Nano())
}
