// Package exchange keeps what a leader knows of its exchange with the workers that it polls:
// which ends of attempts it may acknowledge, which starts another incarnation may have
// executed, what it has not committed yet. It sends nothing and reads no clock.
package exchange

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// endState is how far the report of an ended attempt has come.
type endState uint8

const (
	endProposed   endState = iota // its report is queued or proposed
	endFailed                     // its report was not committed; the worker's next response reports it again
	endUnreadable                 // no more than its number can be read in the worker's last response
	endCommitted                  // the state has recorded it, or it is passed unread
)

// Ends tracks the ended attempts of one worker incarnation until they are
// acknowledged. Reports commit in any order and may fail, while a worker forgets all
// ends up to the acknowledged number, so that number never passes an end that is not
// committed.
type Ends struct {
	cursor uint64 // ends up to this number are committed
	open   []openEnd
}

// openEnd is an end above the cursor.
type openEnd struct {
	number uint64
	state  endState
	task   model.TaskID // whose current attempt has ended; zero: none
}

// Propose records that a report of the end of a task's attempt is about to be proposed.
// It returns false if one was already, or if the end is committed.
func (t *Ends) Propose(number uint64, task model.TaskID) bool {
	if number <= t.cursor {
		return false
	}
	i, known := t.find(number)
	if !known {
		t.open = slices.Insert(t.open, i, openEnd{number: number, task: task})
		return true
	}
	if s := t.open[i].state; s != endFailed && s != endUnreadable {
		return false
	}
	t.open[i] = openEnd{number: number, task: task}
	return true
}

// SetUnreadable sets the ends that cannot be read in the worker's last response.
func (t *Ends) SetUnreadable(numbers []uint64) {
	t.open = slices.DeleteFunc(t.open, func(e openEnd) bool { return e.state == endUnreadable })
	for _, number := range numbers {
		if i, known := t.find(number); !known && number > t.cursor {
			t.open = slices.Insert(t.open, i, openEnd{number: number, state: endUnreadable})
		}
	}
	t.advance()
}

// PassUnreadable lets the cursor pass the ends that cannot be read, and returns their numbers.
func (t *Ends) PassUnreadable() (passed []uint64) {
	for i := range t.open {
		if t.open[i].state == endUnreadable {
			t.open[i].state = endCommitted
			passed = append(passed, t.open[i].number)
		}
	}
	t.advance()
	return passed
}

// Fail records that the report of the end was not committed.
func (t *Ends) Fail(number uint64) {
	if i, known := t.find(number); known && t.open[i].state == endProposed {
		t.open[i].state = endFailed
	}
}

// Commit records that the state knows of the end, and advances the cursor past the ends
// below the lowest one that is not committed.
func (t *Ends) Commit(number uint64) {
	if i, known := t.find(number); known {
		t.open[i].state = endCommitted
	}
	t.advance()
}

// advance moves the cursor past the ends below the lowest one that is not committed.
func (t *Ends) advance() {
	for len(t.open) > 0 && t.open[0].state == endCommitted {
		t.cursor = t.open[0].number
		t.open = t.open[1:]
	}
}

// Cursor returns the number up to which all ends are committed, so that they may be
// acknowledged.
func (t *Ends) Cursor() uint64 { return t.cursor }

// Settled reports whether every known end is committed.
func (t *Ends) Settled() bool { return len(t.open) == 0 }

// Holds reports whether the worker has listed an end of the task's attempt that is not
// committed.
func (t *Ends) Holds(task model.TaskID) bool {
	return slices.ContainsFunc(t.open, func(e openEnd) bool { return e.task == task && e.state != endCommitted })
}

// find returns the position of an end in open, or where to insert it.
func (t *Ends) find(number uint64) (int, bool) {
	return slices.BinarySearchFunc(t.open, number, func(e openEnd, n uint64) int {
		switch {
		case e.number < n:
			return -1
		case e.number > n:
			return 1
		}
		return 0
	})
}
