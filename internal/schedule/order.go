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
	p.probesDue = p.s.probeDue(p.now)
}

// begin makes g ready for a plan. A group that can run nowhere is left out.
func (g *group) begin(plan uint64) {
	g.plan = plan
	g.trim()
	g.cursor = 0
	g.blocked = g.misfit.Err != nil
}

// nextGroup returns the group whose head comes first: that of the team with the
// least precedence key, and in the team the one that promised the earliest start.
func (p *planner) nextGroup() *group {
	var best *team
	for _, t := range p.s.teams {
		if len(t.groups) == 0 || t.blocked {
			continue
		}
		if !t.ranked {
			p.rank(t)
		}
		if t.first != nil && (best == nil || t.before(best)) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	best.ranked = false
	return best.first
}

// before orders teams by precedence.
func (t *team) before(o *team) bool {
	if t.key != o.key {
		return t.key < o.key
	}
	return t.first.head().less(o.first.head())
}

// rank finds the group of t whose head comes first and the precedence of t.
func (p *planner) rank(t *team) {
	t.ranked = true
	t.first = nil
	var head *job
	for _, g := range t.groups {
		if g.plan != p.s.plans {
			g.begin(p.s.plans)
		}
		if g.blocked {
			continue
		}
		j := g.head()
		if j == nil || head != nil && !j.less(head) {
			continue
		}
		if p.idle(t, g, j) {
			g.blocked = true
			continue
		}
		t.first, head = g, j
	}
	if head != nil {
		t.key = p.key(t, head)
	}
}

// key is the precedence of a team with j at its head: its load relative to its
// share, less what the lateness of j is worth. Lateness grows without bound and
// load does not, so that each job comes first in the end.
func (p *planner) key(t *team, j *job) int64 {
	load := p.s.load(t, model.Resources{})
	late := p.now - j.startBy + model.Time(p.s.opts.PressingSlack.Milliseconds())
	if late <= 0 {
		return load
	}
	return load - mulDiv(int64(late), ppm, p.s.opts.AgeingSpan.Milliseconds())
}

// idle reports whether to try g would do nothing but leave it out of the plan:
// the last search has shown that there is no room, and it is not yet time, or
// not possible now, to make some. What it goes by does not change back while
// the plan is made, so that g may be left out before its turn.
func (p *planner) idle(t *team, g *group, j *job) bool {
	size := p.s.sizeFor(g)
	n := int64(max(g.gang, 1))
	if g.room.atMost >= n || j.hold != nil || t.room() < n {
		return false
	}
	if p.probesDue && g.repeatable && j.maxRestarts > 0 || p.mayBackfill(g, size) {
		return false
	}
	if !p.pressing(j) {
		return true
	}
	if g.gang > 0 || !t.maxResources.IsZero() {
		return false
	}
	maySearch := p.now >= g.searchAfter && p.searches < maxSearches
	mayHold := p.now >= g.holdAfter && len(p.s.holds) < p.s.opts.MaxHolds
	return !maySearch && !mayHold
}

// wakeGroups asks for a plan when a waiting job may reserve or preempt.
func (p *planner) wakeGroups() {
	if p.searches >= maxSearches || p.full || len(p.plan.Placements) >= p.max {
		p.wakeAt(p.now)
		return
	}
	for _, t := range p.s.teams {
		for _, g := range t.groups {
			g.cursor = 0
			if j := g.head(); j != nil && g.misfit.Err == nil {
				p.wakeFor(g, j)
			}
		}
	}
}

func (p *planner) wakeFor(g *group, j *job) {
	for _, at := range [...]model.Time{p.pressingFrom(j), g.searchAfter, g.holdAfter} {
		if at > p.now {
			p.wakeAt(at)
		}
	}
}
