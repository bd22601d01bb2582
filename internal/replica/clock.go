package replica

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bootReadingValid is how long a reading of the boot clock is used.
	bootReadingValid = 100 * time.Millisecond
	// bootReadingError bounds how far a time derived from a reading is off.
	bootReadingError = 500 * time.Microsecond
)

// bootReading is a reading of the boot clock, and the time by the clocks of the runtime right
// after it.
type bootReading struct {
	boot time.Duration
	at   time.Time
}

var lastBootReading atomic.Pointer[bootReading]

// BootTime returns the time since boot (CLOCK_BOOTTIME). Unlike the monotonic
// clock of the runtime, it keeps counting while the machine is suspended.
//
// It is read often, and a reading is a system call. So it is derived from the last reading
// while the wall clock, which counts suspension too, has advanced as far as the monotonic one.
func BootTime() time.Duration {
	now := time.Now()
	if r := lastBootReading.Load(); r != nil {
		if passed, wall := sinceReading(r.at, now); readingCounts(passed, wall) {
			return r.boot + passed
		}
	}
	return readBootTime(now)
}

// readingCounts reports whether a reading may be used after the given times by the monotonic
// and by the wall clock.
func readingCounts(passed, wall time.Duration) bool {
	return passed >= 0 && passed < bootReadingValid && (wall-passed).Abs() < bootReadingError
}

// sinceReading returns the time from one reading of the runtime's clocks to another, by the
// monotonic clock and by the wall clock.
func sinceReading(from, to time.Time) (passed, wall time.Duration) {
	return to.Sub(from), time.Duration(to.UnixNano() - from.UnixNano())
}

// readBootTime reads the boot clock. The reading is kept unless the process was held up since
// before.
func readBootTime(before time.Time) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux version that Go supports has this clock
	}
	r := &bootReading{boot: time.Duration(ts.Nano()), at: time.Now()}
	if passed, wall := sinceReading(before, r.at); max(passed, wall) < bootReadingError {
		lastBootReading.Store(r)
	}
	return r.boot
}
