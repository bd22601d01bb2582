package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Bounds of one search for work to preempt.
const (
	maxVictimsSeen    = 4096 // running tasks looked at
	maxWorkersWeighed = 64
	maxSearches       = 8 // a plan
	searchRetryMillis = 250
)

// sameTeamPatience is how many times as patient work must be to make room for
// work of its own team.
const sameTeamPatience = 2

// compareVictims orders jobs by which is stopped first: services last, then
// those with checkpoints, then the most patient, then the youngest.
func compareVictims(a, b *job) int {
	return cmp.Or(
		compareBool(a.group.policy == service, b.group.policy == service),
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

// entitled reports whether the team of j stays within its share with more
// tasks of size, those that it holds workers for counted.
func (p *planner) entitled(j *job, size model.Resources) bool {
	t := p.s.teams[j.group.team]
	more := size
	for _, h := range p.s.holds {
		if h.job.group.team == j.group.team {
			held := p.s.sizeFor(h.job.group)
			for _, c := range h.claims {
				more = more.Add(held.Mul(c.tasks))
			}
		}
	}
	return p.s.load(t, more) <= ppm
}

// overShare reports whether a team holds more than its share, less what it is
// giving back already.
func (p *planner) overShare(t *team) bool {
	giving := t.stopping.Add(t.planned)
	return p.s.load(t, model.Resources{}.Sub(giving)) > ppm
}

// search is one search for work to preempt for j.
type search struct {
	p        *planner
	j        *job
	size     model.Resources
	entitled bool // j may take from teams over their share
}

// mayStop reports whether the tasks of v may make room for j.
func (q *search) mayStop(v *job) bool {
	if v == q.j || !v.group.repeatable {
		return false
	}
	if v.group.team == q.j.group.team {
		return v.patience() > sameTeamPatience*q.j.patience()
	}
	return q.entitled && q.p.overShare(q.p.s.teams[v.group.team])
}

// makeRoom preempts work for the tasks of j that found no room and holds the
// workers for them. It reports whether room is being made.
func (p *planner) makeRoom(j *job, size model.Resources) bool {
	if j.hold != nil {
		p.pursueLater(j, size)
		return true
	}
	if p.now < j.group.searchAfter || p.searches >= maxSearches || j.group.policy == gang {
		return false
	}
	p.searches++
	for range p.claimTasks(j) {
		if j.hold == nil && !p.s.mayClaim() || !p.claimOne(j, size) {
			break
		}
	}
	if j.hold == nil {
		j.group.searchAfter = p.now + searchRetryMillis
	}
	return j.hold != nil
}

// pursueLater preempts work for a hold that has waited for some time.
func (p *planner) pursueLater(j *job, size model.Resources) {
	if p.now < j.hold.after || p.searches >= maxSearches {
		return
	}
	p.searches++
	p.pursueClaims(j, size)
}

// pursueClaims preempts work on the workers held for j, if that makes all of
// them ready.
func (p *planner) pursueClaims(j *job, size model.Resources) {
	j.hold.after = p.now + searchRetryMillis
	q := search{p, j, size, p.entitledWithHolds(j)}
	var all []taskRef
	for _, c := range j.hold.claims {
		victims, ok := q.victimsOn(c.slot, size.Mul(c.tasks))
		if !ok {
			return
		}
		all = append(all, victims...)
	}
	q.stop(all)
}

// entitledWithHolds reports whether the team of j stays within its share with
// all that it holds workers for.
func (p *planner) entitledWithHolds(j *job) bool { return p.entitled(j, model.Resources{}) }

// claimOne finds the worker where room for one task of j costs least, and
// preempts that work.
func (p *planner) claimOne(j *job, size model.Resources) bool {
	q := search{p, j, size, p.entitled(j, size)}
	best := option{slot: noSlot}
	for _, slot := range q.candidates() {
		need := size.Mul(j.hold.claimed(slot) + 1)
		victims, ok := q.victimsOn(slot, need)
		if !ok {
			continue
		}
		if o := q.weigh(slot, victims); best.slot == noSlot || o.less(&best) {
			best = o
		}
	}
	if best.slot == noSlot {
		return false
	}
	p.s.addClaim(j, best.slot, 1)
	j.hold.after = p.now + searchRetryMillis
	q.stop(best.victims)
	return true
}

func (q *search) stop(victims []taskRef) {
	for _, r := range victims {
		if q.p.stopped(r) {
			continue
		}
		reason := ReasonReclaim
		if r.job.group.team == q.j.group.team {
			reason = ReasonUrgent
		}
		q.p.preempt(r, q.j.id, reason)
	}
}

// candidates returns workers on which work may be stopped for j, those of the
// first victims first.
func (q *search) candidates() []int32 {
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
			if seen >= maxVictimsSeen || len(out) >= maxWorkersWeighed {
				return false
			}
		}
		return true
	})
	return out
}

