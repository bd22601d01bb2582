package control

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

// applyEvent applies one event of the state to the scheduler and to the leader's
// tables.
func (l *leader) applyEvent(ev state.Event) {
	l.dirty = true
	switch e := ev.(type) {
	case state.ConfigChanged:
		l.applyConfig(&e)
		l.recordConfig(e.Version)
	case state.WorkerChanged:
		l.applyWorker(&e)
	case state.EvacuationChanged:
		l.sched.Apply(schedule.EvacuationChanged{Domain: e.Domain, Evacuated: e.Evacuated})
	case state.EndingChanged:
		l.sched.Apply(schedule.EndingChanged{Worker: e.Worker, Size: e.Size})
	case state.WorkerSpeedChanged:
		l.sched.Apply(schedule.WorkerSpeedChanged{Worker: e.Worker, Permille: e.Permille})
	case state.WorkersRemoved:
		l.sched.Apply(schedule.WorkersRemoved{Workers: e.IDs})
	case state.JobSubmitted:
		l.sched.Apply(schedule.JobSubmitted{
			ID:          e.Job.ID,
			Spec:        e.Job.Spec,
			Team:        e.Job.Team,
			At:          e.Job.Submitted,
			StartBy:     e.Job.StartBy,
			Price:       e.Job.Price,
			NeedsPermit: l.policy.add(e.Job),
			Restarts:    restartsOf(e.Job),

			RestartBudgetOnly: e.Job.Step != nil,
		})
	case state.JobsCancelled:
		l.sched.Apply(schedule.JobsCancelled{IDs: e.IDs})
	case state.TaskChanged:
		l.applyTask(&e)
	case state.TaskSuspected:
		l.sched.Apply(schedule.TaskSuspected{Task: e.Task, Suspicion: suspicionOf(&e), HeldUntil: e.HeldUntil, At: e.At})
	case state.JobFinished:
		l.policy.remove(e.ID)
	case state.PlacementRefused:
		l.sched.Apply(schedule.TaskEnded{Task: e.Task, Outcome: schedule.NotStarted, At: e.At})
		l.policy.tracker.Wake(e.Task.Job)
		l.markTeam(e.Task.Job)
	case state.CeilingChanged:
		l.permits.SetCeiling(e.Team, e.Permits)
	case state.ExecutorChanged:
		l.applyExecutor(&e)
	}
}

// restartsOf returns the failures of the tasks of a job up to the last that has failed. It
// returns nil for tasks that last, which have no restart budget.
func restartsOf(j *state.Job) []uint16 {
	if j.Spec.Lasts() {
		return nil
	}
	var out []uint16
	for i := range j.Tasks {
		if n := j.Tasks[i].Restarts; n > 0 {
			out = append(out, make([]uint16, i-len(out))...)
			out = append(out, n)
		}
	}
	return out
}

func (l *leader) applyConfig(e *state.ConfigChanged) {
	d := e.Declarations
	queues := e.ServedQueues()
	l.sched.Apply(schedule.ConfigChanged{Teams: d.Teams, Queues: queues, Prices: d.Prices})
	l.policy.queuesChanged(queues)
	for _, t := range d.Teams {
		l.permits.SetLimit(t.Name, t.MaxRunning)
	}
}

// recordConfig adds the current configuration to the history, from which entries with
// an older one get deltas.
func (l *leader) recordConfig(version uint64) {
	_, digest, d := l.c.machine.Config()
	kept := *d
	l.history.Add(version, digest, &kept)
}

func (l *leader) applyWorker(e *state.WorkerChanged) {
	if e.Mode == model.WorkerLost {
		l.sched.Apply(schedule.WorkerModeChanged{Worker: e.Spec.ID, Mode: e.Mode, At: e.At})
		return
	}
	l.sched.Apply(schedule.WorkerUp{Spec: e.Spec, Mode: e.Mode})
}

func (l *leader) applyTask(e *state.TaskChanged) {
	switch {
	case e.To == model.TaskStarting:
		l.sched.Apply(schedule.TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: e.At})
	case e.To == model.TaskRunning:
		l.sched.Apply(schedule.TaskRunning{Task: e.Task, At: e.At})
	case e.To == model.TaskStopping:
		l.sched.Apply(schedule.TaskStopping{Task: e.Task})
	default:
		l.sched.Apply(schedule.TaskEnded{
			Task:    e.Task,
			Outcome: e.Outcome,
			RanFor:  e.RanFor,
			Used:    e.Used,
			At:      e.At,
			Final:   e.To.Done(),

			FailureCounted: e.FailureCounted,
		})
		l.policy.tracker.Wake(e.Task.Job)
	}
	l.markTeam(e.Task.Job)
}

func (l *leader) applyExecutor(e *state.ExecutorChanged) {
	if e.Withdrawn {
		l.owners.Withdraw(e.Spec.ID)
		return
	}
	l.owners.Announce(e.Spec, e.Region, e.Leaving)
}

// markTeam records that the number of tasks of a job's team may have changed.
func (l *leader) markTeam(id model.JobID) {
	if j := l.c.machine.Job(id); j != nil {
		l.changedTeams[j.Team] = struct{}{}
	}
}

// syncLimits reports to the permit granter how many tasks of the changed teams hold
// resources, proposed ones included, so that tasks and requests share one limit.
func (l *leader) syncLimits() {
	for name := range l.changedTeams {
		if use, ok := l.sched.Team(name); ok {
			l.permits.SetTasks(name, use.Running)
		}
	}
	clear(l.changedTeams)
}
