package schedule

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Reason says why a task is preempted, stopped or failed, as the API shows it.
type Reason string

// The reasons.
const (
	ReasonReclaim       Reason = "reclaim"        // a team takes back its share
	ReasonUrgent        Reason = "urgent"         // less patient work of the same team needs the room
	ReasonDrain         Reason = "drain"          // the worker is being emptied
	ReasonOverSize      Reason = "over_size"      // the task used more than it reserved
	ReasonRestartBudget Reason = "restart_budget" // the task has failed too often
	ReasonBadJob        Reason = "bad_job"        // the job failed on many good workers
)

// Plan is what should be done next. Applied whole, it overcommits no worker and
// passes no limit. Nothing in a plan changes what is reserved: the caller
// applies TaskPlaced and TaskStopping for what it proposes. Placements, and
// preemptions after a short time, are proposed again until they are applied;
// the rest is told once. A new Scheduler that was told the events of an old one
// tells it again, so a caller must book a refund or a failure once a job.
type Plan struct {
	Placements  []Placement // those of a gang are contiguous and complete
	Preemptions []Preemption
	Throttles   []Throttle
	Stops       []Stop
	Failures    []Failure
	NeverFits   []FitFailure
	Refunds     []Refund
	NextWake    model.Time // when to plan again without a new event; zero for never
}

// Placement puts one task on one worker.
type Placement struct {
	Task   model.TaskID
	Worker model.WorkerID
	Size   model.Resources // to reserve: as declared, or raised to what was learned
}

// Preemption stops one task to make room or to empty a worker.
type Preemption struct {
	Task        model.TaskID
	Worker      model.WorkerID
	For         model.JobID // the job that needs the room; zero for a drain
	Reason      Reason
	Checkpoint  bool
	LostRunTime time.Duration // run time that is thrown away; zero with a checkpoint
}

// Throttle asks a worker to hold a task to its reserved size.
type Throttle struct {
	Task   model.TaskID
	Worker model.WorkerID
	Size   model.Resources
	Used   model.Resources
}

// Stop ends a task that stayed over its size after a throttle.
type Stop struct {
	Task   model.TaskID
	Worker model.WorkerID
	Reason Reason
}

// Failure ends a whole job, or one task of it, as failed.
type Failure struct {
	Job    model.JobID
	Task   int32 // position of the task; WholeJob for all
	Reason Reason
}

// WholeJob is the Task of a Failure that ends every task of the job.
const WholeJob int32 = -1

// Misfit names a waiting job that can run on no worker known now.
type FitFailure struct {
	Job     model.JobID
	Closest model.WorkerID  // the eligible worker that lacks least; empty when none matches the selector
	Missing model.Resources // what that worker's whole capacity lacks
	Err     error           // kind NoMatchingWorker, NeverFits or LimitReached
}

// Refund tells that a job had not started by its promised time.
type Refund struct{ Job model.JobID }
