package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// hold keeps workers clear for a job that waits for room there. New work goes
// to a held worker only if it is known to end before the room is needed.
type hold struct {
	job    *job
	claims []claim
	ahead  bool       // a reservation; else work is stopped for it
	after  model.Time // no further work is stopped for it before this

	start      model.Time // when its room is expected; zero when not known, or at once
	known      bool       // start was worked out
	knownUntil model.Time // a task was expected to end by then
	knownBy    uint64     // version of what was learned then
}

// claim is the part of a hold on one worker.
type claim struct {
	slot  int32
	tasks int64 // of the job that are to run there
}

// Bounds of a hold.
const (
	maxClaimTasks   = 8  // tasks of a job other than a gang held for at once
	holdScanSpare   = 64 // workers looked at beyond the tasks of a gang
	holdRetryMillis = 1000
)

// refreshHolds drops the holds whose job or workers are no longer there.
func (s *Scheduler) refreshHolds() {
	for _, h := range slices.Clone(s.holds) {
		if !s.holdStands(h) {
			s.dropHold(h)
		}
	}
}

func (s *Scheduler) holdStands(h *hold) bool {
	if h.job.ready == 0 || len(h.claims) == 0 {
		return false
	}
	for _, c := range h.claims {
		w := &s.workers[c.slot]
		if !w.open() || w.onProbation() || w.hold != h {
			return false
		}
	}
	return true
}

func (s *Scheduler) dropHold(h *hold) {
	for _, c := range h.claims {
		if w := &s.workers[c.slot]; w.hold == h {
			w.hold = nil
			s.index(c.slot)
		}
	}
	h.claims = nil
	h.job.hold = nil
	s.stale(h.job.group)
	s.holds = slices.DeleteFunc(s.holds, func(o *hold) bool { return o == h })
}

// claimed returns how many tasks of the job are to run on a worker.
func (h *hold) claimed(slot int32) int64 {
	if h == nil {
		return 0
	}
	for _, c := range h.claims {
		if c.slot == slot {
			return c.tasks
		}
	}
	return 0
}

// mayReserve reports whether there may be one more reservation.
func (s *Scheduler) mayReserve() bool { return s.holdsOf(true) < s.opts.MaxHolds }

// mayClaim reports whether work may be stopped for one more job.
func (s *Scheduler) mayClaim() bool { return s.holdsOf(false) < s.opts.MaxClaims }

func (s *Scheduler) holdsOf(ahead bool) (n int) {
	for _, h := range s.holds {
		if h.ahead == ahead {
			n++
		}
	}
	return n
}

// addClaim holds a worker for n more tasks of a job.
func (s *Scheduler) addClaim(j *job, slot int32, n int64) {
	h := j.hold
	if h == nil {
		h = &hold{job: j}
		j.hold = h
		s.stale(j.group)
		s.holds = append(s.holds, h)
	}
	for i := range h.claims {
		if h.claims[i].slot == slot {
			h.claims[i].tasks += n
			h.known = false
			return
		}
	}
	h.known = false
	h.claims = append(h.claims, claim{slot, n})
	s.workers[slot].hold = h
	s.index(slot)
}

// staleHolds has the starts of holds for jobs of g worked out anew.
func (s *Scheduler) staleHolds(g *group) {
	for _, h := range s.holds {
		if h.job.group == g {
			h.known = false
		}
	}
}

// useClaim counts a placement against the hold of its job.
func (s *Scheduler) useClaim(j *job, slot int32) {
	h := j.hold
	if h == nil || s.workers[slot].hold != h {
		return
	}
	i := slices.IndexFunc(h.claims, func(c claim) bool { return c.slot == slot })
	h.claims[i].tasks--
	h.known = false
	if h.claims[i].tasks > 0 {
		return
	}
	h.claims = slices.Delete(h.claims, i, i+1)
	s.workers[slot].hold = nil
	s.index(slot)
	if len(h.claims) == 0 {
		s.dropHold(h)
	}
}

// findHeld returns the tightest worker held for j that has room, or noSlot.
func (p *planner) findHeld(j *job, size model.Resources) int32 {
	best := noSlot
	if j.hold == nil {
		return best
	}
	for _, c := range j.hold.claims {
		if p.usable(j, c.slot, size) && (best == noSlot || p.compareTight(c.slot, best) < 0) {
			best = c.slot
		}
	}
	return best
}

// reserveAhead holds workers for j, which found no room and has waited long.
func (p *planner) reserveAhead(j *job, size model.Resources) {
	s := p.s
	if j.hold != nil || !s.mayReserve() || p.now < j.group.holdAfter {
		return
	}
	need := p.claimTasks(j)
	claims := p.pickClaims(j, size, need)
	if claims == nil {
		j.group.holdAfter = p.now + holdRetryMillis
		return
	}
	for _, c := range claims {
		s.addClaim(j, c.slot, c.tasks)
	}
	j.hold.ahead = true
}

// claimTasks returns how many tasks of j are held for at once.
func (p *planner) claimTasks(j *job) int64 {
	if j.group.policy == gang {
		return int64(j.ready)
	}
	return int64(min(j.ready, maxClaimTasks))
}

// pickClaims chooses workers that could hold need tasks of j once their batch
// work has ended: the emptiest ones of one failure domain if that is enough,
// else of all. It returns nil when they are not enough.
func (p *planner) pickClaims(j *job, size model.Resources, need int64) []claim {
	bins, exact := p.s.binsFor(nil, j.group.selector)
	accept := p.accept(j, exact)
	found := p.emptiest(bins, int(need)+holdScanSpare, accept)
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
		n := copies(size, p.s.lasting(slot))
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
func (s *Scheduler) lasting(slot int32) model.Resources {
	w := &s.workers[slot]
	free := w.capacity
	for _, r := range w.tasks {
		if r.job.group.policy == service {
			free = free.Sub(r.job.tasks[r.index].size)
		}
	}
	return free
}
