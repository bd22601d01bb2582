package schedule

import "github.com/filbertmast/filbertmast/internal/model"

// entry is what the order of a team needs to know of one group with a live job.
// Entries lie side by side, since a plan looks at all of them.
type entry struct {
	startBy  model.Time // of the head
	id       model.JobID
	pressing model.Time // from when the head is pressing
	leftOut  uint64     // plan that the group is left out of
	room     *room
	group    *group
	tasks    int32 // that must start at once
	stale    bool  // the other fields may be out of date
	misfit   bool
	held     bool // workers are held for the head
	mayProbe bool // tasks of the head may be risked on workers on probation
}

// line is the groups of one team that have a live job.
type line struct {
	entries []entry
	change  uint64 // of the cell, at which all entries were renewed
}

func (l *line) add(g *group) {
	g.slot = int32(len(l.entries))
	l.entries = append(l.entries, entry{group: g, stale: true})
}

func (l *line) remove(g *group) {
	last := len(l.entries) - 1
	moved := l.entries[last]
	moved.group.slot = g.slot
	l.entries[g.slot] = moved
	l.entries[last] = entry{}
	l.entries = l.entries[:last]
	g.slot = -1
}

// stale has the entry of g renewed before it is used again.
func (s *Scheduler) stale(g *group) {
	if g.slot >= 0 {
		s.teams[g.team].line.entries[g.slot].stale = true
	}
}

// renewLine has all entries of t renewed after a change that concerns them all.
func (s *Scheduler) renewLine(t *team) {
	l := &t.line
	if l.change == s.change {
		return
	}
	l.change = s.change
	for i := range l.entries {
		l.entries[i].stale = true
	}
}

// renew brings e up to date. Without a head left the group is left out of the plan.
func (p *planner) renew(e *entry) {
	g := e.group
	if g.plan != p.s.plans {
		g.plan = p.s.plans
		g.cursor = 0
		g.trim()
	}
	j := g.head()
	if j == nil {
		e.leftOut = p.s.plans
		return
	}
	e.stale = false
	p.s.sizeFor(g)
	e.room = g.room
	e.startBy, e.id = j.startBy, j.id
	e.pressing = p.pressingFrom(j)
	e.tasks = 1
	if g.policy == gang {
		e.tasks = j.ready
	}
	e.misfit = g.misfit.Err != nil
	e.held = j.hold != nil
	e.mayProbe = g.repeatable && j.maxRestarts > 0
}

// less orders entries by their heads, as job.less does.
func (e *entry) less(o *entry) bool {
	if e.startBy != o.startBy {
		return e.startBy < o.startBy
	}
	return e.id < o.id
}
