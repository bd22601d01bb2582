package route

import (
	"slices"
	"time"
)

// waiter is one request that waits for a slot. At most one result is sent on
// ready.
type waiter struct {
	startBy    time.Time // latest useful start
	deadline   time.Time
	patience   time.Duration
	repeatable bool
	ready      chan waitResult
}

// waitResult is an executor with a slot taken, or the error that ended the
// wait.
type waitResult struct {
	executor *executor
	err      error
}

// queue holds the waiting requests of one service, ordered by the latest useful
// start. It is not safe for concurrent use.
type queue struct {
	waiters []*waiter // in ascending order of startBy
}

// rank returns how many requests are ahead of one that must start by t.
func (q *queue) rank(t time.Time) int {
	i, _ := slices.BinarySearchFunc(q.waiters, t, func(p *waiter, t time.Time) int {
		if p.startBy.After(t) {
			return 1
		}
		return -1
	})
	return i
}

// push inserts w behind all requests that must start at the same time or
// earlier.
func (q *queue) push(w *waiter) {
	q.waiters = slices.Insert(q.waiters, q.rank(w.startBy), w)
}

// pop removes and returns the request that must start first.
func (q *queue) pop() *waiter {
	w := q.waiters[0]
	q.waiters[0] = nil
	q.waiters = q.waiters[1:]
	return w
}

// remove removes w and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// mostPatient returns the request with the most patience; among equals the one
// with the latest useful start.
func (q *queue) mostPatient() *waiter {
	var best *waiter
	for _, w := range q.waiters {
		if best == nil || w.patience >= best.patience {
			best = w
		}
	}
	return best
}

func (q *queue) len() int { return len(q.waiters) }
