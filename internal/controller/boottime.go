package controller

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the monotonic time since the VM started, with the time in which
// it was suspended. Go's own monotonic clock stands still while a VM is
// suspended, and a lease that ended in that time would still look valid.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
