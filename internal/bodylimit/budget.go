package bodylimit

import (
	"sync/atomic"
	"time"
)

// Class says who sends a body.
type Class int

// The classes.
const (
	Callers Class = iota
	Workers
	Operators
	numClasses
)

// String returns the name of the class, which is the value of its label.
func (c Class) String() string { return [numClasses]string{"callers", "workers", "operators"}[c] }

// Classes returns all classes.
func Classes() []Class { return []Class{Callers, Workers, Operators} }

// reason says why a body was given up.
type reason string

const (
	reasonNone     reason = ""
	reasonBudget   reason = "budget"    // its bytes were needed for other bodies
	reasonSlow     reason = "slow"      // slower than the minimum rate
	reasonTooLarge reason = "too_large" // over the limit of one body
	reasonUnread   reason = "unread"    // a response whose bytes were needed for other bodies
)

const (
	// ordinaryTime is how long an ordinary body takes at most. A body in reading for longer
	// is given up when its bytes are needed.
	ordinaryTime = time.Second
	// freeBytes of each body are not charged: the limit of connections bounds their sum, and
	// ordinary bodies are served while others hold the whole budget.
	freeBytes = 4 << 10
)

// transfer is one body that is being read or held, or a response that is being sent.
type transfer struct {
	class    Class
	started  time.Time
	received atomic.Int64 // bytes
	// paused is how long the transfer was not waiting for bytes, up to pausedAt, since its
	// reader was busy. A transfer that is paused at the moment has a pausedAt that is not zero.
	paused    time.Duration
	pausedAt  time.Time
	charged   int64 // bytes
	response  bool
	givenUp   reason
	ended     bool   // its request has ended
	interrupt func() // ends its current and later reads with an error

	reading    bool      // or being sent
	prev, next *transfer // in the order of started; only while reading
}

// waited returns how long the transfer has waited for bytes. A response waits for none.
func (t *transfer) waited(now time.Time) time.Duration {
	if t.response {
		return 0
	}
	d := now.Sub(t.started) - t.paused
	if !t.pausedAt.IsZero() {
		d -= now.Sub(t.pausedAt)
	}
	return d
}

// account is the budget of one class.
type account struct {
	limit, held int64 // bytes
	first, last *transfer
}

// budget decides which bodies may be held. It is not safe for concurrent use.
type budget struct {
	accounts [numClasses]account
	minRate  int64 // bytes per second; zero: none
	grace    time.Duration
}

// begin adds a body whose reading, or a response whose sending, starts now.
func (b *budget) begin(t *transfer, now time.Time) {
	a := &b.accounts[t.class]
	t.started, t.reading = now, true
	t.prev = a.last
	if a.last == nil {
		a.first = t
	} else {
		a.last.next = t
	}
	a.last = t
}

// endReading records that a body is no longer being read; its bytes stay charged.
func (b *budget) endReading(t *transfer) {
	if !t.reading {
		return
	}
	a := &b.accounts[t.class]
	if t.prev == nil {
		a.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		a.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next, t.reading = nil, nil, false
}

// release ends a body and returns its bytes to the budget.
func (b *budget) release(t *transfer) {
	b.endReading(t)
	b.accounts[t.class].held -= t.charged
	t.charged = 0
}

// charge makes a body hold the given number of bytes in all, of which freeBytes are free. If the
// budget does not have them, it gives up the bodies that have been in reading for the
// longest, if for longer than ordinaryTime, and returns them. It reports whether the bytes
// are charged; t itself may be among the bodies given up.
func (b *budget) charge(t *transfer, bytes int64, now time.Time) (given []*transfer, ok bool) {
	a := &b.accounts[t.class]
	bytes = max(bytes-freeBytes, 0)
	if bytes > a.limit || t.ended {
		return nil, false
	}
	for t.givenUp == reasonNone && a.held+bytes-t.charged > a.limit {
		oldest := a.oldestCharged()
		if oldest == nil || now.Sub(oldest.started) <= ordinaryTime {
			return given, false
		}
		why := reasonBudget
		if oldest.response {
			why = reasonUnread
		}
		b.giveUp(oldest, why)
		given = append(given, oldest)
	}
	if t.givenUp != reasonNone {
		return given, false
	}
	a.held += bytes - t.charged
	t.charged = bytes
	return given, true
}

// oldestCharged returns the body that has been in reading for the longest, among those whose
// end returns bytes to the budget.
func (a *account) oldestCharged() *transfer {
	for t := a.first; t != nil; t = t.next {
		if t.charged > 0 {
			return t
		}
	}
	return nil
}

// giveUp returns the bytes of a body at once, so that the next body need not wait until the
// reader of this one has noticed.
func (b *budget) giveUp(t *transfer, why reason) {
	b.release(t)
	t.givenUp = why
}

// sweep gives up the bodies that are slower than the minimum rate and returns them.
func (b *budget) sweep(now time.Time) (given []*transfer) {
	if b.minRate == 0 {
		return nil
	}
	for i := range b.accounts {
		for t := b.accounts[i].first; t != nil && now.Sub(t.started) > b.grace; {
			next := t.next
			if b.slow(t, now) {
				b.giveUp(t, reasonSlow)
				given = append(given, t)
			}
			t = next
		}
	}
	return given
}

func (b *budget) slow(t *transfer, now time.Time) bool {
	late := t.waited(now) - b.grace
	return late > 0 && float64(t.received.Load()) < late.Seconds()*float64(b.minRate)
}

// empty reports whether no body is being read.
func (b *budget) empty() bool {
	for i := range b.accounts {
		if b.accounts[i].first != nil {
			return false
		}
	}
	return true
}
