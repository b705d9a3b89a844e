package lavclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. Only differences between two values of the same boot are meaningful.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Every supported kernel has this clock. The fallback differs from it only if the host was suspended.
		return time.Now()
	}
	return time.Unix(spec.Sec, spec.Nsec)
}
