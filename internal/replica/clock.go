package replica

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot (CLOCK_BOOTTIME). Unlike the monotonic
// clock of the runtime, it keeps counting while the machine is suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux version that Go supports has this clock
	}
	return time.Duration(ts.Nano())
}
