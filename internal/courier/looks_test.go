package courier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func TestOverdueLooksAreRepeatedUntilOneIsAnswered(t *testing.T) {
	var l Looks
	first := l.Begin()
	second, unanswered, ok := l.Repeat(first)
	assert.Assert(t, ok)
	assert.Equal(t, unanswered, 1)
	_, _, ok = l.Repeat(first)
	assert.Assert(t, !ok, "it is not the newest")
	third, unanswered, ok := l.Repeat(second)
	assert.Assert(t, ok)
	assert.Equal(t, unanswered, 2)
	ends, lost := l.End(third, true)
	assert.Assert(t, ends && lost)
	assert.Assert(t, !l.Open())
}

func TestTheLossOfALookIsNoSilenceOnceARepeatWasAnswered(t *testing.T) {
	var l Looks
	first := l.Begin()
	second, _, _ := l.Repeat(first)
	ends, _ := l.End(first, false)
	assert.Assert(t, !ends, "its repeat is on its way")
	ends, lost := l.End(second, true)
	assert.Assert(t, ends && lost)
	next := l.Begin()
	ends, _ = l.End(first, true)
	assert.Assert(t, !ends, "an answer to an earlier row is old")
	ends, lost = l.End(next, true)
	assert.Assert(t, ends && !lost)
}

func TestASlowWorkerIsHeardByTheFirstLookOfARow(t *testing.T) {
	var l Looks
	first := l.Begin()
	second, _, _ := l.Repeat(first)
	ends, lost := l.End(first, true)
	assert.Assert(t, ends && !lost)
	ends, _ = l.End(second, false)
	assert.Assert(t, !ends)
}

func TestARowFailsWithItsNewestLook(t *testing.T) {
	var l Looks
	n := l.Begin()
	ends, _ := l.End(n, false)
	assert.Assert(t, ends)
	_, _, ok := l.Repeat(n)
	assert.Assert(t, !ok)
}

func TestBusyWorkersHoldAnswersBackForShortWhileSomeGetLost(t *testing.T) {
	var l Losses
	assert.Equal(t, l.Wait(1000, true), longWait)
	l.Note(1000)
	assert.Equal(t, l.Wait(1500, true), shortWait)
	assert.Equal(t, l.Wait(1500, false), longWait, "an idle worker has no ends to tell")
	assert.Equal(t, l.Wait(1000+3*1000, true), longWait)
}

// Of 1000 looks at a busy worker one in 25 gets no answer. What callers wait for
// an end that happened meanwhile is bounded by the wait and the repeat, not by
// the time after which a call is given up.
func TestLostAnswersHideEndsForAShortTime(t *testing.T) {
	const (
		repeatAfter = 200 * time.Millisecond
		givenUp     = longWait + 700*time.Millisecond
	)
	blind := func(repeats bool) (total time.Duration) {
		var looks Looks
		var losses Losses
		for i := range 1000 {
			now := 1_000_000 + 100*int64(i)
			n := looks.Begin()
			wait := losses.Wait(model.Time(now), true)
			if i%25 != 0 {
				looks.End(n, true)
				continue
			}
			if !repeats {
				looks.End(n, false)
				total += givenUp
				continue
			}
			second, _, ok := looks.Repeat(n)
			assert.Assert(t, ok)
			_, lost := looks.End(second, true)
			assert.Assert(t, lost)
			losses.Note(model.Time(now))
			total += wait + repeatAfter
		}
		return total
	}
	assert.Assert(t, blind(true) <= blind(false)/2, "%s of %s", blind(true), blind(false))
}
