// Package bootclock reads the clock that counts the time a VM is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the VM booted, suspends included. Leases are measured
// by it: the monotonic clock of package time stands still while a VM is
// suspended, and the time of day may jump.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
