package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// hold keeps workers clear for a job that waits for room there. New work goes
// to a held worker only if it is known to end before the room is needed.
type reservation struct {
	job          *job
	claims       []claim
	advance      bool       // a reservation; else work is stopped for it
	preemptAfter model.Time // no further work is stopped for it before this

	start           model.Time // when its room is expected; zero when not known, or at once
	startKnown      bool       // start was worked out
	startValidUntil model.Time // a task was expected to end by then
	startVersion    uint64     // version of what was learned then
}

// claim is the part of a hold on one worker.
type claim struct {
	slot  int32
	tasks int64 // of the job that are to run there
}

// Bounds of a hold.
const (
	maxReservedTasks       = 8  // tasks of a job other than a gang held for at once
	reservationScanSpare   = 64 // workers looked at beyond the tasks of a gang
	reservationRetryMillis = 1000
)

// dropInvalidReservations drops the holds whose job or workers are no longer there.
func (s *Scheduler) dropInvalidReservations() {
	for _, r := range slices.Clone(s.reservations) {
		if !s.reservationValid(r) {
			s.dropReservation(r)
		}
	}
}

func (s *Scheduler) reservationValid(r *reservation) bool {
	if r.job.ready == 0 || len(r.claims) == 0 {
		return false
	}
	for _, c := range r.claims {
		w := &s.workers[c.slot]
		if !w.open() || w.onProbation() || w.reservation != r {
			return false
		}
	}
	return true
}

func (s *Scheduler) dropReservation(r *reservation) {
	for _, c := range r.claims {
		if w := &s.workers[c.slot]; w.reservation == r {
			w.reservation = nil
			s.reindex(c.slot)
		}
	}
	r.claims = nil
	r.job.reservation = nil
	s.markStale(r.job.group)
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == r })
}

// claimed returns how many tasks of the job are to run on a worker.
func (r *reservation) claimed(slot int32) int64 {
	if r == nil {
		return 0
	}
	for _, c := range r.claims {
		if c.slot == slot {
			return c.tasks
		}
	}
	return 0
}

// mayReserve reports whether there may be one more reservation.
func (s *Scheduler) mayReserve() bool { return s.countReservations(true) < s.opts.MaxReservations }

// mayAddPreemptor reports whether work may be stopped for one more job.
func (s *Scheduler) mayAddPreemptor() bool { return s.countReservations(false) < s.opts.MaxPreemptors }

func (s *Scheduler) countReservations(advance bool) (n int) {
	for _, r := range s.reservations {
		if r.advance == advance {
			n++
		}
	}
	return n
}

// addClaim holds a worker for n more tasks of a job.
func (s *Scheduler) addClaim(j *job, slot int32, n int64) {
	r := j.reservation
	if r == nil {
		r = &reservation{job: j}
		j.reservation = r
		s.markStale(j.group)
		s.reservations = append(s.reservations, r)
	}
	for i := range r.claims {
		if r.claims[i].slot == slot {
			r.claims[i].tasks += n
			r.startKnown = false
			return
		}
	}
	r.startKnown = false
	r.claims = append(r.claims, claim{slot, n})
	s.workers[slot].reservation = r
	s.reindex(slot)
}

// invalidateReservations has the starts of holds for jobs of g worked out anew.
func (s *Scheduler) invalidateReservations(g *group) {
	for _, r := range s.reservations {
		if r.job.group == g {
			r.startKnown = false
		}
	}
}

// consumeClaim counts a placement against the hold of its job.
func (s *Scheduler) consumeClaim(j *job, slot int32) {
	r := j.reservation
	if r == nil || s.workers[slot].reservation != r {
		return
	}
	i := slices.IndexFunc(r.claims, func(c claim) bool { return c.slot == slot })
	r.claims[i].tasks--
	r.startKnown = false
	if r.claims[i].tasks > 0 {
		return
	}
	r.claims = slices.Delete(r.claims, i, i+1)
	s.workers[slot].reservation = nil
	s.reindex(slot)
	if len(r.claims) == 0 {
		s.dropReservation(r)
	}
}

