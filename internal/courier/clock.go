package courier

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// minClockRatePermille is how slow a worker's clock may run.
const minClockRatePermille = 980

// Clock bounds what a worker's clock shows, from what the worker told.
type Clock struct {
	reading    int64      // milliseconds on the worker's clock
	observedAt model.Time // when that was heard, by the leader's clock
}

// Observe takes in that the worker's clock showed a value before now.
func (c *Clock) Observe(reading int64, now model.Time) {
	if reading != 0 && (!c.Known() || reading > c.AtLeast(now)) {
		c.reading, c.observedAt = reading, now
	}
}

// Known reports whether the worker has told its clock.
func (c *Clock) Known() bool { return c.reading != 0 }

// AtLeast returns the least value that the worker's clock can show now.
func (c *Clock) AtLeast(now model.Time) int64 {
	return c.reading + now.Sub(c.observedAt).Milliseconds()*minClockRatePermille/1000
}

// LeaseUntil returns the end of a lease that is granted now, on the worker's
// clock. A worker whose clock is ahead of the bound stops sooner, never later.
func (c *Clock) LeaseUntil(now model.Time, length time.Duration) int64 {
	return c.AtLeast(now) + length.Milliseconds()
}
