package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Limits of the searches for tasks to preempt.
const (
	maxVictimsSeen     = 4096 // assigned tasks examined per search
	maxWorkersCompared = 64
	maxSearches        = 8 // searches per plan
	searchRetryMillis  = 250
)

// sameTeamPatienceFactor is how many times as patient a job must be to be
// preempted for a job of its own team.
const sameTeamPatienceFactor = 2

// compareVictims orders jobs by which is preempted first: services last, then jobs
// with checkpoints first, then the most patient, then the most recent.
func compareVictims(a, b *job) int {
	return cmp.Or(
		compareBool(a.group.lasts(), b.group.lasts()),
		compareBool(b.group.checkpoint, a.group.checkpoint),
		cmp.Compare(b.patience(), a.patience()),
		cmp.Compare(b.id, a.id),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

const victimTreeDegree = 16

func newVictims() *btree.BTreeG[*job] {
	return btree.NewG(victimTreeDegree, func(a, b *job) bool { return compareVictims(a, b) < 0 })
}

// entitled reports whether the team of j stays within its share with size more,
// counting also what its reservations claim.
func (p *planner) entitled(j *job, size model.Resources) bool {
	t := p.s.teams[j.group.team]
	more := size
	for _, r := range p.s.reservations {
		if r.job.group.team == j.group.team {
			taskSize := p.s.sizeFor(r.job.group)
			for _, c := range r.claims {
				more = more.Add(taskSize.Mul(c.tasks))
			}
		}
	}
	return p.s.load(t, more) <= ppm
}

// overShare reports whether a team uses more than its share, not counting tasks
// that are stopping or preempted by this plan.
func (p *planner) overShare(t *team) bool {
	released := t.stopping.Add(t.plannedStops)
	return p.s.load(t, model.Resources{}.Sub(released)) > ppm
}

// victimSearch is one search for tasks to preempt for j.
type victimSearch struct {
	p        *planner
	j        *job
	size     model.Resources
	entitled bool // j may preempt tasks of teams that are over their share
}

// mayPreempt reports whether the tasks of v may be preempted for j.
func (q *victimSearch) mayPreempt(v *job) bool {
	if v == q.j || !v.group.repeatable {
		return false
	}
	if v.group.team == q.j.group.team {
		return v.patience() > sameTeamPatienceFactor*q.j.patience()
	}
	return q.entitled && q.p.overShare(q.p.s.teams[v.group.team])
}

// preemptFor preempts tasks for the ready tasks of j and reserves the workers for
// them. It reports whether capacity is being freed.
func (p *planner) preemptFor(j *job, size model.Resources) bool {
	if j.reservation != nil {
		p.retryPreemption(j, size)
		return true
	}
	if p.now < j.group.searchAfter || p.searches >= maxSearches || j.group.policy == gang {
		return false
	}
	p.searches++
	for range p.tasksToReserve(j) {
		if j.reservation == nil && !p.s.mayAddPreemptor() || !p.preemptForOne(j, size) {
			break
		}
	}
	if j.reservation == nil {
		j.group.searchAfter = p.now + searchRetryMillis
	}
	return j.reservation != nil
}

// retryPreemption preempts tasks for a reservation that has waited for some time.
func (p *planner) retryPreemption(j *job, size model.Resources) {
	if p.now < j.reservation.preemptAfter || p.searches >= maxSearches {
		return
	}
	p.searches++
	p.preemptOnReserved(j, size)
}

// preemptOnReserved preempts tasks on the workers reserved for j, if that makes
// room on all of them.
func (p *planner) preemptOnReserved(j *job, size model.Resources) {
	j.reservation.preemptAfter = p.now + searchRetryMillis
	q := victimSearch{p, j, size, p.entitledWithReservations(j)}
	var all []taskRef
	for _, c := range j.reservation.claims {
		victims, ok := q.victimsOn(c.slot, size.Mul(c.tasks))
		if !ok {
			return
		}
		all = append(all, victims...)
	}
	q.preempt(all)
}

// entitledWithReservations reports whether the team of j stays within its share
// with all that its reservations claim.
func (p *planner) entitledWithReservations(j *job) bool { return p.entitled(j, model.Resources{}) }

// preemptForOne finds the worker where capacity for one task of j costs least,
// reserves it and preempts tasks there. It reports whether there is one.
func (p *planner) preemptForOne(j *job, size model.Resources) bool {
	q := victimSearch{p, j, size, p.entitled(j, size)}
	best := candidate{slot: noSlot}
	for _, slot := range q.candidateWorkers() {
		need := size.Mul(j.reservation.claimed(slot) + 1)
		victims, ok := q.victimsOn(slot, need)
		if !ok {
			continue
		}
		if o := q.cost(slot, victims); best.slot == noSlot || o.less(&best) {
			best = o
		}
	}
	if best.slot == noSlot {
		return false
	}
	p.s.addClaim(j, best.slot, 1)
	j.reservation.preemptAfter = p.now + searchRetryMillis
	q.preempt(best.victims)
	return true
}

func (q *victimSearch) preempt(victims []taskRef) {
	for _, r := range victims {
		if q.p.stopping(r) {
			continue
		}
		reason := ReasonReclaim
		if r.job.group.team == q.j.group.team {
			reason = ReasonUrgent
		}
		q.p.preempt(r, q.j.id, reason)
	}
}

// candidateWorkers returns workers on which tasks may be preempted for j, those of
// the first victims first.
func (q *victimSearch) candidateWorkers() []int32 {
	seen := 0
	found := map[int32]bool{}
	var out []int32
	q.eachVictim(func(v *job) bool {
		for i := range v.tasks {
			t := &v.tasks[i]
			if !t.state.stoppable() {
				continue
			}
			seen++
			if !found[t.worker] && q.eligible(t.worker) {
				found[t.worker] = true
				out = append(out, t.worker)
			}
			if seen >= maxVictimsSeen || len(out) >= maxWorkersCompared {
				return false
			}
		}
		return true
	})
	return out
}

// eachVictim visits the jobs that may be preempted, in order, until visit returns
// false. It merges the ordered jobs of the teams.
func (q *victimSearch) eachVictim(visit func(*job) bool) {
	var heads []*job
	for _, t := range q.p.s.teams {
		if first, ok := t.victims.Min(); ok && q.mayPreemptTeam(t) {
			heads = append(heads, first)
		}
	}
	for len(heads) > 0 {
		i := 0
		for k := range heads {
			if compareVictims(heads[k], heads[i]) < 0 {
				i = k
			}
		}
		v := heads[i]
		if q.mayPreempt(v) && !visit(v) {
			return
		}
		if next := nextVictim(q.p.s.teams[v.group.team].victims, v); next != nil {
			heads[i] = next
		} else {
			heads = slices.Delete(heads, i, i+1)
		}
	}
}

func (q *victimSearch) mayPreemptTeam(t *team) bool {
	return t == q.p.s.teams[q.j.group.team] || q.entitled && q.p.overShare(t)
}

// nextVictim returns the job after v, or nil.
func nextVictim(victims *btree.BTreeG[*job], v *job) *job {
	var next *job
	victims.AscendGreaterOrEqual(v, func(o *job) bool {
		if o == v {
			return true
		}
		next = o
		return false
	})
	return next
}

// eligible reports whether free capacity on a worker would be of use to j.
func (q *victimSearch) eligible(slot int32) bool {
	w := &q.p.s.workers[slot]
	if !w.open() || w.onProbation() || !q.size.Fits(w.capacity) {
		return false
	}
	if !q.p.s.matches(q.j.group.selector, w.class) || !q.p.permitted(q.j, slot) {
		return false
	}
	if w.reservation != nil && (w.reservation != q.j.reservation || q.j.group.perWorker > 0) {
		return false
	}
	if q.j.group.perWorker == 0 {
		return true
	}
	q.p.spread.load(q.p.s, q.j)
	return q.p.spread.onWorker[slot] < q.j.group.perWorker
}

// victimsOn returns the tasks to preempt on a worker so that need fits, given the
// tasks that are stopping or ending already. It returns false if preempting all that may be
// preempted is not enough.
func (q *victimSearch) victimsOn(slot int32, need model.Resources) ([]taskRef, bool) {
	w := &q.p.s.workers[slot]
	free := w.free.Add(w.ending)
	var preemptible []taskRef
	for _, r := range w.tasks {
		switch {
		case q.p.stopping(r):
			free = free.Add(r.job.tasks[r.index].size)
		case r.job.tasks[r.index].state.stoppable() && q.mayPreempt(r.job):
			preemptible = append(preemptible, r)
		}
	}
	slices.SortFunc(preemptible, func(a, b taskRef) int {
		return cmp.Or(compareVictims(a.job, b.job), cmp.Compare(a.index, b.index))
	})
	n := 0
	for ; n < len(preemptible) && !need.Fits(free); n++ {
		free = free.Add(preemptible[n].job.tasks[preemptible[n].index].size)
	}
	if !need.Fits(free) {
		return nil, false
	}
	return dropUnneeded(preemptible[:n], free, need), true
}

// dropUnneeded removes tasks, from the last to the first, that need not be
// preempted for need to fit.
func dropUnneeded(victims []taskRef, free, need model.Resources) []taskRef {
	for i := len(victims) - 1; i >= 0; i-- {
		without := free.Sub(victims[i].job.tasks[victims[i].index].size)
		if need.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// candidate is a worker with the tasks to preempt there.
type candidate struct {
	slot        int32
	victims     []taskRef
	services    int
	lostRunTime time.Duration // run time lost for want of a checkpoint, summed over all tasks
	tasks       int
	tie         uint64
}

func (q *victimSearch) cost(slot int32, victims []taskRef) candidate {
	o := candidate{slot: slot, victims: victims, tie: q.p.s.workers[slot].tie}
	for _, r := range victims {
		members := 1
		if r.job.group.policy == gang {
			members = int(r.job.assigned)
		}
		if r.job.group.lasts() {
			o.services++
		}
		o.tasks += members
		o.lostRunTime += q.p.lostRunTime(r) * time.Duration(members)
	}
	return o
}

func (o *candidate) less(b *candidate) bool {
	return cmp.Or(
		cmp.Compare(o.services, b.services),
		cmp.Compare(o.lostRunTime, b.lostRunTime),
		cmp.Compare(o.tasks, b.tasks),
		cmp.Compare(o.tie, b.tie),
	) < 0
}
