package workerclient

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// longPollWait is how long a worker may delay its response to a poll until an
	// attempt ends.
	longPollWait = time.Second
	// shortPollWait replaces longPollWait for busy workers while responses get lost:
	// the ended attempts in a lost response are not known before the wait is over.
	shortPollWait = 250 * time.Millisecond
	// lossyPeriod is how long shortPollWait is used after a response was lost.
	lossyPeriod = 3 * time.Second
)

// LossTracker records whether responses to polls were lost recently. The zero
// value has none recorded.
type LossTracker struct{ lossyUntil model.Time }

// Record records that a response was lost.
func (l *LossTracker) Record(now model.Time) { l.lossyUntil = now.Add(lossyPeriod) }

// PollWait returns how long a worker may delay its next response. On a path that
// loses some of the calls, short polls detect a loss sooner; on any other path
// long polls save calls.
func (l *LossTracker) PollWait(now model.Time, busy bool) time.Duration {
	if busy && now < l.lossyUntil {
		return shortPollWait
	}
	return longPollWait
}

// PollSeries tracks the polls of one worker. A long poll is overdue once its wait
// is over; it is then repeated, and again, while the earlier polls of the series
// may still be answered. Any response ends the series. The zero value has no poll
// in flight.
type PollSeries struct {
	newest   uint64
	first    uint64 // of the series
	inFlight bool   // the series has no response yet
}

// InFlight reports whether a series awaits a response. Its end starts the next one.
func (s *PollSeries) InFlight() bool { return s.inFlight }

// Begin begins a series and returns the number of its first poll.
func (s *PollSeries) Begin() uint64 {
	s.newest++
	s.first = s.newest
	s.inFlight = true
	return s.newest
}

// Repeat adds a poll to the series if the given poll is the newest of a series in
// flight. It returns the number of the new poll and how many earlier polls of the
// series are unanswered.
func (s *PollSeries) Repeat(number uint64) (next uint64, unanswered int, ok bool) {
	if number != s.newest || !s.inFlight {
		return 0, 0, false
	}
	s.newest++
	return s.newest, int(s.newest - s.first), true
}

// End records that a poll was answered or has failed, and reports whether that
// ends the series, in which case its result is the latest known from the worker. Lost
// is true if an earlier poll of the series is unanswered.
func (s *PollSeries) End(number uint64, answered bool) (ended, lost bool) {
	if !s.inFlight || number < s.first || (!answered && number != s.newest) {
		return false, false
	}
	s.inFlight = false
	return true, answered && number > s.first
}
