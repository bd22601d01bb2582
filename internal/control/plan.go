package control

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

const (
	maxPlacements    = 1024 // placements in one plan
	maxPlansInFlight = 4    // proposed placement commands that are not committed yet
	// planInterval is the least time from the begin of one plan to the next.
	planInterval = 20 * time.Millisecond
	// planRest is the pause after a plan, in multiples of the time that it took.
	planRest = 3
	// reportInterval is the least time from one proposal of reports to the next.
	reportInterval = 10 * time.Millisecond
)

// schedule commits reports, sends the queries that are due and makes a plan, each if it is
// its time. The events of one interval share a run.
func (l *leader) schedule(now model.Time) {
	if at := l.c.s.clock(); l.reportPace.due(at) && l.polled.commitReports() {
		l.reportPace.ran(at, at)
		l.c.load.end(workReports, time.Now())
	}
	if l.policy.sendQueries(now) {
		l.c.load.end(workQueries, time.Now())
	}
	if l.planIfDue(now) {
		l.c.load.end(workPlans, time.Now())
	}
}

// nextRun returns the time by the clock of the server at which schedule has something to do
// without another event; false if it has not.
func (l *leader) nextRun() (at time.Duration, any bool) {
	first := func(waits bool, p *pace) {
		if waits && (!any || p.next < at) {
			at, any = p.next, true
		}
	}
	first(l.polled.reports.Waits(), &l.reportPace)
	first(l.policy.tracker.Waits(), &l.policy.pace)
	first(l.dirty && l.plansInFlight < maxPlansInFlight, &l.planPace)
	return at, any
}

// planIfDue makes a plan if one is due, proposes it and reports whether it made one. The
// scheduler counts the resources of the plan as used at once, so that the next plan cannot
// use them again; a refused placement or a failed proposal frees them.
func (l *leader) planIfDue(now model.Time) bool {
	due := l.dirty || (l.nextPlan != 0 && now >= l.nextPlan)
	if !due || !l.planPace.due(l.c.s.clock()) || l.plansInFlight >= maxPlansInFlight {
		return false
	}
	began := l.c.s.clock()
	if _, err := l.c.leading(); err != nil {
		l.planPace.ran(began, began)
		return false
	}
	p := l.sched.Plan(now, maxPlacements)
	l.recordPlan(began, l.c.s.clock())
	l.dirty = len(p.Placements) >= maxPlacements
	l.nextPlan = p.NextWake
	l.proposePlacements(p.Placements, now)
	l.proposeStops(&p)
	l.proposeFailures(&p)
	l.proposeRefunds(p.Refunds)
	l.sendThrottles(p.Throttles)
	l.logFitFailures(p.NeverFits)
	l.syncLimits()
	return true
}

// recordPlan records how long a plan took. The longer, the longer is the pause before the
// next one: calls, polls and commits would otherwise wait behind plans, and what waits makes
// plans longer.
func (l *leader) recordPlan(began, ended time.Duration) {
	l.c.s.metrics.planSeconds.Observe((ended - began).Seconds())
	l.planPace.ran(began, ended)
}

func (l *leader) proposePlacements(ps []schedule.Placement, now model.Time) {
	if len(ps) == 0 {
		return
	}
	cmd := &state.Place{Placements: make([]state.Placement, len(ps))}
	for i, p := range ps {
		cmd.Placements[i] = state.Placement{Task: p.Task, Worker: p.Worker, Size: p.Size}
		l.sched.Apply(schedule.TaskPlaced{Task: p.Task, Worker: p.Worker, Size: p.Size, At: now})
		l.markTeam(p.Task.Job)
	}
	l.plansInFlight++
	l.c.propose(&state.Command{Place: cmd}, func(_ state.Result, err error) {
		l.plansInFlight--
		if err == nil || l.c.leader != l {
			return
		}
		for i := range cmd.Placements {
			l.applyEvent(state.PlacementRefused{Task: cmd.Placements[i].Task, At: l.c.s.now()})
		}
	})
}

