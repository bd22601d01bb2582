package replica

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot. Unlike the runtime's monotonic clock it
// goes on while the machine is suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock is there on every Linux that Go supports
	}
	return time.Duration(ts.Nano())
}
