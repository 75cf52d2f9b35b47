package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// total returns for how long the machine has been suspended since it was started: the
// clock that counts suspended time, less the one that does not. It is zero where the
// clocks cannot be read.
func total() time.Duration {
	var monotonic, boottime unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil {
		return 0
	}
	return time.Duration(boottime.Nano() - monotonic.Nano())
}
