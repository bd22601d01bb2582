package route

import (
	"slices"
	"time"
)

// place is one request that waits for a slot. One result is sent on ready.
type waiter struct {
	startBy    time.Time // latest useful start
	deadline   time.Time
	patience   time.Duration
	repeatable bool
	ready      chan waitResult
}

// placed is the end of the wait: an executor with a slot taken, or an error.
type waitResult struct {
	executor *executor
	err      error
}

// queue holds the waiting requests of one service, the least slack first. It
// is not safe for concurrent use.
type queue struct {
	waiters []*waiter // ascending startBy
}

// rank returns how many waiting requests go before one that must start by t.
func (q *queue) rank(t time.Time) int {
	i, _ := slices.BinarySearchFunc(q.waiters, t, func(p *waiter, t time.Time) int {
		if p.startBy.After(t) {
			return 1
		}
		return -1
	})
	return i
}

// push adds p behind those with as little slack.
func (q *queue) push(w *waiter) {
	q.waiters = slices.Insert(q.waiters, q.rank(w.startBy), w)
}

// pop removes and returns the request with the least slack.
func (q *queue) pop() *waiter {
	w := q.waiters[0]
	q.waiters[0] = nil
	q.waiters = q.waiters[1:]
	return w
}

// remove drops p and reports whether it was waiting.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// mostPatient returns the waiting request with the most patience; of equals the
// one with the most slack.
func (q *queue) mostPatient() *waiter {
	var most *waiter
	for _, w := range q.waiters {
		if most == nil || w.patience >= most.patience {
			most = w
		}
	}
	return most
}

func (q *queue) len() int { return len(q.waiters) }