// eachVictim visits the jobs that may be stopped, in their order, until visit
// returns false. It merges the ordered jobs of the teams.
func (q *search) eachVictim(visit func(*job) bool) {
	var heads []*job
	for _, t := range q.p.s.teams {
		if first, ok := t.victims.Min(); ok && q.mayTakeFrom(t) {
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
		if q.mayStop(v) && !visit(v) {
			return
		}
		if next := nextVictim(q.p.s.teams[v.group.team].victims, v); next != nil {
			heads[i] = next
		} else {
			heads = slices.Delete(heads, i, i+1)
		}
	}
}

func (q *search) mayTakeFrom(t *team) bool {
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

// eligible reports whether room on a worker would serve j.
func (q *search) eligible(slot int32) bool {
	w := &q.p.s.workers[slot]
	if !w.open() || w.onProbation() || !q.size.Fits(w.capacity) {
		return false
	}
	if !q.p.s.matches(q.j.group.selector, w.class) || !q.p.permitted(q.j, slot) {
		return false
	}
	if w.hold != nil && (w.hold != q.j.hold || q.j.group.exclusive) {
		return false
	}
	if !q.j.group.exclusive {
		return true
	}
	q.p.spread.load(q.p.s, q.j)
	return !q.p.spread.onWorker[slot]
}

// victimsOn returns the tasks to stop on a worker so that need has room, given
// what is stopping there already; false when stopping all that may be is not enough.
func (q *search) victimsOn(slot int32, need model.Resources) ([]taskRef, bool) {
	w := &q.p.s.workers[slot]
	free := w.free
	var may []taskRef
	for _, r := range w.tasks {
		switch {
		case q.p.stopped(r):
			free = free.Add(r.job.tasks[r.index].size)
		case r.job.tasks[r.index].state.stoppable() && q.mayStop(r.job):
			may = append(may, r)
		}
	}
	slices.SortFunc(may, func(a, b taskRef) int {
		return cmp.Or(compareVictims(a.job, b.job), cmp.Compare(a.index, b.index))
	})
	n := 0
	for ; n < len(may) && !need.Fits(free); n++ {
		free = free.Add(may[n].job.tasks[may[n].index].size)
	}
	if !need.Fits(free) {
		return nil, false
	}
	return spare(may[:n], free, need), true
}

// spare drops the tasks, the last first, without which there is still room.
func spare(victims []taskRef, free, need model.Resources) []taskRef {
	for i := len(victims) - 1; i >= 0; i-- {
		without := free.Sub(victims[i].job.tasks[victims[i].index].size)
		if need.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// option is one worker with the tasks to stop there.
type option struct {
	slot     int32
	victims  []taskRef
	services int
	lost     time.Duration // run time without checkpoint, over all tasks
	tasks    int
	tie      uint64
}

func (q *search) weigh(slot int32, victims []taskRef) option {
	o := option{slot: slot, victims: victims, tie: q.p.s.workers[slot].tie}
	for _, r := range victims {
		members := 1
		if r.job.group.policy == gang {
			members = int(r.job.held)
		}
		if r.job.group.policy == service {
			o.services++
		}
		o.tasks += members
		o.lost += q.p.lost(r) * time.Duration(members)
	}
	return o
}

func (o *option) less(b *option) bool {
	return cmp.Or(
		cmp.Compare(o.services, b.services),
		cmp.Compare(o.lost, b.lost),
		cmp.Compare(o.tasks, b.tasks),
		cmp.Compare(o.tie, b.tie),
	) < 0
}
