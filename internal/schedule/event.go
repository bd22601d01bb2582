package schedule

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Event is one change of the cell. Events may be told again: one that brings
// nothing new, or that names an unknown job or worker, is ignored.
type Event interface{ isEvent() }

// ConfigChanged replaces the teams, the queues and the prices as a whole.
type ConfigChanged struct {
	Teams  []model.Team
	Queues []model.Queue
	Prices []model.PricePoint
}

// WorkerUp announces a worker that is new or has changed.
type WorkerUp struct {
	Spec model.WorkerSpec
	Mode model.WorkerMode
}

// WorkerModeChanged changes what a worker may be given. The tasks of a lost
// worker are told separately by TaskEnded with Lost.
type WorkerModeChanged struct {
	Worker model.WorkerID
	Mode   model.WorkerMode
	At     model.Time
}

// WorkerResponsivenessChanged says whether a worker answers orders. One that does not is given
// nothing, also while its mode is open; what it holds stays there until its loss
// is told. Every worker is taken to answer until it is told otherwise.
type WorkerResponsivenessChanged struct {
	Worker     model.WorkerID
	Responsive bool
}

// WorkersRemoved forgets workers. A task that is still held there is released as lost.
type WorkersRemoved struct{ Workers []model.WorkerID }

// JobSubmitted adds a job whose tasks are all pending.
type JobSubmitted struct {
	ID          model.JobID
	Spec        model.JobSpec
	Team        string // the team charged
	At          model.Time
	StartBy     model.Time // submission time plus patience
	Price       int64      // micro-units a core-second
	NeedsPermit bool       // may only be placed on workers that a JobPermitsChanged names
	// Budgeted jobs fail by their restart budget alone, however many workers
	// their first attempts failed on.
	RestartBudgetOnly bool
}

// JobPermitsChanged replaces the workers on which a gated job may be placed.
type JobPermitsChanged struct {
	ID      model.JobID
	Permits []Permit
}

// Permit allows the placement of a job on a worker before a time.
type Permit struct {
	Worker model.WorkerID
	Until  model.Time
}

// JobsCancelled removes the pending tasks of jobs. Held tasks are told by
// TaskStopping and TaskEnded.
type JobsCancelled struct{ IDs []model.JobID }

// TaskPlaced reserves Size on a worker.
type TaskPlaced struct {
	Task   model.TaskID
	Worker model.WorkerID
	Size   model.Resources
	At     model.Time
}

// TaskRunning confirms the start of a placed task, or takes back that a task was
// told to stop.
type TaskRunning struct {
	Task model.TaskID
	At   model.Time
}

// TaskStopping says that a task was told to stop. It still holds its reservation.
type TaskStopping struct{ Task model.TaskID }

// TaskEnded releases the reservation of a task. A task that is not held, and
// whose end is final, is taken out of the pending ones.
type TaskEnded struct {
	Task    model.TaskID
	Outcome Outcome
	RanFor  time.Duration
	Used    model.Resources // peak use; zero when unknown
	At      model.Time
	Final   bool // false: pending again, after a backoff where the outcome calls for one
}

// TaskUsageReported reports the lagging use of a running task.
type TaskUsageReported struct {
	Task model.TaskID
	Used model.Resources
	At   model.Time
}

// RequestPermitsChanged sets the number of outstanding request permits of a team. They
// count against its MaxRunning.
type RequestPermitsChanged struct {
	Team    string
	Permits int64
}

func (ConfigChanged) isEvent()               {}
func (WorkerUp) isEvent()                    {}
func (WorkerModeChanged) isEvent()           {}
func (WorkerResponsivenessChanged) isEvent() {}
func (WorkersRemoved) isEvent()              {}
func (JobSubmitted) isEvent()                {}
func (JobPermitsChanged) isEvent()           {}
func (JobsCancelled) isEvent()               {}
func (TaskPlaced) isEvent()                  {}
func (TaskRunning) isEvent()                 {}
func (TaskStopping) isEvent()                {}
func (TaskEnded) isEvent()                   {}
func (TaskUsageReported) isEvent()           {}
func (RequestPermitsChanged) isEvent()       {}

// Outcome is how an attempt at a task ended.
type Outcome = model.Outcome

// The outcomes. A worker that stopped a task for being over its size tells
// Failed; NotStarted says nothing about the worker.
const (
	Succeeded  = model.OutcomeSucceeded
	Failed     = model.OutcomeFailed
	Lost       = model.OutcomeLost
	Preempted  = model.OutcomePreempted
	Stopped    = model.OutcomeStopped
	NotStarted = model.OutcomeNotStarted
)
