package courier

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// longPollWait is how long a worker may hold its answer to a look back for an end.
	longPollWait = time.Second
	// shortPollWait replaces it at busy workers while answers get lost: the ends that
	// a lost answer would have told are not known before the wait is over.
	shortPollWait = 250 * time.Millisecond
	// lossyPeriod is how long the short wait is used after an answer was lost.
	lossyPeriod = 3 * time.Second
)

// Losses remembers whether answers to looks got lost lately. The zero value
// remembers none.
type LossTracker struct{ lossyUntil model.Time }

// Note takes in that an answer was lost.
func (l *LossTracker) Record(now model.Time) { l.lossyUntil = now.Add(lossyPeriod) }

// Wait returns how long a worker may hold its next answer back. It answers the
// load of a path that loses some of the calls, where short looks find out sooner;
// elsewhere long ones spare calls.
func (l *LossTracker) PollWait(now model.Time, busy bool) time.Duration {
	if busy && now < l.lossyUntil {
		return shortPollWait
	}
	return longPollWait
}

// Looks follows the looks at one worker. One that waits for an end has its answer
// overdue once the wait is over; it is repeated then, and again, while the earlier
// ones may still be answered. Any answer ends the row. The zero value has none on
// its way.
type PollSeries struct {
	newest   uint64
	first    uint64 // of the row
	inFlight bool   // the row has no answer yet
}

// Open reports whether a row of looks is on its way that leads to the next one.
func (s *PollSeries) InFlight() bool { return s.inFlight }

// Begin begins a row and returns the number of its first look.
func (s *PollSeries) Begin() uint64 {
	s.newest++
	s.first = s.newest
	s.inFlight = true
	return s.newest
}

// Repeat repeats a look that is still the newest of an open row. It returns the
// number of the new one, and how many of the row have no answer.
func (s *PollSeries) Repeat(number uint64) (next uint64, unanswered int, ok bool) {
	if number != s.newest || !s.inFlight {
		return 0, 0, false
	}
	s.newest++
	return s.newest, int(s.newest - s.first), true
}

// End notes that a look was answered or has failed, and reports whether that ends
// the row: what it tells is the newest word of the worker then. Lost is true
// where an earlier look of the row has no answer.
func (s *PollSeries) End(number uint64, answered bool) (ended, lost bool) {
	if !s.inFlight || number < s.first || (!answered && number != s.newest) {
		return false, false
	}
	s.inFlight = false
	return true, answered && number > s.first
}
