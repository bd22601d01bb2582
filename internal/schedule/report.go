package schedule

import (
	"container/heap"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// planReports holds what the next plan reports once.
type planReports struct {
	throttles []Throttle
	stops     []Stop
	failures  []Failure
}

// overUse records when a task was found to exceed its size.
type overUse struct{ at model.Time }

// overPercent is the usage, in percent of the reserved size, above which a task
// exceeds its size.
const overPercent = 110

func exceedsSize(used, size model.Resources) bool {
	return used.CPU*100 > size.CPU*overPercent || used.Memory*100 > size.Memory*overPercent
}

// taskUsageReported throttles a task that exceeds its size, and stops it if it
// still does after ThrottleGrace.
func (s *Scheduler) taskUsageReported(e TaskUsageReported) {
	j, t := s.findTask(e.Task)
	if t == nil || t.state != taskRunning {
		return
	}
	r := taskRef{j, e.Task.Index}
	if !exceedsSize(e.Used, t.size) {
		s.clearOverUse(r)
		return
	}
	worker := s.workers[t.worker].id
	switch t.over {
	case withinSize:
		t.over = overThrottled
		s.overUses[r] = overUse{at: e.At}
		s.learned.ObserveSize(j.group.class, e.Used)
		s.pendingReports.throttles = append(s.pendingReports.throttles, Throttle{Task: e.Task, Worker: worker, Size: t.size, Used: e.Used})
	case overThrottled:
		if e.At >= s.overUses[r].at.Add(s.opts.ThrottleGrace) {
			t.over = overStopped
			s.pendingReports.stops = append(s.pendingReports.stops, Stop{Task: e.Task, Worker: worker, Reason: ReasonOverSize})
		}
	}
}

// clearOverUse records that a task no longer exceeds its size.
func (s *Scheduler) clearOverUse(r taskRef) {
	t := &r.job.tasks[r.index]
	if t.over == withinSize {
		return
	}
	t.over = withinSize
	delete(s.overUses, r)
}

// report moves what was recorded for the next plan into this one.
func (p *planner) report() {
	s := p.s
	p.plan.Throttles = s.pendingReports.throttles
	p.plan.Stops = s.pendingReports.stops
	p.plan.Failures = s.pendingReports.failures
	s.pendingReports = planReports{}
	p.refunds()
	p.fitFailures()
}

// maxResolvedStarts is how many promised starts that no longer matter are removed
// per plan.
const maxResolvedStarts = 256

// refunds reports the jobs that have not started by their promised time.
func (p *planner) refunds() {
	d := &p.s.deadlines
	for n := 0; n < maxResolvedStarts && len(*d) > 0 && (*d)[0].startResolved(); n++ {
		heap.Pop(d)
	}
	for len(*d) > 0 && (*d)[0].promisedStart < p.now {
		j := heap.Pop(d).(*job)
		if !j.startResolved() {
			j.started = true
			p.plan.Refunds = append(p.plan.Refunds, Refund{Job: j.id})
		}
	}
}

// startResolved reports whether the promised start no longer matters.
func (j *job) startResolved() bool { return j.started || j.cancelled }

// deadlines is a heap of jobs, ordered by promised start.
type deadlines []*job

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, k int) bool {
	if d[i].promisedStart != d[k].promisedStart {
		return d[i].promisedStart < d[k].promisedStart
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

// fitFailures reports the waiting jobs whose fit failures have not been reported.
func (p *planner) fitFailures() {
	if !p.s.unreportedFitFailures {
		return
	}
	p.s.unreportedFitFailures = false
	for _, t := range p.s.teams {
		for i := range t.queue.entries {
			g := t.queue.entries[i].group
			if g.fitFailureUnreported && g.fitFailure.Err != nil {
				p.reportFitFailure(g)
			}
		}
	}
}

func (p *planner) reportFitFailure(g *group) {
	g.fitFailureUnreported = false
	for _, j := range g.jobs {
		if j.ready > 0 && j.reportedFitFailure != g.fitFailureVersion {
			j.reportedFitFailure = g.fitFailureVersion
			f := g.fitFailure
			f.Job = j.id
			p.plan.NeverFits = append(p.plan.NeverFits, f)
		}
	}
}

// evaluateGroups evaluates all groups again after a change of the cell.
func (s *Scheduler) evaluateGroups() {
	if s.groupsCellVersion == s.cellVersion && s.groupsCountsVersion == s.countsVersion {
		return
	}
	s.groupsCellVersion, s.groupsCountsVersion = s.cellVersion, s.countsVersion
	for _, t := range s.teams {
		for i := range t.queue.entries {
			s.evaluateGroup(t.queue.entries[i].group)
		}
	}
}

// evaluateGroup determines whether the tasks of g can run anywhere. For tasks that fit one
// by one, that depends on the shapes alone; any other result on the single workers too.
func (s *Scheduler) evaluateGroup(g *group) {
	shapesSuffice := g.gang == 0 && g.fitFailure.Err == nil
	if g.fitCellVersion == s.cellVersion && (shapesSuffice || g.fitCountsVersion == s.countsVersion) {
		return
	}
	g.fitCellVersion, g.fitCountsVersion = s.cellVersion, s.countsVersion
	n := int64(max(g.gang, 1))
	f := s.teamFitFailure(g, n)
	if f.Err == nil {
		f = s.fitFailure(g.selector, g.size, n, g.perWorker)
	}
	same := sameFitFailure(f, g.fitFailure)
	g.fitFailure = f // the number of matching workers in its text may have changed
	if same {
		return
	}
	g.fitFailureVersion++
	s.markStale(g)
	s.markFitFailureUnreported(g)
}

// markFitFailureUnreported makes the next plan report the fit failure of g, if
// any, for those of its jobs for which it was not reported.
func (s *Scheduler) markFitFailureUnreported(g *group) {
	if g.fitFailure.Err != nil {
		g.fitFailureUnreported = true
		s.unreportedFitFailures = true
	}
}

func sameFitFailure(a, b FitFailure) bool {
	return errkind.Of(a.Err) == errkind.Of(b.Err) && a.Closest == b.Closest && a.Missing == b.Missing
}

// teamFitFailure determines whether the limits of the team rule out n tasks at
// once.
func (s *Scheduler) teamFitFailure(g *group, n int64) FitFailure {
	t := s.teams[g.team]
	if n > t.maxRunning {
		return FitFailure{Err: errkind.New(errkind.LimitReached, "%d tasks at once exceed the limit of team %s, %d running tasks", n, t.name, t.maxRunning)}
	}
	if !within(g.size.Mul(n), t.maxResources) {
		return FitFailure{
			Missing: g.size.Mul(n).Sub(t.maxResources).Max(model.Resources{}),
			Err:     errkind.New(errkind.LimitReached, "the job exceeds the resource limit of team %s, %s", t.name, t.maxResources),
		}
	}
	return FitFailure{}
}
