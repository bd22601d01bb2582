package schedule

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// EvacuationChanged records whether a failure domain is evacuated. The workers of an
// evacuated domain are given no tasks and contribute no capacity; what runs there goes on.
type EvacuationChanged struct {
	Domain    string
	Evacuated bool
}

func (EvacuationChanged) isEvent() {}

// setEvacuation begins or ends the evacuation of a failure domain.
func (s *Scheduler) setEvacuation(e EvacuationChanged) {
	domain := s.domains.intern(e.Domain)
	s.addDomainTie(domain, e.Domain)
	if e.Evacuated == s.evacuated[domain] {
		return
	}
	if e.Evacuated {
		if s.evacuated == nil {
			s.evacuated = map[int32]bool{}
		}
		s.evacuated[domain] = true
	} else {
		delete(s.evacuated, domain)
	}
	for slot := range s.workers {
		if w := &s.workers[slot]; w.known && w.domain == domain {
			s.uncount(w)
			s.setEvacuated(int32(slot))
			s.count(w)
			s.reindex(int32(slot))
		}
	}
}

// setEvacuated records whether the failure domain of a worker is evacuated. An evacuated
// worker is neither reserved nor booked. The caller updates the totals and the index.
func (s *Scheduler) setEvacuated(slot int32) {
	w := &s.workers[slot]
	w.evacuated = s.evacuated[w.domain]
	if !w.evacuated {
		return
	}
	if w.reservation != nil {
		s.dropReservation(w.reservation)
	}
	s.dropBookingsOn(slot)
	s.draining = append(s.draining, slot)
}

// inUse returns what is reserved on the workers that contribute capacity.
func (s *Scheduler) inUse() model.Resources {
	sum := s.reserved
	if len(s.evacuated) == 0 {
		return sum
	}
	for i := range s.workers {
		if w := &s.workers[i]; w.known && w.evacuated {
			sum = sum.Sub(w.capacity.Sub(w.free).Sub(w.ending))
		}
	}
	return sum
}

// moveTasks moves the tasks that last away from an evacuated worker. Other tasks run to their
// ends.
func (p *planner) moveTasks(w *worker) {
	if !slices.ContainsFunc(w.tasks, func(r taskRef) bool { return r.job.group.lasts() }) {
		return
	}
	for _, r := range sortedTasks(w.tasks) {
		if len(p.plan.Preemptions) >= p.max {
			return
		}
		j := r.job
		if !j.group.lasts() || !j.group.repeatable || p.stopping(r) || p.immovable[j] {
			continue
		}
		if !p.mayMove(j) {
			p.keepInPlace(j)
			continue
		}
		p.preempt(r, 0, ReasonEvacuation)
		if j.group.policy == gang {
			p.s.moving = j.id
		}
	}
}

// keepInPlace records that the plan moves no further task of j.
func (p *planner) keepInPlace(j *job) {
	if p.immovable == nil {
		p.immovable = map[*job]bool{}
	}
	p.immovable[j] = true
}

// mayMove reports whether one more task of a service may be stopped, or the whole of a gang that
// lasts, since what is then to be started has room on other workers.
func (p *planner) mayMove(j *job) bool {
	size := p.s.sizeFor(j.group)
	if j.group.policy == service {
		down := p.unavailable(j)
		return down < p.maxUnavailable(j) && p.roomElsewhere(j, size) > int64(down)
	}
	return !p.gangIsMoving() && p.roomElsewhere(j, size) >= int64(int32(len(j.tasks))-j.done)
}

// gangIsMoving reports whether a gang that was stopped for an evacuation has not been started
// elsewhere. Gangs are moved one at a time: the same room would let several be stopped.
func (p *planner) gangIsMoving() bool {
	j := p.s.jobs[p.s.moving]
	if j == nil || j.cancelled {
		return false
	}
	return j.ready+j.waiting > 0 || slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == taskStopping }) || p.stopsTaskOf(j)
}

// stopsTaskOf reports whether the plan stops a task of j.
func (p *planner) stopsTaskOf(j *job) bool {
	for i := range j.tasks {
		if p.preempted[taskRef{j, int32(i)}] {
			return true
		}
	}
	return false
}

// roomElsewhere returns how many tasks of j fit on the available workers. What a gang uses
// there counts as free, since the whole gang is stopped. Permits are left aside: the policy
// service is queried about pending tasks only.
func (p *planner) roomElsewhere(j *job, size model.Resources) (n int64) {
	p.spread.load(p.s, j)
	for i := range p.s.workers {
		w := &p.s.workers[i]
		if !w.available() || !p.s.matches(j.group.selector, w.class) {
			continue
		}
		free, on := p.s.freeFor(j, int32(i)), p.spread.onWorker[i]
		if j.group.policy == gang && on > 0 {
			free, on = free.Add(usedBy(j, w)), 0
		}
		fit := copies(size, free)
		if j.group.perWorker > 0 {
			fit = min(fit, int64(j.group.perWorker-on))
		}
		n += fit
	}
	return n
}

// usedBy returns what the tasks of j use on a worker.
func usedBy(j *job, w *worker) (sum model.Resources) {
	for _, r := range w.tasks {
		if r.job == j {
			sum = sum.Add(r.task().size)
		}
	}
	return sum
}
