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
	onIdle   func(owner.Grant) // it was asked back and nothing runs there
	metrics  *ownerMetrics

	mu        sync.Mutex
	executors []*executor
	queue     queue
	mean      time.Duration // moving average of the time that a slot is taken
	next      int           // where the search for an executor starts
}

// meanWeight is the weight of one sample in the moving average, as a divisor.
const meanWeight = 16

// enter takes a slot at once, queues the request, or refuses it.
func (p *pool) enter(w *place) (*executor, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.queue.len() == 0 {
		if x := p.pick(w, now); x != nil {
			x.inUse++
			return x, nil
		}
	}
	if p.usable() == 0 || !p.leased(now) {
		return nil, errkind.New(errkind.OwnerMoved, "no executor of %s is owned here", p.service)
	}
	if err := p.admit(w, now); err != nil {
		return nil, err
	}
	p.queue.push(w)
	return nil, nil
}

// usable counts the executors that may be given something, now or later.
func (p *pool) usable() int {
	n := 0
	for _, x := range p.executors {
		if !x.closed {
			n++
		}
	}
	return n
}

// admit refuses a request that would wait too long, and makes room in a full
// queue by refusing the most patient request.
func (p *pool) admit(w *place, now time.Time) error {
	wait := p.expectedWait(p.queue.rank(w.startBy))
	if now.Add(wait).After(w.startBy) {
		err := errkind.New(errkind.DeadlineBeforeStart, "the request would wait %s, longer than it may", wait.Round(time.Millisecond))
		return errkind.WithRetryAfter(err, wait)
	}
	if p.queue.len() < p.maxQueue {
		return nil
	}
	drain := p.expectedWait(p.queue.len())
	full := errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "the queue of %s is full", p.service), drain)
	victim := p.queue.mostPatient()
	if victim == nil || victim.patience <= w.patience {
		return full
	}
	p.queue.remove(victim)
	victim.ready <- placed{err: full}
	return nil
}

// expectedWait estimates how long a request waits that has ahead before it.
func (p *pool) expectedWait(ahead int) time.Duration {
	slots := int32(0)
	for _, x := range p.executors {
		if !x.closed {
			slots += x.capacity()
		}
	}
	return p.mean * time.Duration(ahead+1) / time.Duration(max(slots, 1))
}

// pick returns the executor with the most free slots, or nil. A request that is
// not repeatable is not used to try out an executor that has failed before.
func (p *pool) pick(w *place, now time.Time) *executor {
	var best *executor
	n := len(p.executors)
	p.next++
	for i := range n {
		x := p.executors[(p.next+i)%n]
		free := x.capacity() - x.inUse
		if x.closed || free <= 0 || x.health.out(now) || (x.health.trial && !w.repeatable) {
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
		w := p.queue.places[0]
		if now.After(w.startBy) {
			p.queue.pop()
			w.ready <- placed{err: errkind.New(errkind.DeadlineBeforeStart, "no slot was free in time")}
			continue
		}
		x := p.pick(w, now)
		if x == nil {
			return
		}
		p.queue.pop()
		x.inUse++
		w.ready <- placed{executor: x}
	}
}

// leave gives up waiting. A slot that came in the same moment is returned.
func (p *pool) leave(w *place) {
	p.mu.Lock()
	waiting := p.queue.remove(w)
	p.mu.Unlock()
	if waiting {
		return
	}
	if r := <-w.ready; r.executor != nil {
		p.free(r.executor, 0)
	}
}

// free returns a slot that was taken for the given time; zero is not counted.
func (p *pool) free(x *executor, taken time.Duration) {
	p.mu.Lock()
	x.inUse--
	if taken > 0 {
		p.noteTaken(taken)
	}
	idle := x.closed && x.inUse == 0
	p.dispatch()
	p.mu.Unlock()
	if idle {
		p.onIdle(owner.Grant{Executor: x.spec.ID, Epoch: x.epoch})
	}
}

func (p *pool) noteTaken(d time.Duration) {
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += (d - p.mean) / meanWeight
}

// noteResult updates the health of x after a request.
func (p *pool) noteResult(x *executor, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		x.health.success()
		return
	}
	if !x.health.failure() {
		return
	}
	now := p.now()
	out := 0
	for _, o := range p.executors {
		if o != x && o.health.out(now) {
			out++
		}
	}
	if out >= ejectable(len(p.executors)) {
		p.metrics.spared.Inc()
		return
	}
	p.metrics.ejected.Inc()
	x.health.eject(now)
}

// load returns the slots in use and the slots there are.
func (p *pool) load() (inUse, slots int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.executors {
		inUse += x.inUse
		slots += x.slots
	}
	return inUse, slots
}

// longestWaiting returns how long after now the last waiting request may run.
func (p *pool) longestWaiting(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var life time.Duration
	for _, w := range p.queue.places {
		life = max(life, w.deadline.Sub(now))
	}
	return life
}
