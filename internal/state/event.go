package state

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Event is one change made by a command. The leader's control goroutine handles
// events to keep the scheduler and the lease tables in step with the state.
type Event interface{ isEvent() }

// ConfigChanged reports a new configuration.
type ConfigChanged struct {
	Version      uint64
	Declarations *model.Declarations // shared; must not be modified
	// WithdrawnQueues are the last declarations of withdrawn queues with unfinished work.
	// Shared; must not be modified.
	WithdrawnQueues []model.Queue
}

// ServedQueues returns the declared queues and the withdrawn ones with unfinished work.
func (e *ConfigChanged) ServedQueues() []model.Queue {
	return slices.Concat(e.Declarations.Queues, e.WithdrawnQueues)
}

// WorkerChanged reports a new specification, mode or session of a worker.
type WorkerChanged struct {
	Spec    model.WorkerSpec
	Mode    model.WorkerMode
	Session uint64
	At      model.Time
}

// EndingChanged reports the resources of the attempts that have ended in the state and
// may still run on a worker.
type EndingChanged struct {
	Worker model.WorkerID
	Size   model.Resources
}

// WorkerSpeedChanged reports a new estimate of a worker's speed. Small changes are not reported.
type WorkerSpeedChanged struct {
	Worker   model.WorkerID
	Permille int64 // thousandths of the normal speed
}

// WorkersRemoved reports lost workers that have been removed from the state.
type WorkersRemoved struct {
	IDs []model.WorkerID
}

// MembersChanged reports that the list of entry processes has changed.
type MembersChanged struct{}

// JobSubmitted reports a new job.
type JobSubmitted struct {
	Job *Job // owned by the Machine; may be read in its goroutine only
}

// JobsCancelled reports jobs whose pending tasks are cancelled or failed.
type JobsCancelled struct {
	IDs []model.JobID
}

// JobFinished reports a job whose tasks have all ended.
type JobFinished struct {
	ID model.JobID
	At model.Time
}

// WorkflowChanged reports that the first task of a workflow has started, or that
// the workflow has ended. It is not emitted for single runs of a recurring
// workflow.
type WorkflowChanged struct {
	Workflow *Workflow // owned by the Machine; may be read in its goroutine only
	At       model.Time
}

// JobRemoved reports a finished job that has been removed from the state.
type JobRemoved struct {
	ID model.JobID
}

// TaskChanged reports that a task has changed its phase.
type TaskChanged struct {
	Task    model.TaskID
	From    model.TaskPhase
	To      model.TaskPhase
	Worker  model.WorkerID // of the current or last attempt
	Fence   model.Fence
	Size    model.Resources
	Outcome model.Outcome   // set if To holds no resources
	RanFor  time.Duration   // set if To holds no resources
	Used    model.Resources // peak usage, if reported
	At      model.Time
	// FailureCounted is set for a failure that uses up no restart, since another member of the
	// gang has failed in the same attempt.
	FailureCounted bool
}

// WorkerCrashed reports the certain crash of a worker under tasks.
type WorkerCrashed struct {
	Worker   model.WorkerID
	Suspects int // tasks that may have caused it
}

// TaskSuspected reports a change of what is known of the workers that were lost under
// a task. All counts are zero if the task is no longer suspected.
type TaskSuspected struct {
	Task        model.TaskID
	Worker      model.WorkerID // of the current or last attempt
	Crashes     int            // workers that certainly crashed
	Doubtful    int            // crashes that the task may not have been part of
	Unexplained int            // lost workers not heard of since
	Near        bool           // a worker crashed soon after its start, or may not have got it
	HeldUntil   model.Time     // the task is not started before
	At          model.Time
}

// TaskGivenUp reports that a task is not started again, since workers crash under it.
type TaskGivenUp struct {
	Task     model.TaskID
	Worker   model.WorkerID // of the last attempt
	Crashes  int
	Doubtful int  // crashes that it may not have been part of
	Silent   int  // workers that were lost in its start and not heard of since
	Sole     bool // no task of another job can have caused the last crash
}

// PlacementRefused reports a placement that was not admitted.
type PlacementRefused struct {
	Task   model.TaskID
	Worker model.WorkerID
	Reason RefusalReason
	At     model.Time
}

// ExecutorChanged reports that an executor serves, leaves or is withdrawn.
type ExecutorChanged struct {
	Spec      model.ExecutorSpec
	Region    string
	Leaving   bool // finishes its requests and gets no new ones
	Withdrawn bool
}

// CeilingChanged reports a new upper bound of a team's request permits.
type CeilingChanged struct {
	Team    string
	Permits int64
}

// PastUseChanged reports a new half-life with which past use is recorded.
type PastUseChanged struct {
	HalfLife model.Duration // zero: it is not recorded
}

func (ConfigChanged) isEvent()      {}
func (CeilingChanged) isEvent()     {}
func (EndingChanged) isEvent()      {}
func (MembersChanged) isEvent()     {}
func (WorkerSpeedChanged) isEvent() {}
func (WorkersRemoved) isEvent()     {}
func (WorkerChanged) isEvent()      {}
func (JobSubmitted) isEvent()       {}
func (JobsCancelled) isEvent()      {}
func (JobFinished) isEvent()        {}
func (JobRemoved) isEvent()         {}
func (WorkflowChanged) isEvent()    {}
func (TaskChanged) isEvent()        {}
func (WorkerCrashed) isEvent()      {}
func (TaskSuspected) isEvent()      {}
func (TaskGivenUp) isEvent()        {}
func (PlacementRefused) isEvent()   {}
func (ExecutorChanged) isEvent()    {}
func (PastUseChanged) isEvent()     {}

// RefusalReason is the reason for which a placement was not admitted.
type RefusalReason string

// The reasons for which a placement is refused.
const (
	RefusedTaskNotPending    RefusalReason = "task_not_pending"
	RefusedHeld              RefusalReason = "held"
	RefusedWorkerUnknown     RefusalReason = "worker_unknown"
	RefusedWorkerNotOpen     RefusalReason = "worker_not_open"
	RefusedEvacuated         RefusalReason = "evacuated"
	RefusedNoRoom            RefusalReason = "no_room"
	RefusedTeamLimit         RefusalReason = "team_limit"
	RefusedGangIncomplete    RefusalReason = "gang_incomplete"
	RefusedBelowDeclared     RefusalReason = "below_declared_size"
	RefusedNotDistinctWorker RefusalReason = "not_distinct_worker"
)
