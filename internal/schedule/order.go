package schedule

import "github.com/filbertmast/filbertmast/internal/model"

// begin makes the teams ready for a plan.
func (p *planner) begin() {
	p.s.plans++
	for _, t := range p.s.teams {
		t.blocked = false
		t.planned = model.Resources{}
		t.ranked = false
	}
	p.s.judgeGroups()
	p.beginBackfill()
	p.probesDue = p.s.probeDue(p.now)
}

// nextGroup returns the group whose head comes first: that of the team with the
// least precedence key, and in the team the one that promised the earliest start.
func (p *planner) nextGroup() *group {
	var best *team
	for _, t := range p.s.teams {
		if len(t.line.entries) == 0 || t.blocked {
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
	return best.line.entries[best.first].group
}

// before orders teams by precedence.
func (t *team) before(o *team) bool {
	if t.key != o.key {
		return t.key < o.key
	}
	return t.line.entries[t.first].less(&o.line.entries[o.first])
}

// rank finds the group of t whose head comes first and the precedence of t.
func (p *planner) rank(t *team) {
	p.s.renewLine(t)
	t.ranked = true
	t.first = -1
	var first *entry
	for i := range t.line.entries {
		e := &t.line.entries[i]
		if e.stale {
			p.renew(e)
		}
		if e.misfit || e.leftOut == p.s.plans || first != nil && !e.less(first) {
			continue
		}
		if p.idle(t, e) {
			e.leftOut = p.s.plans
			continue
		}
		t.first, first = int32(i), e
	}
	if first != nil {
		t.key = p.key(t, first.startBy)
	}
}

// leaveOut takes g out of the rest of the plan.
func (p *planner) leaveOut(g *group) {
	p.s.teams[g.team].line.entries[g.slot].leftOut = p.s.plans
}

// key is the precedence of a team whose head is promised by startBy: its load relative to its
// share, less what the lateness is worth. Lateness grows without bound and
// load does not, so that each job comes first in the end.
func (p *planner) key(t *team, startBy model.Time) int64 {
	load := p.s.load(t, model.Resources{})
	late := p.now - startBy + model.Time(p.s.opts.PressingSlack.Milliseconds())
	if late <= 0 {
		return load
	}
	return load - mulDiv(int64(late), ppm, p.s.opts.AgeingSpan.Milliseconds())
}

// idle reports whether to try the group of e would do nothing but leave it out
// of the plan: the last search has shown that there is no room, and it is not
// yet time, or not possible now, to make some. What it goes by does not change
// back while the plan is made, so that the group may be left out before its turn.
func (p *planner) idle(t *team, e *entry) bool {
	n := int64(e.tasks)
	if e.room.atMost >= n || e.held || t.room() < n {
		return false
	}
	g := e.group
	if p.probesDue && e.mayProbe || p.mayBackfill(g, g.sized) {
		return false
	}
	if p.now < e.pressing {
		return true
	}
	if g.gang > 0 || !t.maxResources.IsZero() {
		return false
	}
	maySearch := p.now >= g.searchAfter && p.searches < maxSearches
	mayHold := p.now >= g.holdAfter && p.s.mayReserve()
	return !maySearch && !mayHold
}

// wakeGroups asks for a plan when a waiting job may reserve or preempt.
func (p *planner) wakeGroups() {
	if p.searches >= maxSearches || p.full || len(p.plan.Placements) >= p.max {
		p.wakeAt(p.now)
		return
	}
	for _, h := range p.s.holds {
		if h.after > p.now {
			p.wakeAt(h.after)
		}
	}
	for _, t := range p.s.teams {
		for i := range t.line.entries {
			p.wakeFor(t.line.entries[i].group)
		}
	}
}

func (p *planner) wakeFor(g *group) {
	g.cursor = 0
	j := g.head()
	if j == nil || g.misfit.Err != nil {
		return
	}
	for _, at := range [...]model.Time{p.pressingFrom(j), g.searchAfter, g.holdAfter} {
		if at > p.now {
			p.wakeAt(at)
		}
	}
}
