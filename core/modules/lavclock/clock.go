package lavclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the present instant; only differences between two instants of one boot mean anything.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Every supported kernel has this clock; the steady clock differs only over a suspension.
		return time.Now()
	}
	return time.Unix(spec.Sec, spec.Nsec)
}
