package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// What is kept from other jobs, by the reference planner: turns at the limit of a team, and
// reserved workers that are lent.

// holds reports whether j, which the limits of its team hold up, keeps later jobs of the
// team from starting.
func (n *naive) holds(j *job, size model.Resources, count int64) bool {
	t := n.s.teams[j.group.team]
	use, running := n.servicesOf(j.group.team)
	if n.now < j.startBy-max(j.patience()/2, model.Time(n.s.opts.PressingSlack.Milliseconds())) {
		return false
	}
	if running+count > t.maxRunning || !within(use.Add(size.Mul(count)), t.maxResources) {
		return false
	}
	if n.now >= t.hold.until && n.now < t.hold.resume {
		return false
	}
	if n.now >= t.hold.resume {
		length := n.s.opts.LimitHold
		for range min(j.limitTurns, maxDoublings) {
			length *= 2
		}
		j.limitTurns++
		t.hold = limitHold{job: j, from: n.now, until: n.now.Add(length), resume: n.now.Add(2 * length)}
		if n.limitsAllowAt(j, size, count) > t.hold.until {
			t.hold.until = n.now
		}
	}
	if n.now >= t.hold.until {
		return false
	}
	h := &t.hold
	if h.job != j && (n.ready(h.job) == 0 || h.job.group.policy == gang && (h.job.waiting > 0 || h.job.assigned > 0)) {
		h.until, h.resume = n.now, 2*n.now-h.from
		return false
	}
	if !n.keepsIdleJob(j.group.team) {
		h.idleSince = 0
	} else if h.idleSince == 0 {
		h.idleSince = n.now
	}
	if due := h.idleSince.Add(n.s.opts.MaxIdleWait); h.idleSince != 0 && n.now < due {
		n.wakeAt(due)
	} else if h.idleSince != 0 {
		h.job.limitTurns = max(h.job.limitTurns, 1) - 1
		h.until, h.resume = n.now, 2*n.now-h.from
		return false
	}
	n.wakeAt(h.until)
	return true
}

// keepsIdleJob reports whether another job of a team than the one that has the turn could
// run within the limits, and nothing of it runs, while most of the limits is unused.
func (n *naive) keepsIdleJob(team int32) bool {
	t := n.s.teams[team]
	use, running := n.use(team)
	if 2*running >= t.maxRunning || !withinHalf(use, t.maxResources) {
		return false
	}
	return slices.ContainsFunc(n.jobs(), func(j *job) bool {
		count := int64(1)
		if j.group.policy == gang {
			count = n.ready(j)
		}
		if j == t.hold.job || j.group.team != team || n.ready(j) == 0 || j.assigned > 0 || j.group.policy == gang && j.waiting > 0 {
			return false
		}
		return j.group.fitFailure.Err == nil && running+t.requestPermits+count <= t.maxRunning && within(use.Add(n.size(j.group).Mul(count)), t.maxResources)
	})
}

// limitsAllowAt returns when the limits are expected to allow count tasks of j.
func (n *naive) limitsAllowAt(j *job, size model.Resources, count int64) model.Time {
	t := n.s.teams[j.group.team]
	use, running := n.use(j.group.team)
	var ends []expectedEnd
	for _, o := range n.jobs() {
		for i := range o.tasks {
			if k := &o.tasks[i]; k.state.assigned() && o.group.team == j.group.team && !n.lasts(o) {
				at := n.now
				if run, ok := n.s.learned.Class(o.group.class).RunTime(); ok && k.since.Add(n.runOn(run, k.worker)) >= n.now {
					at = k.since.Add(n.runOn(run, k.worker))
				}
				ends = append(ends, expectedEnd{at, k.size})
			}
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	for _, e := range ends {
		running--
		use = use.Sub(e.size)
		if running+t.requestPermits+count <= t.maxRunning && within(use.Add(size.Mul(count)), t.maxResources) {
			return e.at
		}
	}
	return maxTime
}

// recordUse records what is free and reserved when the plan begins.
func (n *naive) recordUse() {
	n.isolatedBefore = len(n.s.isolated) > 0
	for i := range n.s.workers {
		n.freeBefore = append(n.freeBefore, n.free(int32(i)))
		if r := n.s.workers[i].reservation; r != nil && r.advance {
			n.reservedBefore = append(n.reservedBefore, int32(i))
		}
	}
}

// mayLendTo reports whether jobs of the group of j may be lent reserved workers.
func (n *naive) mayLendTo(j *job, size model.Resources) bool {
	var most model.Resources
	for _, slot := range n.reservedBefore {
		most = most.Max(n.freeBefore[slot])
	}
	if len(n.reservedBefore) == 0 || !size.Fits(most) {
		return false
	}
	return n.lasts(j) || n.mostlyIdleBefore(j)
}

// mostlyIdleBefore reports whether less than half was in use on the workers that match j when
// the plan began.
func (n *naive) mostlyIdleBefore(j *job) bool {
	var used, total model.Resources
	for i := range n.s.workers {
		if w := &n.s.workers[i]; w.known && w.mode != model.WorkerLost && !w.evacuated && n.matches(j.group, w) {
			used, total = used.Add(w.capacity.Sub(n.freeBefore[i])), total.Add(w.capacity)
		}
	}
	return withinHalf(used, total)
}

func (n *naive) borrows(j *job, size model.Resources) bool {
	return (n.lasts(j) || n.countOn(j, func(*worker) bool { return true }) == 0) && n.mayLendTo(j, size)
}

// lentAll reports whether all reserved workers of the racks are reserved for j or lent to it.
func (n *naive) lentAll(j *job, racks []gangRack, on map[int32][]gangWorker) bool {
	lent := true
	for _, rack := range racks {
		for _, at := range on[rack.rack] {
			r := n.s.workers[at.slot].reservation
			lent = (r == nil || r.job == j || n.lends(r)) && lent
		}
	}
	return lent
}