// proposeStops proposes the stop of preempted tasks and of tasks that have exceeded
// their size for too long.
func (l *leader) proposeStops(p *schedule.Plan) {
	cmd := &state.Stop{}
	for _, v := range p.Preemptions {
		cause := state.StopPreempted
		if v.Reason == schedule.ReasonDrain || v.Reason == schedule.ReasonEvacuation {
			cause = state.StopDrained
		}
		l.c.s.metrics.preemptions.WithLabelValues(string(v.Reason)).Inc()
		cmd.Tasks = append(cmd.Tasks, state.TaskStop{Task: v.Task, Cause: cause, Reason: string(v.Reason)})
	}
	for _, v := range p.Stops {
		cmd.Tasks = append(cmd.Tasks, state.TaskStop{Task: v.Task, Cause: state.StopFailed, Reason: string(v.Reason)})
	}
	if len(cmd.Tasks) == 0 {
		return
	}
	for i := range cmd.Tasks {
		l.sched.Apply(schedule.TaskStopping{Task: cmd.Tasks[i].Task})
	}
	l.c.propose(&state.Command{Stop: cmd}, func(_ state.Result, err error) {
		if err != nil && l.c.leader == l {
			l.restoreRunning(cmd.Tasks)
		}
	})
}

// restoreRunning reports to the scheduler that tasks still run whose stop was not
// committed.
func (l *leader) restoreRunning(stops []state.TaskStop) {
	l.dirty = true
	for i := range stops {
		_, t := l.task(stops[i].Task)
		if t != nil && (t.Phase == model.TaskRunning || t.Phase == model.TaskStarting) {
			l.sched.Apply(schedule.TaskRunning{Task: stops[i].Task, At: l.c.s.now()})
		}
	}
}

// proposeUntilCommitted proposes a decision that the scheduler reports only once. If the
// proposal fails, it is made again with the next tick.
func (l *leader) proposeUntilCommitted(cmd *state.Command) {
	l.c.propose(cmd, func(_ state.Result, err error) {
		if err != nil && l.c.leader == l {
			l.uncommitted = append(l.uncommitted, cmd)
		}
	})
}

// proposeUncommitted proposes the decisions again whose proposals have failed. The first
// one that is refused at once ends the round, and comes last in the next.
func (l *leader) proposeUncommitted() {
	cmds := l.uncommitted
	l.uncommitted = nil
	for i, cmd := range cmds {
		l.proposeUntilCommitted(cmd)
		if len(l.uncommitted) > 0 {
			l.uncommitted = append(slices.Clone(cmds[i+1:]), l.uncommitted...)
			break
		}
	}
	workers := l.unrevoked
	l.unrevoked = nil
	for _, id := range workers {
		l.revokeUnconfirmedStarts(id)
	}
}

func (l *leader) proposeFailures(p *schedule.Plan) {
	for _, f := range p.Failures {
		l.c.log.Info("Scheduler gave up on a job or task; it will be marked as failed.", "job", f.Job, "task", f.Task, "reason", f.Reason)
		cmd := &state.Fail{Job: f.Job, Task: f.Task, Reason: string(f.Reason)}
		l.proposeUntilCommitted(&state.Command{Fail: cmd})
	}
}

func (l *leader) proposeRefunds(refunds []schedule.Refund) {
	if len(refunds) == 0 {
		return
	}
	cmd := &state.Refund{}
	for _, r := range refunds {
		cmd.Jobs = append(cmd.Jobs, r.Job)
	}
	l.proposeUntilCommitted(&state.Command{Refund: cmd})
}

func (l *leader) logFitFailures(failures []schedule.FitFailure) {
	for _, m := range failures {
		l.c.log.Warn("Job fits no worker.", "job", m.Job, "closest", m.Closest, "missing", m.Missing)
	}
}
