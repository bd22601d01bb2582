package route

import (
	"slices"
	"time"
)

// place is one request that waits for a slot. One result is sent on ready.
type place struct {
	startBy    time.Time // latest useful start
	deadline   time.Time
	patience   time.Duration
	repeatable bool
	ready      chan placed
}

// placed is the end of the wait: an executor with a slot taken, or an error.
type placed struct {
	executor *executor
	err      error
}

// queue holds the waiting requests of one service, the least slack first. It
// is not safe for concurrent use.
type queue struct {
	places []*place // ascending startBy
}

// rank returns how many waiting requests go before one that must start by t.
func (q *queue) rank(t time.Time) int {
	i, _ := slices.BinarySearchFunc(q.places, t, func(p *place, t time.Time) int {
		if p.startBy.After(t) {
			return 1
		}
		return -1
	})
	return i
}

// push adds p behind those with as little slack.
func (q *queue) push(p *place) {
	q.places = slices.Insert(q.places, q.rank(p.startBy), p)
}

// pop removes and returns the request with the least slack.
func (q *queue) pop() *place {
	p := q.places[0]
	q.places[0] = nil
	q.places = q.places[1:]
	return p
}

// remove drops p and reports whether it was waiting.
func (q *queue) remove(p *place) bool {
	i := slices.Index(q.places, p)
	if i < 0 {
		return false
	}
	q.places = slices.Delete(q.places, i, i+1)
	return true
}

// mostPatient returns the waiting request with the most patience; of equals the
// one with the most slack.
func (q *queue) mostPatient() *place {
	var most *place
	for _, p := range q.places {
		if most == nil || p.patience >= most.patience {
			most = p
		}
	}
	return most
}

func (q *queue) len() int { return len(q.places) }
