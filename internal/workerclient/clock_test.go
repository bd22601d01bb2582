package workerclient

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// A worker's clock may run 2% slow and its responses may be delayed. A lease
// still ends, by the leader's clock, within its length plus 3%.
func TestLeaseEndsWithinLengthPlusDrift(t *testing.T) {
	const length = 4 * time.Second
	for _, rate := range []float64{0.98, 0.99, 1} {
		for _, delayMS := range []int64{0, 1, 40, 900} {
			var c Clock
			clock := func(at model.Time) int64 { return 5000 + int64(float64(at)*rate) }
			for at := model.Time(1); at < 20_000; at += 777 {
				c.Observe(clock(at), at+model.Time(delayMS))
				grant := at + model.Time(delayMS) + 300
				assert.Assert(t, c.AtLeast(grant) <= clock(grant)+1)
				until := c.LeaseUntil(grant, length)
				end := grant.Add(length * 103 / 100)
				assert.Assert(t, clock(end) >= until, "rate %v, responses delayed by %d ms", rate, delayMS)
			}
		}
	}
}

func TestClockUnknownUntilObserved(t *testing.T) {
	var c Clock
	assert.Assert(t, !c.Known())
	c.Observe(0, 1000)
	assert.Assert(t, !c.Known())
	c.Observe(7, 1_000_000)
	assert.Assert(t, c.Known())
	assert.Equal(t, c.AtLeast(1_000_000), int64(7))
	c.Observe(3, 1_000_100)
	assert.Assert(t, c.AtLeast(1_000_100) > 7, "a reading below the lower bound must be ignored")
}

// A response of a later incarnation, whose clock has begun anew, must not match.
func TestReadingOfAnotherClockDoesNotMatch(t *testing.T) {
	for _, rate := range []float64{0.98, 1} {
		var c Clock
		clock := func(at model.Time) int64 { return 5000 + int64(float64(at)*rate) }
		assert.Assert(t, !c.Matches(clock(1000), 1000, 1000), "no bound is known")
		for at := model.Time(1000); at < 60_000; at += 777 {
			assert.Assert(t, at == 1000 || c.Matches(clock(at+20), at, at+40), "at %d", at)
			assert.Assert(t, !c.Matches(clock(at)-1500, at, at+40))
			assert.Assert(t, !c.Matches(clock(at)+1500, at, at+40))
			c.ObserveResponse(clock(at+10), at, at+30)
		}
	}
}

// Guards against a lease without end: another writer has announced a clock that the worker's own has not reached.
func TestReadingThatClockCannotHaveShownIsDropped(t *testing.T) {
	var c Clock
	c.Observe(1<<40, 1000)
	c.ObserveResponse(500, 1000, 1020)
	assert.Assert(t, c.LeaseUntil(1020, time.Second) <= 1500)
	c.ObserveResponse(1500, 2000, 2020)
	assert.Assert(t, c.AtLeast(2020) >= 1480 && c.AtLeast(2020) <= 1520)
}

// Guards against leases that are too long, by the reading of whatever else answered a command.
func TestCommandDoesNotRaiseClockBeyondItsBound(t *testing.T) {
	var c Clock
	c.ObserveCommand(486_000, 900)
	assert.Assert(t, !c.Known(), "no poll has been answered")
	c.ObserveResponse(5000, 1000, 1040)
	c.ObserveCommand(486_000, 1100)
	assert.Equal(t, c.LeaseUntil(1100, time.Second), int64(5000+58+1000))
	c.ObserveCommand(5100, 1100)
	assert.Equal(t, c.LeaseUntil(1100, time.Second), int64(5100+1000))
}
