package courier

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// longWait is how long a worker may hold its answer to a look back for an end.
	longWait = time.Second
	// shortWait replaces it at busy workers while answers get lost: the ends that
	// a lost answer would have told are not known before the wait is over.
	shortWait = 250 * time.Millisecond
	// lossyFor is how long the short wait is used after an answer was lost.
	lossyFor = 3 * time.Second
)

// Losses remembers whether answers to looks got lost lately. The zero value
// remembers none.
type Losses struct{ until model.Time }

// Note takes in that an answer was lost.
func (l *Losses) Note(now model.Time) { l.until = now.Add(lossyFor) }

// Wait returns how long a worker may hold its next answer back. It answers the
// load of a path that loses some of the calls, where short looks find out sooner;
// elsewhere long ones spare calls.
func (l *Losses) Wait(now model.Time, busy bool) time.Duration {
	if busy && now < l.until {
		return shortWait
	}
	return longWait
}

// Looks follows the looks at one worker. One that waits for an end has its answer
// overdue once the wait is over; it is repeated then, and again, while the earlier
// ones may still be answered. Any answer ends the row. The zero value has none on
// its way.
type Looks struct {
	newest uint64
	first  uint64 // of the row
	open   bool   // the row has no answer yet
}

// Open reports whether a row of looks is on its way that leads to the next one.
func (l *Looks) Open() bool { return l.open }

// Begin begins a row and returns the number of its first look.
func (l *Looks) Begin() uint64 {
	l.newest++
	l.first = l.newest
	l.open = true
	return l.newest
}

// Repeat repeats a look that is still the newest of an open row. It returns the
// number of the new one, and how many of the row have no answer.
func (l *Looks) Repeat(number uint64) (next uint64, unanswered int, ok bool) {
	if number != l.newest || !l.open {
		return 0, 0, false
	}
	l.newest++
	return l.newest, int(l.newest - l.first), true
}

// End notes that a look was answered or has failed, and reports whether that ends
// the row: what it tells is the newest word of the worker then. Lost is true
// where an earlier look of the row has no answer.
func (l *Looks) End(number uint64, answered bool) (ends, lost bool) {
	if !l.open || number < l.first || (!answered && number != l.newest) {
		return false, false
	}
	l.open = false
	return true, answered && number > l.first
}
