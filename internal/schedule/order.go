package schedule

import "github.com/filbertmast/filbertmast/internal/model"

// begin prepares the teams for a plan.
func (p *planner) begin() {
	p.s.planSeq++
	p.s.updatePastTerms()
	for _, t := range p.s.teams {
		t.blocked = false
		t.plannedStops = model.Resources{}
		t.ranked = false
	}
	p.beginBackfill()
	p.beginLending()
	if len(p.s.isolated) > 0 && p.lending.classes == nil {
		p.countUse()
	}
}

// nextGroup returns the group whose head comes first: that of the team with the
// least precedence key and, within the team, the one with the earliest startBy. It
// returns nil if none is left.
func (p *planner) nextGroup() *group {
	var best *team
	for _, t := range p.s.teams {
		if len(t.queue.entries) == 0 || t.blocked {
			continue
		}
		if !t.ranked {
			p.rank(t)
		}
		if t.first >= 0 && (best == nil || t.before(best)) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	best.ranked = false
	return best.queue.entries[best.first].group
}

// before orders teams by precedence.
func (t *team) before(o *team) bool {
	if t.key != o.key {
		return t.key < o.key
	}
	return t.queue.entries[t.first].less(&o.queue.entries[o.first])
}

// rank determines the group of t whose head comes first and the precedence key of
// the team.
func (p *planner) rank(t *team) {
	p.s.markQueueStale(t)
	t.ranked = true
	t.first = -1
	var first *queueEntry
	for i := range t.queue.entries {
		e := &t.queue.entries[i]
		if e.stale {
			p.refresh(e)
		}
		if e.neverFits || e.skippedPlan == p.s.planSeq || first != nil && !e.less(first) {
			continue
		}
		if p.wouldSkip(t, e) {
			e.skippedPlan = p.s.planSeq
			continue
		}
		t.first, first = int32(i), e
	}
	if first != nil {
		t.key = p.key(t, first.startBy)
	}
}

// skipGroup excludes g from the rest of the plan.
func (p *planner) skipGroup(g *group) {
	p.s.teams[g.team].queue.entries[g.slot].skippedPlan = p.s.planSeq
}

// key returns the precedence key of a team whose head is to start by startBy: its
// load relative to its share, plus a term for its past use, less a credit for lateness.
// Lateness grows without bound, and load and term do not, so that each job comes first in
// the end. The load of a team without a share is the largest number; the sum stays in range.
func (p *planner) key(t *team, startBy model.Time) int64 {
	load := min(p.s.load(t, model.Resources{}), maxInt64-t.pastTerm) + t.pastTerm
	late := p.now - startBy + model.Time(p.s.opts.PressingSlack.Milliseconds())
	if late <= 0 {
		return load
	}
	return load - mulDiv(int64(late), ppm, p.s.opts.AgeingSpan.Milliseconds())
}

// wouldSkip reports whether trying the group of e would only exclude it from the
// plan: the last search has shown that its head does not fit, and reserving or
// preempting is not yet due or not possible now. The conditions do not revert
// within a plan, so the group may be skipped before its turn. Jobs with permits of
// their own are tried one by one, since a later one may reserve where the head does not.
func (p *planner) wouldSkip(t *team, e *queueEntry) bool {
	n := int64(e.tasks)
	if e.fit.maxTasks >= n || e.reserved || t.headroom() < n || !e.asGroup {
		return false
	}
	g := e.group
	if p.mayBackfill(g, g.taskSize) || p.mayLend(g, g.taskSize) || e.fit.maxTasks+p.lastResortRoom(g, g.taskSize) >= n {
		return false
	}
	if p.now < e.pressing {
		return true
	}
	if g.gang > 0 || !t.maxResources.IsZero() {
		return false
	}
	maySearch := p.now >= g.searchAfter && p.searches < maxSearches
	mayReserve := p.now >= g.reserveAfter && p.s.mayReserve()
	return !maySearch && !mayReserve
}

// scheduleWakes requests a plan for when a waiting job may reserve or preempt.
func (p *planner) scheduleWakes() {
	if p.searches >= maxSearches || p.full || len(p.plan.Placements) >= p.max {
		p.wakeAt(p.now)
		return
	}
	p.wakeAfterPauses()
	for _, r := range p.s.reservations {
		if r.preemptAfter > p.now {
			p.wakeAt(r.preemptAfter)
		}
		if r.job.permits != nil {
			p.wakeWhenPermitsLapse(r)
		}
	}
	for _, t := range p.s.teams {
		for i := range t.queue.entries {
			p.wakeForGroup(t.queue.entries[i].group)
		}
	}
}

// wakeWhenPermitsLapse requests a plan for when a reservation ends since a permit was not
// renewed.
func (p *planner) wakeWhenPermitsLapse(r *reservation) {
	for _, c := range r.claims {
		p.wakeAt(r.job.permits.renewableUntil(p.s.workers[c.slot].id))
	}
}

func (p *planner) wakeForGroup(g *group) {
	g.cursor = 0
	j := g.head()
	if j == nil || g.fitFailure.Err != nil {
		return
	}
	for _, at := range [...]model.Time{p.pressingFrom(j), g.searchAfter, g.reserveAfter} {
		if at > p.now {
			p.wakeAt(at)
		}
	}
}
