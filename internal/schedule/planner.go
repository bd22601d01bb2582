package schedule

import (
	"github.com/filbertmast/filbertmast/internal/model"
)

// planner makes one plan. It applies each placement to the Scheduler and undoes
// all of them at the end.
type planner struct {
	s      *Scheduler
	now    model.Time
	max    int
	plan   Plan
	spread *spread
	bins   []int32   // scratch space
	placed []taskRef // tasks placed by the plan
	full   bool      // the next gang would exceed max

	preempted        map[taskRef]bool // tasks that the plan stops
	preemptedRunning map[*job]int32   // number of running tasks that the plan stops, by job
	immovable        map[*job]bool    // jobs of which the plan moves no further task out of an evacuated domain
	skippedHeads     []*group         // groups whose head was skipped
	searches         int
	backfill         backfill
	lending          lending
	inTime           *model.Resources // see neededInTime
	wake             model.Time       // when to plan again without a new event
}

// Plan returns the actions to take at now, with at most max placements, except
// that a gang of more than max tasks is placed alone. It assigns no task and frees
// no resources.
func (s *Scheduler) Plan(now model.Time, max int) Plan {
	s.endBackoffs(now)
	s.shiftLate(now)
	s.passProbes(now)
	s.evaluateGroups()
	s.dropInvalidReservations(now)
	s.revalidateFitBounds()
	p := planner{s: s, now: now, max: max, spread: &s.spread}
	p.begin()
	p.report()
	p.drain()
	p.applyBookings()
	p.place()
	p.rollBack()
	p.endLending()
	p.scheduleWakes()
	p.plan.NextWake = p.nextWake()
	return p.plan
}

// wakeAt requests a plan at the given time, or as soon as possible after it.
func (p *planner) wakeAt(at model.Time) { p.wake = earlier(p.wake, max(at, p.now+1)) }

// nextWake returns when to plan again without a new event; zero for never.
func (p *planner) nextWake() model.Time {
	next := earlier(p.wake, p.s.timers.next())
	next = earlier(next, p.s.nextProbeTime(p.now))
	next = earlier(next, p.s.nextShareTime(p.now))
	if d := p.s.deadlines; len(d) > 0 {
		next = earlier(next, max(d[0].promisedStart, p.now)+1)
	}
	return next
}

// place places tasks one by one, or one gang at a time, always of the team that
// comes first.
func (p *planner) place() {
	for len(p.plan.Placements) < p.max && !p.full {
		g := p.nextGroup()
		if g == nil {
			return
		}
		p.try(g)
	}
}

// try places the next task of the head of g, or the whole gang. If it does not
// fit, the group is excluded from the rest of the plan, unless another job of it may.
func (p *planner) try(g *group) {
	j := g.head()
	size := p.s.sizeFor(g)
	if !p.mayPlace(j) {
		p.recordWaiting(j, size)
	}
	if !p.mayPlace(j) && (g.policy != gang || !j.permits.known()) {
		p.skipHead(g)
		return
	}
	if !p.withinLimits(g, j, size) {
		return
	}
	if !p.mayPlace(j) {
		if !p.book(j, size) {
			p.reserveWithoutPermit(j, size)
			p.skipHead(g)
		}
		return
	}
	if p.mustWait(j, size) {
		p.skipHead(g)
		return
	}
	placed := false
	if g.policy == gang {
		placed = p.placeGang(j, size)
	} else {
		placed = p.placeOne(j, size)
	}
	if placed || p.full || p.book(j, size) {
		return
	}
	p.handleUnplaced(j, size)
	if j.reservation != nil && !j.reservation.advance || !j.fitsAsGroup() || p.mayLend(g, size) {
		p.skipHead(g)
		return
	}
	p.skipGroup(g)
}

// skipHead moves on to the job after the head of g, which waits for a permit or
// for preempted tasks to end.
func (p *planner) skipHead(g *group) {
	g.cursorPlan = p.s.planSeq
	g.cursor++
	p.s.markStale(g)
	p.skippedHeads = append(p.skippedHeads, g)
}

