package state

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Event is one change that a command made, told to the leader's control
// goroutine so that the scheduler and the lease tables follow the state.
type Event interface{ isEvent() }

// ConfigChanged tells that a new configuration is in force.
type ConfigChanged struct {
	Version      uint64
	Declarations *model.Declarations // shared; not to be changed
}

// WorkerChanged tells a worker's specification, mode or session.
type WorkerChanged struct {
	Spec    model.WorkerSpec
	Mode    model.WorkerMode
	Session uint64
	At      model.Time
}

// WorkersRemoved tells lost workers that are no longer known.
type WorkersRemoved struct {
	IDs []model.WorkerID
}

// MembersChanged tells that the list of entry processes has changed.
type MembersChanged struct{}

// JobSubmitted tells a new job.
type JobSubmitted struct {
	Job *Job // owned by the machine; read it in the same goroutine only
}

// JobsCancelled tells jobs whose waiting tasks are cancelled.
type JobsCancelled struct {
	IDs []model.JobID
}

// JobFinished tells a job all of whose tasks are done.
type JobFinished struct {
	ID model.JobID
	At model.Time
}

// WorkflowChanged tells that the first task of a workflow has started, or that it
// has ended. It is not told of single runs of one that runs at set times.
type WorkflowChanged struct {
	Workflow *Workflow // owned by the machine; read it in the same goroutine only
	At       model.Time
}

// JobRemoved tells a finished job that is no longer kept.
type JobRemoved struct {
	ID model.JobID
}

// TaskChanged tells that a task went from one phase to another.
type TaskChanged struct {
	Task    model.TaskID
	From    model.TaskPhase
	To      model.TaskPhase
	Worker  model.WorkerID // where it is or was held
	Fence   model.Fence
	Size    model.Resources
	Outcome model.Outcome   // when To no longer holds resources
	RanFor  time.Duration   // when To no longer holds resources
	Used    model.Resources // peak use, where reported
	At      model.Time
}

// PlacementRefused tells a placement that the state did not admit.
type PlacementRefused struct {
	Task   model.TaskID
	Worker model.WorkerID
	Reason RefusalReason
	At     model.Time
}

// ExecutorChanged tells an executor that serves, or no longer does.
type ExecutorChanged struct {
	Spec      model.ExecutorSpec
	Region    string
	Leaving   bool // serves what it has, takes nothing new
	Withdrawn bool
}

// CeilingChanged tells the bound of a team's request permits.
type CeilingChanged struct {
	Team    string
	Permits int64
}

func (ConfigChanged) isEvent()    {}
func (CeilingChanged) isEvent()   {}
func (MembersChanged) isEvent()   {}
func (WorkersRemoved) isEvent()   {}
func (WorkerChanged) isEvent()    {}
func (JobSubmitted) isEvent()     {}
func (JobsCancelled) isEvent()    {}
func (JobFinished) isEvent()      {}
func (JobRemoved) isEvent()       {}
func (WorkflowChanged) isEvent()  {}
func (TaskChanged) isEvent()      {}
func (PlacementRefused) isEvent() {}
func (ExecutorChanged) isEvent()  {}

// RefusalReason says why a placement was not admitted.
type RefusalReason string

// The reasons for which a placement is refused.
const (
	RefusedTaskNotPending    RefusalReason = "task_not_pending"
	RefusedWorkerUnknown     RefusalReason = "worker_unknown"
	RefusedWorkerNotOpen     RefusalReason = "worker_not_open"
	RefusedNoRoom            RefusalReason = "no_room"
	RefusedTeamLimit         RefusalReason = "team_limit"
	RefusedGangIncomplete    RefusalReason = "gang_incomplete"
	RefusedBelowDeclared     RefusalReason = "below_declared_size"
	RefusedNotDistinctWorker RefusalReason = "not_distinct_worker"
)
