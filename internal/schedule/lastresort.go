package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// A worker that is kept for a suspect or on probation is the last choice: work that fits on
// other workers goes there, and work that fits on no other does not wait beside idle room.

// mayShare reports whether tasks of g that fit nowhere else may be placed beside the suspect that
// w is kept for: while most of the room is in use, once every suspect on w has run past its start,
// else also if the suspect need not be alone. Tasks that last, each of which is missing until it
// runs, are placed as if most of the room was free.
func (p *planner) mayShare(g *group, w *worker) bool {
	if !w.open() || w.reservation != nil || w.onProbation() {
		return false
	}
	if !g.lasts() && (p.lending.classes == nil || !p.mostlyIdle(g.selector)) {
		return p.suspectsStarted(w)
	}
	r := w.isolatedFor
	v, t := r.job.suspects[r.index], r.task()
	return !w.keptAlone || v.suspicion < KeepAlone || p.now >= v.aloneUntil || t.state == taskRunning && p.now.Sub(t.since) >= model.StartSpan
}

// mayProbe reports whether w, on probation, may be given another task: the last one has ended
// or has run for probeSettled.
func (w *worker) mayProbe(now model.Time) bool {
	if !w.open() || w.reservation != nil || w.isolatedFor.job != nil {
		return false
	}
	r := w.health.probe
	return r.job == nil || r.task().state == taskRunning && now.Sub(r.task().since) >= probeSettled
}

// findLastResort returns a worker for a task of j that fits on no available one, or noSlot: one
// that may be shared with a suspect, best after its start, or else one on probation.
func (p *planner) findLastResort(j *job, index int32, size model.Resources) int32 {
	slot := p.findShared(j, size, p.quieter)
	if slot == noSlot {
		slot = p.findTry(j, index, size)
	}
	return slot
}

// findTry returns a worker on probation for a task of j that fits on no other one, or noSlot. A
// task that may not fail once more waits for other work to show whether the worker is sound.
func (p *planner) findTry(j *job, index int32, size model.Resources) int32 {
	if len(p.s.probation) == 0 {
		return noSlot
	}
	wait := p.tryWait(j, index)
	return p.bestProbe(j, size, func(h *health) model.Time { return h.nextTry.Add(wait) })
}

// findShared returns the first worker by the given order that may be shared with a suspect and
// on which a task of j fits, or noSlot.
func (p *planner) findShared(j *job, size model.Resources, less func(a, b int32) bool) int32 {
	best := noSlot
	for _, slot := range p.s.isolated {
		if p.mayShare(j.group, &p.s.workers[slot]) && p.usable(j, slot, size) && (best == noSlot || less(slot, best)) {
			best = slot
		}
	}
	return best
}

// tryWait returns how long a task of j waits for other work to be tried first.
func (p *planner) tryWait(j *job, index int32) time.Duration {
	switch {
	case !j.group.repeatable:
		return 2 * p.s.opts.ProbeWait
	case !j.mayFail(index):
		return p.s.opts.ProbeWait
	}
	return 0
}

// mayHoldGang reports whether the members of a gang may be placed on a worker on probation.
// They wait a little for other work, since one failure ends the run of the whole gang.
func (p *planner) mayHoldGang(w *worker) bool {
	return p.now >= w.health.nextTry.Add(p.s.opts.ProbeWait) && w.mayProbe(p.now)
}

// keptFromGang reports whether a worker is kept for a suspect or on probation, and no gang may
// be placed there now.
func (p *planner) keptFromGang(g *group, w *worker) bool {
	switch {
	case w.onProbation():
		return !p.mayHoldGang(w)
	case w.isolatedFor.job != nil:
		return !p.mayShare(g, w)
	}
	return false
}

// lastResortRoom returns an upper bound on how many tasks of g fit on the workers that are kept
// for suspects or on probation and may be given tasks now.
func (p *planner) lastResortRoom(g *group, size model.Resources) (n int64) {
	room := func(w *worker) int64 {
		if !p.s.matches(g.selector, w.class) {
			return 0
		}
		return copies(size, w.free)
	}
	for _, slot := range p.s.isolated {
		if w := &p.s.workers[slot]; p.mayShare(g, w) {
			n += room(w)
		}
	}
	for _, slot := range p.s.probation {
		if w := &p.s.workers[slot]; p.now >= w.health.nextTry && w.mayProbe(p.now) {
			n += room(w)
		}
	}
	return n
}

// findLastRacks chooses racks for the ready tasks of a gang, found of which fit on other workers
// at most: with workers that may be shared with suspects, or else with those on probation, too.
// It returns nil if the tasks do not fit. A gang may have several tasks on a worker on probation:
// their run is one probe.
func (p *planner) findLastRacks(j *job, size model.Resources, found int64, permitted permitCheck) []gangRack {
	if len(p.s.isolated)+len(p.s.probation) == 0 || found+p.lastResortRoom(j.group, size) < int64(j.ready) {
		return nil
	}
	claims := slices.Clone(j.claims())
	for _, kept := range [...][]int32{p.s.isolated, p.s.probation} {
		before := len(claims)
		for _, slot := range kept {
			if !p.keptFromGang(j.group, &p.s.workers[slot]) {
				claims = append(claims, claim{slot: slot})
			}
		}
		if len(claims) == before {
			continue
		}
		if chosen := p.findRacksAmong(j, size, claims, permitted, speed.Slow); chosen != nil {
			return chosen
		}
	}
	return nil
}

// lastResorts reports whether j needs workers that are the last choice: those kept for suspects
// if the others have too little free capacity now, and those on probation if they could not hold
// j if they were empty.
func (s *Scheduler) lastResorts(j *job, size model.Resources) (isolated, probation bool) {
	if len(s.isolated)+len(s.probation) == 0 {
		return false, false
	}
	room, roomWhenIdle := int64(0), int64(0)
	for slot := range s.workers {
		w := &s.workers[slot]
		if !w.open() || w.onProbation() || !size.Fits(w.capacity) || !s.matches(j.group.selector, w.class) {
			continue
		}
		roomWhenIdle += j.tasksThatFit(size, w.capacity)
		if free := s.freeFor(j, int32(slot)); w.available() && size.Fits(free) {
			room += j.tasksThatFit(size, free)
		}
	}
	need := j.tasksAtOnce()
	return room < need, roomWhenIdle < need
}

// lastChoice reports whether w is kept for a suspect or on probation.
func (w *worker) lastChoice() bool { return w.onProbation() || w.isolatedFor.job != nil }