// handleUnplaced gets capacity for a job that has waited long: by preempting
// tasks, or else by reserving workers until their tasks have ended.
func (p *planner) handleUnplaced(j *job, size model.Resources) {
	if !p.pressing(j) || !p.s.opts.KeepRunning && p.preemptFor(j, size) {
		return
	}
	p.reserveWorkers(j, size)
	if j.reservation != nil && j.group.policy == gang && !p.s.opts.KeepRunning {
		p.preemptOnReserved(j, size)
	}
}

// reserveWithoutPermit reserves workers for a gang that has waited long and whose
// permits have all expired, so that they can be renewed for these workers.
func (p *planner) reserveWithoutPermit(j *job, size model.Resources) {
	if p.pressing(j) {
		p.reserveWorkers(j, size)
	}
}

// withinLimits reports whether the limits of the team allow the head of g to
// start. If not, it excludes the group, or the whole team, from the rest of the
// plan.
func (p *planner) withinLimits(g *group, j *job, size model.Resources) bool {
	t := p.s.teams[g.team]
	n := j.tasksAtOnce()
	if t.allows(n, size) {
		return true
	}
	held := p.holdsLimit(t, j, size)
	t.blocked = held || n == 1 && t.headroom() < 1
	p.skipGroup(g)
	return false
}

// pressing reports whether j has waited so long that it may keep others from starting:
// by reserving workers, and in turns by the limits of its team.
func (p *planner) pressing(j *job) bool { return p.now >= p.pressingFrom(j) }

// pressingFrom returns the time before startBy at which half of the patience of j,
// or PressingSlack if that is longer, is left.
func (p *planner) pressingFrom(j *job) model.Time {
	return j.startBy - max(j.patience()/2, model.Time(p.s.opts.PressingSlack.Milliseconds()))
}

func (p *planner) placeOne(j *job, size model.Resources) bool {
	index := j.nextReady(j.next)
	slot := noSlot
	if j.suspects[index].suspicion != NotSuspected {
		slot = p.findSuspectPlace(j, size)
	} else {
		slot = p.findProbe(j, index, size)
	}
	if slot == noSlot {
		slot = p.findAvailable(j, size)
	}
	if slot == noSlot {
		slot = p.findReserved(j, size)
	}
	if slot == noSlot {
		slot = p.findBackfill(j, size)
	}
	if slot == noSlot {
		slot = p.findBorrowed(j, size)
	}
	if slot == noSlot {
		slot = p.findLastResort(j, index, size)
	}
	if slot == noSlot {
		return false
	}
	p.addPlacement(j, index, slot, size)
	return true
}

// findAvailable searches the workers that are neither reserved nor the last choice.
func (p *planner) findAvailable(j *job, size model.Resources) int32 {
	if j.group.policy == service {
		return p.findSpread(j, size)
	}
	return p.findBest(j, size)
}

// addPlacement applies one placement to the Scheduler and adds it to the plan.
func (p *planner) addPlacement(j *job, index, slot int32, size model.Resources) {
	p.assign(j, index, slot, size)
	p.plan.Placements = append(p.plan.Placements, Placement{
		Task:   model.TaskID{Job: j.id, Index: index},
		Worker: p.s.workers[slot].id,
		Size:   size,
	})
}

// assign assigns a task within the plan.
func (p *planner) assign(j *job, index, slot int32, size model.Resources) {
	p.s.assign(j, index, slot, size, p.now)
	j.tasks[index].state = taskTentative
	p.spread.placed(p.s, j, slot)
	p.placed = append(p.placed, taskRef{j, index})
}

// rollBack undoes what assign applied.
func (p *planner) rollBack() {
	p.s.rollingBack = true
	for i := len(p.placed) - 1; i >= 0; i-- {
		p.s.fitBounds.rolledBack = append(p.s.fitBounds.rolledBack, p.placed[i].task().worker)
		p.s.release(p.placed[i].job, p.placed[i].index)
	}
	p.s.rollingBack = false
	for _, g := range p.skippedHeads {
		p.s.markStale(g)
	}
	p.spread.clear()
}
