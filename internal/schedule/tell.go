package schedule

import (
	"container/heap"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// tells are what the next plan says once.
type tells struct {
	throttles []Throttle
	stops     []Stop
	fails     []Failure
}

// overUse is when and by how much a task was found to be over its size.
type overUse struct{ at model.Time }

// overPercent is the use, in percent of the reserved size, beyond which a task is over it.
const overPercent = 110

func isOver(used, size model.Resources) bool {
	return used.CPU*100 > size.CPU*overPercent || used.Memory*100 > size.Memory*overPercent
}

// taskUsed throttles a task over its size, and stops it if it stays so.
func (s *Scheduler) taskUsed(e TaskUsed) {
	j, t := s.find(e.Task)
	if t == nil || t.state != taskRunning {
		return
	}
	r := taskRef{j, e.Task.Index}
	if !isOver(e.Used, t.size) {
		s.endOver(r)
		return
	}
	worker := s.workers[t.worker].id
	switch t.over {
	case overNot:
		t.over = overThrottled
		s.over[r] = overUse{at: e.At}
		s.learned.ObserveSize(j.group.class, e.Used)
		s.tells.throttles = append(s.tells.throttles, Throttle{Task: e.Task, Worker: worker, Size: t.size, Used: e.Used})
	case overThrottled:
		if e.At >= s.over[r].at.Add(s.opts.ThrottleGrace) {
			t.over = overStopped
			s.tells.stops = append(s.tells.stops, Stop{Task: e.Task, Worker: worker, Reason: ReasonOverSize})
		}
	}
}

// endOver forgets that a task was over its size.
func (s *Scheduler) endOver(r taskRef) {
	t := &r.job.tasks[r.index]
	if t.over == overNot {
		return
	}
	t.over = overNot
	delete(s.over, r)
}

// tell moves what was noted since the last plan into this one.
func (p *planner) tell() {
	s := p.s
	p.plan.Throttles = s.tells.throttles
	p.plan.Stops = s.tells.stops
	p.plan.Fails = s.tells.fails
	s.tells = tells{}
	p.refunds()
	p.misfits()
}

// maxSettled is how many promises that no longer matter one plan forgets.
const maxSettled = 256

// refunds tells the jobs that had not started by their promised time.
func (p *planner) refunds() {
	d := &p.s.deadlines
	for n := 0; n < maxSettled && len(*d) > 0 && (*d)[0].settled(); n++ {
		heap.Pop(d)
	}
	for len(*d) > 0 && (*d)[0].promise < p.now {
		j := heap.Pop(d).(*job)
		if !j.settled() {
			j.started = true
			p.plan.Refunds = append(p.plan.Refunds, Refund{Job: j.id})
		}
	}
}

// settled reports whether the promised start no longer matters.
func (j *job) settled() bool { return j.started || j.cancelled }

// deadlines orders jobs by their promised start.
type deadlines []*job

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, k int) bool {
	if d[i].promise != d[k].promise {
		return d[i].promise < d[k].promise
	}
	return d[i].id < d[k].id
}
func (d deadlines) Swap(i, k int) { d[i], d[k] = d[k], d[i] }
func (d *deadlines) Push(v any)   { *d = append(*d, v.(*job)) }
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return j
}

// misfits tells the jobs that can run nowhere, when that is new.
func (p *planner) misfits() {
	if !p.s.untold {
		return
	}
	p.s.untold = false
	for _, t := range p.s.teams {
		for i := range t.line.entries {
			g := t.line.entries[i].group
			if g.untold && g.misfit.Err != nil {
				p.tellMisfit(g)
			}
		}
	}
}

func (p *planner) tellMisfit(g *group) {
	g.untold = false
	for _, j := range g.jobs {
		if j.ready > 0 && j.toldMisfit != g.misfitVersion {
			j.toldMisfit = g.misfitVersion
			m := g.misfit
			m.Job = j.id
			p.plan.NeverFits = append(p.plan.NeverFits, m)
		}
	}
}

// judgeGroups judges all groups anew after a change of the cell.
func (s *Scheduler) judgeGroups() {
	if s.judged == s.change && s.judgedGangs == s.counts {
		return
	}
	s.judged, s.judgedGangs = s.change, s.counts
	for _, t := range s.teams {
		for i := range t.line.entries {
			s.judgeGroup(t.line.entries[i].group)
		}
	}
}

// judgeGroup finds out whether the tasks of g can run anywhere.
func (s *Scheduler) judgeGroup(g *group) {
	if g.judged == s.change && (g.gang == 0 || g.judgedCounts == s.counts) {
		return
	}
	g.judged, g.judgedCounts = s.change, s.counts
	n := int64(max(g.gang, 1))
	m := s.teamMisfit(g, n)
	if m.Err == nil {
		m = s.misfit(g.selector, g.size, n, g.exclusive)
	}
	if sameMisfit(m, g.misfit) {
		return
	}
	g.misfit = m
	g.misfitVersion++
	s.stale(g)
	s.tellLater(g)
}

// tellLater has the misfit of g, if any, told to its jobs that do not know it.
func (s *Scheduler) tellLater(g *group) {
	if g.misfit.Err != nil {
		g.untold = true
		s.untold = true
	}
}

func sameMisfit(a, b Misfit) bool {
	return errkind.Of(a.Err) == errkind.Of(b.Err) && a.Closest == b.Closest && a.Missing == b.Missing
}

// teamMisfit finds out whether the limits of the team rule out n tasks at once.
func (s *Scheduler) teamMisfit(g *group, n int64) Misfit {
	t := s.teams[g.team]
	if n > t.maxRunning {
		return Misfit{Err: errkind.New(errkind.LimitReached, "%d tasks at once pass the limit of team %s, %d", n, t.name, t.maxRunning)}
	}
	if !within(g.size.Mul(n), t.maxResources) {
		return Misfit{
			Missing: g.size.Mul(n).Sub(t.maxResources).Max(model.Resources{}),
			Err:     errkind.New(errkind.LimitReached, "the job passes the bound of team %s, %s", t.name, t.maxResources),
		}
	}
	return Misfit{}
}
