package route

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/owner"
)

// reconcile updates the executors to match those owned and returns how many are
// left. An executor that is no longer owned is kept until nothing runs there.
func (p *pool) reconcile(owned []owner.Owned, timeouts transportTimeouts) int {
	p.mu.Lock()
	var idle []owner.Grant
	for _, x := range p.executors {
		i := slices.IndexFunc(owned, func(o owner.Owned) bool { return o.Executor.ID == x.spec.ID && o.Epoch == x.epoch })
		x.draining = i < 0 || owned[i].Leaving || owned[i].ReleaseRequested
		x.releaseWhenIdle = i >= 0 && owned[i].ReleaseRequested
		if i >= 0 {
			x.slots = owned[i].Executor.Slots
		}
		if x.releaseWhenIdle && x.inUse == 0 {
			idle = append(idle, owner.Grant{Executor: x.spec.ID, Epoch: x.epoch})
		}
	}
	p.executors = slices.DeleteFunc(p.executors, func(x *executor) bool {
		remove := x.draining && x.inUse == 0 && !x.releaseWhenIdle
		if remove {
			x.transport.CloseIdleConnections()
		}
		return remove
	})
	for _, o := range owned {
		switch {
		case p.contains(o):
		case o.ReleaseRequested:
			// The leader reclaimed it before it was used here.
			idle = append(idle, owner.Grant{Executor: o.Executor.ID, Epoch: o.Epoch})
		case !o.Leaving:
			p.executors = append(p.executors, newExecutor(o.Executor, o.Epoch, timeouts))
		}
	}
	if p.openExecutors() == 0 {
		p.failWaiting(errkind.New(errkind.OwnerMoved, "the executors of service %s have another owner", p.service))
	}
	p.dispatch()
	n := len(p.executors)
	p.mu.Unlock()
	for _, claim := range idle {
		p.onIdle(claim)
	}
	return n
}

func (p *pool) contains(o owner.Owned) bool {
	return slices.ContainsFunc(p.executors, func(x *executor) bool {
		return x.spec.ID == o.Executor.ID && x.epoch == o.Epoch
	})
}

// failWaiting ends the wait of every queued request with err. p.mu is held.
func (p *pool) failWaiting(err error) {
	for p.queue.len() > 0 {
		p.queue.pop().ready <- waitResult{err: err}
	}
}
