package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// reservation reserves workers for a job that waits for free capacity. Other tasks
// are placed on a reserved worker only if they are expected to end before the
// reservation starts.
type reservation struct {
	job          *job
	claims       []claim
	size         model.Resources // of a task, when the claims were made
	advance      bool            // waits for tasks to end; otherwise tasks are preempted for it
	preemptAfter model.Time      // earliest next preemption for it

	start           model.Time // expected time of enough free capacity; zero if unknown or now
	startKnown      bool       // start is up to date, subject to the two fields below
	startValidUntil model.Time // start is valid until then, since a task is expected to end
	startVersion    uint64     // version of the learned table that start is based on

	keptSince     model.Time // since when it keeps a job waiting that may borrow its workers; zero: it does not
	keptLast      model.Time // last plan in which it did
	lent          bool       // the current plan lends its workers
	lastingBorrow bool       // tasks that do not end have borrowed a worker
}

// claim is the part of a reservation on one worker.
type claim struct {
	slot  int32
	tasks int64 // number of tasks of the job that are to run there
}

// Limits of reservations.
const (
	maxReservedTasks       = 8  // tasks of a job, other than a gang, reserved for at once
	reservationScanSpare   = 64 // workers considered in addition to one per task
	reservationRetryMillis = 1000
)

// dropInvalidReservations drops the reservations whose job cannot start or whose
// workers cannot be used for it any more.
func (s *Scheduler) dropInvalidReservations(now model.Time) {
	for _, r := range slices.Clone(s.reservations) {
		if !s.reservationValid(r, now) {
			s.dropReservation(r)
		}
	}
}

func (s *Scheduler) reservationValid(r *reservation, now model.Time) bool {
	if len(r.claims) == 0 || !s.mayStart(r.job, now) || r.advance && !s.holdsTasks(r) {
		return false
	}
	for _, c := range r.claims {
		w := &s.workers[c.slot]
		if !w.open() || w.onProbation() || w.reservation != r || !r.job.permits.allowed(w.id, now) || !s.matches(r.job.group.selector, w.class) {
			return false
		}
	}
	return true
}

// holdsTasks reports whether the reserved workers still hold the claimed tasks once their
// batch tasks have ended, after the size of a task may have been learned anew or tasks that
// last have borrowed a worker.
func (s *Scheduler) holdsTasks(r *reservation) bool {
	size := s.sizeFor(r.job.group)
	if size.Fits(r.size) && !r.lastingBorrow {
		return true
	}
	for _, c := range r.claims {
		if copies(size, s.freeWithoutBatch(c.slot)) < c.tasks {
			return false
		}
	}
	r.size = size
	return true
}

