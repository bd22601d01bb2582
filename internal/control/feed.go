package control

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

// feed brings one event of the state to the scheduler and the tables.
func (l *leader) feed(ev state.Event) {
	l.dirty = true
	switch e := ev.(type) {
	case state.ConfigChanged:
		l.feedConfig(e.Declarations)
		l.rememberConfig(e.Version)
	case state.WorkerChanged:
		l.feedWorker(&e)
	case state.WorkersForgotten:
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

			RestartBudgetOnly: e.Job.Step != nil,
		})
	case state.JobsCancelled:
		l.sched.Apply(schedule.JobsCancelled{IDs: e.IDs})
	case state.TaskChanged:
		l.feedTask(&e)
	case state.JobFinished:
		l.policy.remove(e.ID)
	case state.PlacementRefused:
		l.sched.Apply(schedule.TaskEnded{Task: e.Task, Outcome: schedule.NotStarted, At: e.At})
		l.touch(e.Task.Job)
	case state.CeilingChanged:
		l.permits.SetCeiling(e.Team, e.Permits)
	case state.ExecutorChanged:
		l.feedExecutor(&e)
	}
}

func (l *leader) feedConfig(d *model.Declarations) {
	l.sched.Apply(schedule.ConfigChanged{Teams: d.Teams, Queues: d.Queues, Prices: d.Prices})
	for _, t := range d.Teams {
		l.permits.SetLimit(t.Name, t.MaxRunning)
	}
}

// rememberConfig keeps a configuration that was in force, for deltas from it.
func (l *leader) rememberConfig(version uint64) {
	_, digest, d := l.c.machine.Config()
	kept := *d
	l.history.Add(version, digest, &kept)
}

func (l *leader) feedWorker(e *state.WorkerChanged) {
	if e.Mode == model.WorkerLost {
		l.sched.Apply(schedule.WorkerModeChanged{Worker: e.Spec.ID, Mode: e.Mode, At: e.At})
		return
	}
	l.sched.Apply(schedule.WorkerUp{Spec: e.Spec, Mode: e.Mode})
}

func (l *leader) feedTask(e *state.TaskChanged) {
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
		})
	}
	l.touch(e.Task.Job)
}

func (l *leader) feedExecutor(e *state.ExecutorChanged) {
	if e.Gone {
		l.owners.Withdraw(e.Spec.ID)
		return
	}
	l.owners.Announce(e.Spec, e.Region, e.Leaving)
}

// touch notes that the number of a team's tasks may have changed.
func (l *leader) touch(id model.JobID) {
	if j := l.c.machine.Job(id); j != nil {
		l.touched[j.Team] = struct{}{}
	}
}

// syncLimits tells the permits how many tasks of the touched teams hold
// resources, proposed ones included, so that tasks and requests share one limit.
func (l *leader) syncLimits() {
	for name := range l.touched {
		if use, ok := l.sched.Team(name); ok {
			l.permits.SetTasks(name, use.Running)
		}
	}
	clear(l.touched)
}