// findReserved returns the tightest worker held for j that has room, or noSlot.
func (p *planner) findReserved(j *job, size model.Resources) int32 {
	best := noSlot
	if j.reservation == nil {
		return best
	}
	for _, c := range j.reservation.claims {
		if p.usable(j, c.slot, size) && (best == noSlot || p.compareTight(c.slot, best) < 0) {
			best = c.slot
		}
	}
	return best
}

// reserveWorkers holds workers for j, which found no room and has waited long.
func (p *planner) reserveWorkers(j *job, size model.Resources) {
	s := p.s
	if j.reservation != nil || !s.mayReserve() || p.now < j.group.reserveAfter {
		return
	}
	need := p.tasksToReserve(j)
	claims := p.chooseClaims(j, size, need)
	if claims == nil {
		j.group.reserveAfter = p.now + reservationRetryMillis
		return
	}
	for _, c := range claims {
		s.addClaim(j, c.slot, c.tasks)
	}
	j.reservation.advance = true
}

// tasksToReserve returns how many tasks of j are held for at once.
func (p *planner) tasksToReserve(j *job) int64 {
	if j.group.policy == gang {
		return int64(j.ready)
	}
	return int64(min(j.ready, maxReservedTasks))
}

// chooseClaims chooses workers that could hold need tasks of j once their batch
// work has ended: the emptiest ones of one failure domain if that is enough,
// else of all. It returns nil when they are not enough.
func (p *planner) chooseClaims(j *job, size model.Resources, need int64) []claim {
	bins, exact := p.s.binsFor(nil, j.group.selector)
	accept := p.accept(j, exact)
	found := p.emptiest(bins, int(need)+reservationScanSpare, accept)
	byDomain := slices.Clone(found)
	slices.SortStableFunc(byDomain, func(a, b int32) int {
		return cmp.Compare(p.s.domainTie(a), p.s.domainTie(b))
	})
	for len(byDomain) > 0 {
		n := p.sameDomain(byDomain)
		if claims := p.cover(j, byDomain[:n], size, need); claims != nil {
			return claims
		}
		byDomain = byDomain[n:]
	}
	return p.cover(j, found, size, need)
}

func (s *Scheduler) domainTie(slot int32) uint64 { return s.domainTies[s.workers[slot].domain] }

// sameDomain returns how many of the first slots are in one failure domain.
func (p *planner) sameDomain(slots []int32) int {
	first := p.s.workers[slots[0]].domain
	n := slices.IndexFunc(slots, func(slot int32) bool { return p.s.workers[slot].domain != first })
	if n < 0 {
		return len(slots)
	}
	return n
}

// emptiest returns up to n workers of bins that accept does not refuse, the
// emptiest first.
func (p *planner) emptiest(bins []int32, n int, accept func(int32) bool) []int32 {
	var out []int32
	for _, bin := range bins {
		left := n
		p.s.free.Descend(bin, func(slot int32, _ model.Resources) bool {
			if accept == nil || accept(slot) {
				out = append(out, slot)
				left--
			}
			return left > 0
		})
	}
	slices.SortFunc(out, func(a, b int32) int { return p.compareTight(b, a) })
	return out[:min(n, len(out))]
}

// cover claims workers in order until need tasks have a place; nil if they never have.
func (p *planner) cover(j *job, slots []int32, size model.Resources, need int64) []claim {
	var out []claim
	for _, slot := range slots {
		n := copies(size, p.s.freeWithoutBatch(slot))
		if j.group.exclusive {
			n = min(n, 1)
		}
		n = min(n, need)
		if n <= 0 {
			continue
		}
		out = append(out, claim{slot, n})
		need -= n
		if need == 0 {
			return out
		}
	}
	return nil
}

// lasting returns what a worker has free once its batch work and gangs have ended.
func (s *Scheduler) freeWithoutBatch(slot int32) model.Resources {
	w := &s.workers[slot]
	free := w.capacity
	for _, r := range w.tasks {
		if r.job.group.policy == service {
			free = free.Sub(r.job.tasks[r.index].size)
		}
	}
	return free
}
