package route

import (
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/owner"
)

// pool holds the executors of one service at this owner and the queue of
// requests for them.
type pool struct {
	service  string
	maxQueue int
	owns     func(x *executor, now, deadline time.Time) bool
	leased   func(now time.Time) bool // whether the leases of this entry are valid
	now      func() time.Time
	onIdle   func(owner.Grant) // called when nothing runs on an executor that is draining
	metrics  *ownerMetrics

	mu           sync.Mutex
	executors    []*executor
	queue        queue
	meanSlotTime time.Duration // moving average of the time that a slot is held
	pickOffset   int           // where the search for an executor starts
}

// meanWeight is the divisor that gives the weight of one sample in the moving
// average.
const meanWeight = 16

// acquireSlot takes a slot and returns its executor, or queues the request and
// returns nil, or refuses it with an error.
func (p *pool) acquireSlot(w *waiter) (*executor, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.queue.len() == 0 {
		if x := p.pick(w, now); x != nil {
			x.inUse++
			return x, nil
		}
	}
	if p.openExecutors() == 0 || !p.leased(now) {
		return nil, errkind.New(errkind.OwnerMoved, "this entry owns no executor of service %s", p.service)
	}
	if err := p.admit(w, now); err != nil {
		return nil, err
	}
	p.queue.push(w)
	return nil, nil
}

// openExecutors returns the number of executors that are not draining.
func (p *pool) openExecutors() int {
	n := 0
	for _, x := range p.executors {
		if !x.draining {
			n++
		}
	}
	return n
}

// admit refuses a request that would wait too long. In a full queue it refuses
// the request with the most patience, queued or new.
func (p *pool) admit(w *waiter, now time.Time) error {
	wait := p.expectedWait(p.queue.rank(w.startBy))
	if now.Add(wait).After(w.startBy) {
		err := errkind.New(errkind.DeadlineBeforeStart, "the request would wait about %s for a slot, longer than its deadline or patience allows", wait.Round(time.Millisecond))
		return errkind.WithRetryAfter(err, wait)
	}
	if p.queue.len() < p.maxQueue {
		return nil
	}
	drainTime := p.expectedWait(p.queue.len())
	fullErr := errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "the request queue of service %s is full", p.service), drainTime)
	victim := p.queue.mostPatient()
	if victim == nil || victim.patience <= w.patience {
		return fullErr
	}
	p.queue.remove(victim)
	victim.ready <- waitResult{err: fullErr}
	return nil
}

// expectedWait estimates the wait of a request with the given number of
// requests ahead of it.
func (p *pool) expectedWait(ahead int) time.Duration {
	slots := int32(0)
	for _, x := range p.executors {
		if !x.draining {
			slots += x.capacity()
		}
	}
	return p.meanSlotTime * time.Duration(ahead+1) / time.Duration(max(slots, 1))
}

// pick returns the executor with the most free slots, or nil. An executor on
// trial gets no request that is not repeatable.
func (p *pool) pick(w *waiter, now time.Time) *executor {
	var best *executor
	n := len(p.executors)
	p.pickOffset++
	for i := range n {
		x := p.executors[(p.pickOffset+i)%n]
		free := x.capacity() - x.inUse
		if x.draining || free <= 0 || x.health.ejected(now) || (x.health.onTrial && !w.repeatable) {
			continue
		}
		if !p.owns(x, now, w.deadline) {
			continue
		}
		if best == nil || free > best.capacity()-best.inUse {
			best = x
		}
	}
	return best
}

// dispatch assigns free slots to queued requests. p.mu is held.
func (p *pool) dispatch() {
	now := p.now()
	for p.queue.len() > 0 {
		w := p.queue.waiters[0]
		if now.After(w.startBy) {
			p.queue.pop()
			w.ready <- waitResult{err: errkind.New(errkind.DeadlineBeforeStart, "no executor slot became free in time")}
			continue
		}
		x := p.pick(w, now)
		if x == nil {
			return
		}
		p.queue.pop()
		x.inUse++
		w.ready <- waitResult{executor: x}
	}
}

// cancelWait removes the request from the queue. A slot that was assigned at
// the same time is released.
func (p *pool) cancelWait(w *waiter) {
	p.mu.Lock()
	waiting := p.queue.remove(w)
	p.mu.Unlock()
	if waiting {
		return
	}
	if r := <-w.ready; r.executor != nil {
		p.releaseSlot(r.executor, 0)
	}
}

// releaseSlot returns a slot that was held for the given time. Zero is not
// counted in the average.
func (p *pool) releaseSlot(x *executor, heldFor time.Duration) {
	p.mu.Lock()
	x.inUse--
	if heldFor > 0 {
		p.recordSlotTime(heldFor)
	}
	idle := x.draining && x.inUse == 0
	p.dispatch()
	p.mu.Unlock()
	if idle {
		p.onIdle(owner.Grant{Executor: x.spec.ID, Epoch: x.epoch})
	}
}

func (p *pool) recordSlotTime(d time.Duration) {
	if p.meanSlotTime == 0 {
		p.meanSlotTime = d
		return
	}
	p.meanSlotTime += (d - p.meanSlotTime) / meanWeight
}

// recordResult updates the health of x after a request.
func (p *pool) recordResult(x *executor, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		x.health.recordSuccess()
		return
	}
	if !x.health.recordFailure() {
		return
	}
	now := p.now()
	ejected := 0
	for _, o := range p.executors {
		if o != x && o.health.ejected(now) {
			ejected++
		}
	}
	if ejected >= maxEjected(len(p.executors)) {
		p.metrics.skippedEjections.Inc()
		return
	}
	p.metrics.ejections.Inc()
	x.health.eject(now)
}

// slotUsage returns the slots in use and the total number of slots.
func (p *pool) slotUsage() (inUse, slots int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.executors {
		inUse += x.inUse
		slots += x.slots
	}
	return inUse, slots
}

// longestQueuedLifetime returns the time from now to the latest deadline of the
// queued requests.
func (p *pool) longestQueuedLifetime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lifetime time.Duration
	for _, w := range p.queue.waiters {
		lifetime = max(lifetime, w.deadline.Sub(now))
	}
	return lifetime
}
