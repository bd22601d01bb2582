package route

import (
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/owner"
)

// pool is the queue and the executors of one service at this owner.
type pool struct {
	service  string
	maxQueue int
	owns     func(x *executor, now, deadline time.Time) bool
	leased   func(now time.Time) bool // the leases of this entry are not over
	now      func() time.Time
	onIdle   func(owner.Claim) // it was asked back and nothing runs there
	metrics  *ownerMetrics

	mu           sync.Mutex
	executors    []*executor
	queue        queue
	meanSlotTime time.Duration // moving average of the time that a slot is taken
	pickOffset   int           // where the search for an executor starts
}

// meanWeight is the weight of one sample in the moving average, as a divisor.
const meanWeight = 16

// enter takes a slot at once, queues the request, or refuses it.
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
		return nil, errkind.New(errkind.OwnerMoved, "no executor of %s is owned here", p.service)
	}
	if err := p.admit(w, now); err != nil {
		return nil, err
	}
	p.queue.push(w)
	return nil, nil
}

// usable counts the executors that may be given something, now or later.
func (p *pool) openExecutors() int {
	n := 0
	for _, x := range p.executors {
		if !x.draining {
			n++
		}
	}
	return n
}

// admit refuses a request that would wait too long, and makes room in a full
// queue by refusing the most patient request.
func (p *pool) admit(w *waiter, now time.Time) error {
	wait := p.expectedWait(p.queue.rank(w.startBy))
	if now.Add(wait).After(w.startBy) {
		err := errkind.New(errkind.DeadlineBeforeStart, "the request would wait %s, longer than it may", wait.Round(time.Millisecond))
		return errkind.WithRetryAfter(err, wait)
	}
	if p.queue.len() < p.maxQueue {
		return nil
	}
	drainTime := p.expectedWait(p.queue.len())
	fullErr := errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "the queue of %s is full", p.service), drainTime)
	victim := p.queue.mostPatient()
	if victim == nil || victim.patience <= w.patience {
		return fullErr
	}
	p.queue.remove(victim)
	victim.ready <- waitResult{err: fullErr}
	return nil
}

// expectedWait estimates how long a request waits that has ahead before it.
func (p *pool) expectedWait(ahead int) time.Duration {
	slots := int32(0)
	for _, x := range p.executors {
		if !x.draining {
			slots += x.capacity()
		}
	}
	return p.meanSlotTime * time.Duration(ahead+1) / time.Duration(max(slots, 1))
}

// pick returns the executor with the most free slots, or nil. A request that is
// not repeatable is not used to try out an executor that has failed before.
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

// dispatch gives free slots to waiting requests. The lock is held.
func (p *pool) dispatch() {
	now := p.now()
	for p.queue.len() > 0 {
		w := p.queue.waiters[0]
		if now.After(w.startBy) {
			p.queue.pop()
			w.ready <- waitResult{err: errkind.New(errkind.DeadlineBeforeStart, "no slot was free in time")}
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

// leave gives up waiting. A slot that came in the same moment is returned.
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

// free returns a slot that was taken for the given time; zero is not counted.
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
		p.onIdle(owner.Claim{Executor: x.spec.ID, Epoch: x.epoch})
	}
}

func (p *pool) recordSlotTime(d time.Duration) {
	if p.meanSlotTime == 0 {
		p.meanSlotTime = d
		return
	}
	p.meanSlotTime += (d - p.meanSlotTime) / meanWeight
}

// noteResult updates the health of x after a request.
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
		p.metrics.spared.Inc()
		return
	}
	p.metrics.ejected.Inc()
	x.health.eject(now)
}

// load returns the slots in use and the slots there are.
func (p *pool) slotUsage() (inUse, slots int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.executors {
		inUse += x.inUse
		slots += x.slots
	}
	return inUse, slots
}

// longestQueuedLifetime returns how long after now the last waiting request may run.
func (p *pool) longestQueuedLifetime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lifetime time.Duration
	for _, w := range p.queue.waiters {
		lifetime = max(lifetime, w.deadline.Sub(now))
	}
	return lifetime
}
