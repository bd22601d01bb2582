package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

const (
	maxPlacements    = 1024 // placements in one plan
	maxPlansInFlight = 4    // placement commands on their way through the log
)

// schedule makes a plan where one is due and proposes it. What the plan
// reserves is told to the scheduler at once, so that the next plan cannot use
// it again; a refused or failed proposal gives it back.
func (l *leader) schedule(now model.Time) {
	l.crew.report()
	l.policy.ask(now)
	due := l.dirty || (l.wake != 0 && now >= l.wake)
	if !due || l.inFlight >= maxPlansInFlight {
		return
	}
	if _, err := l.c.leading(); err != nil {
		return
	}
	began := time.Now()
	p := l.sched.Plan(now, maxPlacements)
	l.c.s.metrics.planSeconds.Observe(time.Since(began).Seconds())
	l.dirty = len(p.Placements) >= maxPlacements
	l.wake = p.NextWake
	l.proposePlacements(p.Placements, now)
	l.proposeStops(&p)
	l.proposeFailures(&p)
	l.proposeRefunds(p.Refunds)
	l.sendThrottles(p.Throttles)
	l.noteMisfits(p.NeverFits)
	l.syncLimits()
}

func (l *leader) proposePlacements(ps []schedule.Placement, now model.Time) {
	if len(ps) == 0 {
		return
	}
	cmd := &state.Place{Placements: make([]state.Placement, len(ps))}
	for i, p := range ps {
		cmd.Placements[i] = state.Placement{Task: p.Task, Worker: p.Worker, Size: p.Size}
		l.sched.Apply(schedule.TaskPlaced{Task: p.Task, Worker: p.Worker, Size: p.Size, At: now})
		l.touch(p.Task.Job)
	}
	l.inFlight++
	l.c.propose(&state.Command{Place: cmd}, func(_ state.Result, err error) {
		l.inFlight--
		if err == nil || l.c.lead != l {
			return
		}
		for i := range cmd.Placements {
			l.feed(state.PlacementRefused{Task: cmd.Placements[i].Task, At: l.c.s.now()})
		}
	})
}

// proposeStops stops preempted tasks and those that stayed over their size.
func (l *leader) proposeStops(p *schedule.Plan) {
	cmd := &state.Stop{}
	for _, v := range p.Preemptions {
		cause := state.StopPreempted
		if v.Reason == schedule.ReasonDrain {
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
		if err != nil && l.c.lead == l {
			l.unstop(cmd.Tasks)
		}
	})
}

// unstop tells the scheduler again that tasks run whose stop was not committed.
func (l *leader) unstop(stops []state.TaskStop) {
	l.dirty = true
	for i := range stops {
		_, t := l.task(stops[i].Task)
		if t != nil && (t.Phase == model.TaskRunning || t.Phase == model.TaskStarting) {
			l.sched.Apply(schedule.TaskRunning{Task: stops[i].Task, At: l.c.s.now()})
		}
	}
}

func (l *leader) proposeFailures(p *schedule.Plan) {
	for _, f := range p.Failures {
		l.c.log.Info("Work given up.", "job", f.Job, "task", f.Task, "reason", f.Reason)
		cmd := &state.Fail{Job: f.Job, Task: f.Task, Reason: string(f.Reason)}
		l.c.propose(&state.Command{Fail: cmd}, func(state.Result, error) {})
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
	l.c.propose(&state.Command{Refund: cmd}, func(state.Result, error) {})
}

func (l *leader) noteMisfits(misfits []schedule.FitFailure) {
	for _, m := range misfits {
		l.c.log.Warn("Job fits no worker.", "job", m.Job, "closest", m.Closest, "missing", m.Missing)
	}
}
