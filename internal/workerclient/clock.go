package workerclient

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// minClockRatePermille is the lowest rate, in thousandths of the leader's clock,
// at which a worker's clock may run.
const minClockRatePermille = 980

// maxClockRatePermille is the highest such rate, with a margin for two steady clocks.
const maxClockRatePermille = 1001

// Clock estimates bounds of a worker's clock from the readings that the worker has
// reported. The zero value has no reading.
type Clock struct {
	reading    int64      // milliseconds on the worker's clock; zero: none
	observedAt model.Time // when the reading arrived, by the leader's clock
	highest    int64      // the most that the clock can have shown at highestAt; zero: no bound
	highestAt  model.Time
}

// Observe records a reading, in milliseconds, that the worker took before now.
// It ignores a zero reading and one that does not raise the lower bound, such as
// that of a response which was overtaken by a later one.
func (c *Clock) Observe(reading int64, now model.Time) {
	if reading != 0 && (!c.Known() || reading > c.AtLeast(now)) {
		c.reading, c.observedAt = reading, now
	}
}

// ObserveCommand records the reading in the response to a command, which does not tell who
// sent it. It ignores one that this clock cannot show, and any before the first bound.
func (c *Clock) ObserveCommand(reading int64, now model.Time) {
	if c.highest != 0 && reading <= c.atMost(now) {
		c.Observe(reading, now)
	}
}

// ObserveResponse records the reading of a response to a poll that was sent at sentAt. It
// bounds the clock from above, too, since the worker read it after that. An earlier reading
// that exceeds the bound was not the worker's and is dropped.
func (c *Clock) ObserveResponse(reading int64, sentAt, now model.Time) {
	c.Observe(reading, now)
	if reading != 0 && (c.highest == 0 || reading < c.atMost(sentAt)) {
		c.highest, c.highestAt = reading, sentAt
	}
	if reading != 0 && c.AtLeast(now) > c.atMost(now) {
		c.reading, c.observedAt = reading, now
	}
}

// Matches reports whether a reading in the response to a call that was sent at sentAt can
// be of this clock. It is false while the clock has no upper bound.
func (c *Clock) Matches(reading int64, sentAt, now model.Time) bool {
	return c.highest != 0 && reading >= c.AtLeast(sentAt) && reading <= c.atMost(now)
}

// atMost returns the highest value, in milliseconds, that the worker's clock can show at a
// time. The second millisecond is for the rounding of two clocks.
func (c *Clock) atMost(at model.Time) int64 {
	return c.highest + at.Sub(c.highestAt).Milliseconds()*maxClockRatePermille/1000 + 2
}

// Known reports whether the worker has reported a reading.
func (c *Clock) Known() bool { return c.reading != 0 }

// AtLeast returns the lowest value, in milliseconds, that the worker's clock can
// show now.
func (c *Clock) AtLeast(now model.Time) int64 {
	return c.reading + now.Sub(c.observedAt).Milliseconds()*minClockRatePermille/1000
}

// LeaseUntil returns the end of a lease that is granted now, in milliseconds on
// the worker's clock. A worker whose clock is ahead of the lower bound sees the
// lease end earlier, never later.
func (c *Clock) LeaseUntil(now model.Time, length time.Duration) int64 {
	return c.AtLeast(now) + length.Milliseconds()
}
