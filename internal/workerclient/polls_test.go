package workerclient

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func TestOverduePollsAreRepeatedUntilAnswered(t *testing.T) {
	var s PollSeries
	first := s.Begin()
	second, unanswered, ok := s.Repeat(first)
	assert.Assert(t, ok)
	assert.Equal(t, unanswered, 1)
	_, _, ok = s.Repeat(first)
	assert.Assert(t, !ok, "only the newest poll is repeated")
	third, unanswered, ok := s.Repeat(second)
	assert.Assert(t, ok)
	assert.Equal(t, unanswered, 2)
	ends, lost := s.End(third, true)
	assert.Assert(t, ends && lost)
	assert.Assert(t, !s.InFlight())
}

func TestAnsweredRepeatHidesLostPoll(t *testing.T) {
	var s PollSeries
	first := s.Begin()
	second, _, _ := s.Repeat(first)
	ends, _ := s.End(first, false)
	assert.Assert(t, !ends, "the repeated poll is in flight")
	ends, lost := s.End(second, true)
	assert.Assert(t, ends && lost)
	next := s.Begin()
	ends, _ = s.End(first, true)
	assert.Assert(t, !ends, "a response to an earlier series must be ignored")
	ends, lost = s.End(next, true)
	assert.Assert(t, ends && !lost)
}

func TestLateAnswerToFirstPollEndsSeries(t *testing.T) {
	var s PollSeries
	first := s.Begin()
	second, _, _ := s.Repeat(first)
	ends, lost := s.End(first, true)
	assert.Assert(t, ends && !lost)
	ends, _ = s.End(second, false)
	assert.Assert(t, !ends)
}

func TestSeriesFailsWithNewestPoll(t *testing.T) {
	var s PollSeries
	n := s.Begin()
	ends, _ := s.End(n, false)
	assert.Assert(t, ends)
	_, _, ok := s.Repeat(n)
	assert.Assert(t, !ok)
}

func TestPollWaitIsShortForBusyWorkersAfterLoss(t *testing.T) {
	var l LossTracker
	assert.Equal(t, l.PollWait(1000, true), longPollWait)
	l.Record(1000)
	assert.Equal(t, l.PollWait(1500, true), shortPollWait)
	assert.Equal(t, l.PollWait(1500, false), longPollWait, "an idle worker has no ended attempts to report")
	assert.Equal(t, l.PollWait(1000+3*1000, true), longPollWait)
}

// One in 25 of 1000 polls of a busy worker gets no response. An attempt that ends
// meanwhile must become known after the poll's wait and one repeat, not only after
// the timeout of the call.
func TestRepeatedPollsBoundDelayAfterLostAnswers(t *testing.T) {
	const (
		repeatAfter = 200 * time.Millisecond
		callTimeout = longPollWait + 700*time.Millisecond
	)
	totalDelay := func(repeats bool) (total time.Duration) {
		var polls PollSeries
		var losses LossTracker
		for i := range 1000 {
			now := 1_000_000 + 100*int64(i)
			n := polls.Begin()
			wait := losses.PollWait(model.Time(now), true)
			if i%25 != 0 {
				polls.End(n, true)
				continue
			}
			if !repeats {
				polls.End(n, false)
				total += callTimeout
				continue
			}
			second, _, ok := polls.Repeat(n)
			assert.Assert(t, ok)
			_, lost := polls.End(second, true)
			assert.Assert(t, lost)
			losses.Record(model.Time(now))
			total += wait + repeatAfter
		}
		return total
	}
	assert.Assert(t, totalDelay(true) <= totalDelay(false)/2, "%s of %s", totalDelay(true), totalDelay(false))
}
