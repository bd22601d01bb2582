package replica

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestBootTimeFollowsKernel(t *testing.T) {
	last := BootTime()
	for start := time.Now(); time.Since(start) < 3*bootReadingValid; {
		var ts unix.Timespec
		now := BootTime()
		assert.NilError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts))
		assert.Assert(t, now >= last && now <= time.Duration(ts.Nano()), "%v after %v, at %v", now, last, ts.Nano())
		last = now
	}
}

// Guards against a lease that counts as valid after a suspension, which the monotonic clock does not show.
func TestReadingOfBootClockDoesNotOutliveSuspension(t *testing.T) {
	const ms = time.Millisecond
	for _, row := range []struct {
		passed, wall time.Duration
		counts       bool
	}{
		{10 * ms, 10 * ms, true},
		{10 * ms, 10*ms + bootReadingError, false},
		{10 * ms, 5000 * ms, false},
		{10 * ms, -5000 * ms, false},
		{bootReadingValid, bootReadingValid, false},
		{-ms, -ms, false},
	} {
		assert.Equal(t, readingCounts(row.passed, row.wall), row.counts, "%+v", row)
	}
}

func BenchmarkBootTime(b *testing.B) {
	for b.Loop() {
		BootTime()
	}
}
