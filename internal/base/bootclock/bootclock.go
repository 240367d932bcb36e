// Package bootclock reads a clock that keeps counting while the VM is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including time spent suspended.
// Leases are measured with it: the monotonic clock of package time stops while
// a VM is suspended, and the wall clock may jump.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had CLOCK_BOOTTIME since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
