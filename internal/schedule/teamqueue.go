package schedule

import "github.com/filbertmast/filbertmast/internal/model"

// queueEntry caches what the order within a team depends on, for one group with a
// ready task. Entries are stored by value in one slice, since a plan scans all of
// them.
type queueEntry struct {
	startBy     model.Time // of the head of the group
	id          model.JobID
	pressing    model.Time // when the head becomes pressing
	skippedPlan uint64     // plan that the group is excluded from
	fit         *fitBound
	group       *group
	tasks       int32 // tasks that must start at once
	stale       bool  // the other fields may be out of date
	neverFits   bool
	reserved    bool // workers are reserved for the head
	asGroup     bool // no other job of the group fits where the head does not
}

// teamQueue holds the groups of one team that have a ready task.
type teamQueue struct {
	entries     []queueEntry
	cellVersion uint64 // cellVersion of the Scheduler when all entries were marked stale
}

func (q *teamQueue) add(g *group) {
	g.slot = int32(len(q.entries))
	q.entries = append(q.entries, queueEntry{group: g, stale: true})
}

func (q *teamQueue) remove(g *group) {
	last := len(q.entries) - 1
	moved := q.entries[last]
	moved.group.slot = g.slot
	q.entries[g.slot] = moved
	q.entries[last] = queueEntry{}
	q.entries = q.entries[:last]
	g.slot = -1
}

// markStale makes the entry of g be refreshed before it is used again.
func (s *Scheduler) markStale(g *group) {
	if g.slot >= 0 {
		s.teams[g.team].queue.entries[g.slot].stale = true
	}
}

// markQueueStale marks all entries of t stale if the cell has changed.
func (s *Scheduler) markQueueStale(t *team) {
	q := &t.queue
	if q.cellVersion == s.cellVersion {
		return
	}
	q.cellVersion = s.cellVersion
	for i := range q.entries {
		q.entries[i].stale = true
	}
}

// refresh brings e up to date. A group without a head is excluded from the plan.
func (p *planner) refresh(e *queueEntry) {
	g := e.group
	if g.cursorPlan != p.s.planSeq {
		g.cursorPlan = p.s.planSeq
		g.cursor = 0
		g.trim()
	}
	j := g.head()
	if j == nil {
		e.skippedPlan = p.s.planSeq
		return
	}
	e.stale = false
	p.s.sizeFor(g)
	e.fit = g.fit
	e.startBy, e.id = j.startBy, j.id
	e.pressing = p.pressingFrom(j)
	e.tasks = 1
	if g.policy == gang {
		e.tasks = j.ready
	}
	e.neverFits = g.fitFailure.Err != nil
	e.reserved = j.reservation != nil
	e.asGroup = j.fitsAsGroup()
}

// less orders entries by their heads, as job.less does.
func (e *queueEntry) less(o *queueEntry) bool {
	if e.startBy != o.startBy {
		return e.startBy < o.startBy
	}
	return e.id < o.id
}