// mayStart reports whether j can start once work other than services has ended. It
// cannot while the limits of its team hold it up and it has no turn. The groups must have
// been evaluated.
func (s *Scheduler) mayStart(j *job, now model.Time) bool {
	g, t := j.group, s.teams[j.group.team]
	if !j.startable() || g.fitFailure.Err != nil {
		return false
	}
	n, size := j.tasksAtOnce(), s.sizeFor(g)
	return t.allows(n, size) || t.fitsBesideServices(n, size) && !t.hold.paused(now)
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

// updateReservation follows a change of a worker's capacity: a reservation that no longer
// fits there once its batch tasks have ended is dropped, so that the job can reserve other
// workers.
func (s *Scheduler) updateReservation(slot int32) {
	w := &s.workers[slot]
	if w.reservation == nil {
		return
	}
	w.invalidateReservation()
	if copies(s.sizeFor(w.reservation.job.group), s.freeWithoutBatch(slot)) < w.reservation.claimed(slot) {
		s.dropReservation(w.reservation)
	}
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

// mayReserve reports whether another advance reservation is allowed.
func (s *Scheduler) mayReserve() bool { return s.countReservations(true) < s.opts.MaxReservations }

// mayAddPreemptor reports whether tasks may be preempted for another job.
func (s *Scheduler) mayAddPreemptor() bool { return s.countReservations(false) < s.opts.MaxPreemptors }

func (s *Scheduler) countReservations(advance bool) (n int) {
	for _, r := range s.reservations {
		if r.advance == advance {
			n++
		}
	}
	return n
}

// addClaim reserves a worker for n more tasks of a job.
func (s *Scheduler) addClaim(j *job, slot int32, n int64) {
	r := j.reservation
	if r == nil {
		r = &reservation{job: j, size: s.sizeFor(j.group)}
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

// invalidateReservations makes the starts of reservations for jobs of g be
// determined again.
func (s *Scheduler) invalidateReservations(g *group) {
	for _, r := range s.reservations {
		if r.job.group == g {
			r.startKnown = false
		}
	}
}

// consumeClaim counts a placement against the reservation of its job.
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

// claims returns the workers that are reserved for j.
func (j *job) claims() []claim {
	if j.reservation == nil {
		return nil
	}
	return j.reservation.claims
}

// findReserved returns the tightest worker reserved for j on which a task fits, or
// noSlot.
func (p *planner) findReserved(j *job, size model.Resources) int32 {
	best := noSlot
	for _, c := range j.claims() {
		if p.usable(j, c.slot, size) && (best == noSlot || p.compareTight(c.slot, best) < 0) {
			best = c.slot
		}
	}
	return best
}

// reserveWorkers reserves workers for j, which has waited long and does not fit.
func (p *planner) reserveWorkers(j *job, size model.Resources) {
	s := p.s
	if j.reservation != nil || !s.mayReserve() || p.now < j.mayReserveFrom() || p.now < j.bookAfter {
		return
	}
	need := p.tasksToReserve(j)
	claims := p.chooseClaims(j, size, need)
	if claims == nil {
		j.reserveAfter = p.now + reservationRetryMillis
		j.group.reserveAfter = j.reserveAfter
		return
	}
	for _, c := range claims {
		s.addClaim(j, c.slot, c.tasks)
	}
	j.reservation.advance = true
}

// mayReserveFrom returns the time of the next attempt to reserve workers for j. Permits differ
// from job to job, so that another one may reserve where one cannot.
func (j *job) mayReserveFrom() model.Time {
	if j.permits != nil {
		return j.reserveAfter
	}
	return j.group.reserveAfter
}

// tasksToReserve returns for how many tasks of j workers are reserved at once.
func (p *planner) tasksToReserve(j *job) int64 {
	if j.group.policy == gang {
		return int64(j.ready)
	}
	return int64(min(j.ready, maxReservedTasks))
}

// chooseClaims chooses workers that could hold need tasks of j once their batch
// tasks have ended: the emptiest ones of one failure domain if they suffice, else
// of all. It returns nil if they do not suffice.
func (p *planner) chooseClaims(j *job, size model.Resources, need int64) []claim {
	bins, exact := p.s.binsFor(nil, j.group.selector)
	accept := p.acceptBookable(j, exact)
	found := p.emptiest(bins, int(need)+reservationScanSpare, func(slot int32) bool {
		return (accept == nil || accept(slot)) && size.Fits(p.s.freeWithoutBatch(slot))
	})
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
			if accept(slot) {
				out = append(out, slot)
				left--
			}
			return left > 0
		})
	}
	slices.SortFunc(out, func(a, b int32) int { return p.compareTight(b, a) })
	return out[:min(n, len(out))]
}

// cover claims workers in order until need tasks are covered; nil if the workers
// do not suffice.
func (p *planner) cover(j *job, slots []int32, size model.Resources, need int64) []claim {
	var out []claim
	for _, slot := range slots {
		n := copies(size, p.s.freeWithoutBatch(slot))
		if j.group.perWorker > 0 {
			p.spread.load(p.s, j)
			n = min(n, int64(j.group.perWorker-p.spread.onWorker[slot]))
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

// freeWithoutBatch returns what a worker has free once its batch tasks and gangs
// have ended.
func (s *Scheduler) freeWithoutBatch(slot int32) model.Resources {
	w := &s.workers[slot]
	free := w.capacity
	for _, r := range w.tasks {
		if r.job.group.lasts() {
			free = free.Sub(r.job.tasks[r.index].size)
		}
	}
	return free
}
