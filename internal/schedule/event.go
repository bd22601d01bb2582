package schedule

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Event is one change of the cell. Events may be repeated: one that changes
// nothing, or that names an unknown job or worker, is ignored.
type Event interface{ isEvent() }

// ConfigChanged replaces all teams, queues and prices.
type ConfigChanged struct {
	Teams  []model.Team
	Queues []model.Queue
	Prices []model.PricePoint
}

// WorkerUp adds a worker or updates a known one.
type WorkerUp struct {
	Spec model.WorkerSpec
	Mode model.WorkerMode
}

// WorkerModeChanged changes the mode of a worker. The tasks of a lost worker are
// ended separately, by TaskEnded events with outcome Lost.
type WorkerModeChanged struct {
	Worker model.WorkerID
	Mode   model.WorkerMode
	At     model.Time
}

// WorkerResponsivenessChanged records whether a worker responds to commands. An
// unresponsive worker is given no tasks, even while its mode is open; its tasks
// stay assigned until it is reported lost. A worker counts as responsive until an
// event says otherwise.
type WorkerResponsivenessChanged struct {
	Worker     model.WorkerID
	Responsive bool
}

// EndingChanged sets the resources of the tasks that have ended and may still run on a
// worker. They are not free.
type EndingChanged struct {
	Worker model.WorkerID
	Size   model.Resources
}

// WorkerSpeedChanged sets the speed of a worker. Until then it is speed.Normal.
type WorkerSpeedChanged struct {
	Worker   model.WorkerID
	Permille int64 // thousandths of the normal speed
}

// WorkersRemoved removes workers. Tasks that are still assigned to them are
// released as lost.
type WorkersRemoved struct{ Workers []model.WorkerID }

// JobSubmitted adds a job whose tasks are all pending.
type JobSubmitted struct {
	ID          model.JobID
	Spec        model.JobSpec
	Team        string // the team that is charged
	At          model.Time
	StartBy     model.Time // submission time plus patience
	Price       int64      // micro-units per core-second
	NeedsPermit bool       // placed only on workers named by a JobPermitsChanged
	// Restarts are the failures of the first tasks so far; the others have not failed.
	Restarts []uint16
	// RestartBudgetOnly jobs fail only by exhausting the restart budget of a task.
	// They are not reported with ReasonBadJob, on however many workers their tasks
	// fail.
	RestartBudgetOnly bool
}

// JobPermitsChanged replaces the permits of a job that needs them.
type JobPermitsChanged struct {
	ID      model.JobID
	Permits []Permit
}

// JobPermitNeedChanged records whether a job needs permits. One that has come to need them
// has none.
type JobPermitNeedChanged struct {
	ID          model.JobID
	NeedsPermit bool
}

// Permit allows the placement of a job on a worker until a time, exclusive.
type Permit struct {
	Worker  model.WorkerID
	Until   model.Time
	Refused bool // the permit will not be renewed: the worker was refused since
}

// JobsCancelled removes the pending tasks of jobs. Assigned tasks end by
// TaskStopping and TaskEnded events.
type JobsCancelled struct{ IDs []model.JobID }

// TaskPlaced assigns a task to a worker and reserves Size there.
type TaskPlaced struct {
	Task   model.TaskID
	Worker model.WorkerID
	Size   model.Resources
	At     model.Time
}

// TaskRunning confirms the start of a placed task, or cancels the stop of a task
// that is stopping.
type TaskRunning struct {
	Task model.TaskID
	At   model.Time
}

// TaskStopping records that a task is being stopped. Its resources stay reserved
// until it has ended.
type TaskStopping struct{ Task model.TaskID }

// TaskEnded releases the resources of a task. A task that is not assigned is
// removed from the pending ones if the end is final, and otherwise left as it is.
type TaskEnded struct {
	Task    model.TaskID
	Outcome Outcome
	RanFor  time.Duration
	Used    model.Resources // peak usage; zero if unknown
	At      model.Time
	Final   bool // if false, the task becomes pending again, for some outcomes after a backoff
	// FailureCounted is set for a failure that uses up no restart, since another member of the
	// gang has failed in the same run.
	FailureCounted bool
}

// Suspicion is how a task is kept apart from others since it may crash its worker.
type Suspicion uint8

// The suspicions, in order of their strength. Each includes those before it.
const (
	NotSuspected Suspicion = iota
	KeepApart              // it is placed apart from other suspects
	KeepIsolated           // while it is suspected, no other task is placed on its worker
	KeepAlone              // no other task may be starting on its worker
)

// TaskSuspected changes the suspicion of a task.
type TaskSuspected struct {
	Task      model.TaskID
	Suspicion Suspicion
	HeldUntil model.Time // a pending task is not placed before; zero: at once
	At        model.Time
}

// TaskUsageReported reports the resource usage of a running task. It lags behind
// the actual usage.
type TaskUsageReported struct {
	Task model.TaskID
	Used model.Resources
	At   model.Time
}

// RequestPermitsChanged sets the number of outstanding request permits of a team.
// They count against its MaxRunning.
type RequestPermitsChanged struct {
	Team    string
	Permits int64
}

// PastUseChanged replaces the past use of all teams. Teams that are not listed have used
// nothing, and teams that are not known yet are ignored. The values change slowly beside the
// half-life, so an event from time to time suffices.
type PastUseChanged struct {
	HalfLife time.Duration // zero: past use is not considered
	Teams    []TeamPastUse
}

// TeamPastUse is the decayed average of what the tasks of a team have reserved.
type TeamPastUse struct {
	Team    string
	Average model.Resources
}

func (ConfigChanged) isEvent()               {}
func (PastUseChanged) isEvent()              {}
func (WorkerUp) isEvent()                    {}
func (WorkerModeChanged) isEvent()           {}
func (WorkerResponsivenessChanged) isEvent() {}
func (EndingChanged) isEvent()               {}
func (WorkerSpeedChanged) isEvent()          {}
func (WorkersRemoved) isEvent()              {}
func (JobSubmitted) isEvent()                {}
func (JobPermitsChanged) isEvent()           {}
func (JobPermitNeedChanged) isEvent()        {}
func (JobsCancelled) isEvent()               {}
func (TaskPlaced) isEvent()                  {}
func (TaskRunning) isEvent()                 {}
func (TaskStopping) isEvent()                {}
func (TaskEnded) isEvent()                   {}
func (TaskSuspected) isEvent()               {}
func (TaskUsageReported) isEvent()           {}
func (RequestPermitsChanged) isEvent()       {}

// Outcome is how an attempt at a task ended.
type Outcome = model.Outcome

// The outcomes of an attempt. A worker reports Failed for a task that it stopped
// for exceeding its size. NotStarted does not count against the worker.
const (
	Succeeded  = model.OutcomeSucceeded
	Failed     = model.OutcomeFailed
	Lost       = model.OutcomeLost
	Preempted  = model.OutcomePreempted
	Stopped    = model.OutcomeStopped
	NotStarted = model.OutcomeNotStarted
)
