package schedule

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Reason says why a task is preempted, stopped or failed, as shown by the API.
type Reason string

// Reasons for preempting, stopping or failing a task.
const (
	ReasonReclaim       Reason = "reclaim"        // a team reclaims its share
	ReasonUrgent        Reason = "urgent"         // a less patient job of the same team needs the capacity
	ReasonDrain         Reason = "drain"          // the worker is being drained
	ReasonEvacuation    Reason = "evacuation"     // the failure domain of the worker is evacuated
	ReasonOverSize      Reason = "over_size"      // the task used more than its reserved size
	ReasonRestartBudget Reason = "restart_budget" // the task has no restart left
	ReasonBadJob        Reason = "bad_job"        // the job failed on many good workers
)

// Plan holds the actions to take next. Applied as a whole, it overcommits no
// worker and exceeds no limit. A plan changes no resources by itself: the caller
// applies TaskPlaced and TaskStopping for what it proposes. Placements are
// proposed again until they are applied, and so are preemptions after a short
// time; everything else is reported once. A new Scheduler that is given the events
// of an old one reports it again, so a caller must record a refund or a failure at
// most once per job.
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

// Placement assigns one task to one worker.
type Placement struct {
	Task   model.TaskID
	Worker model.WorkerID
	Size   model.Resources // size to reserve: as declared, or raised to the learned one
}

// Preemption stops one task to free capacity or to drain a worker.
type Preemption struct {
	Task        model.TaskID
	Worker      model.WorkerID
	For         model.JobID // the job that needs the capacity; zero for a drain or an evacuation
	Reason      Reason
	Checkpoint  bool
	LostRunTime time.Duration // run time that is lost; zero with a checkpoint
}

// Throttle tells a worker to limit a task to its reserved size.
type Throttle struct {
	Task   model.TaskID
	Worker model.WorkerID
	Size   model.Resources
	Used   model.Resources
}

// Stop ends a task that still exceeds its size after a throttle.
type Stop struct {
	Task   model.TaskID
	Worker model.WorkerID
	Reason Reason
}

// Failure ends a whole job, or one of its tasks, as failed.
type Failure struct {
	Job    model.JobID
	Task   int32 // index of the task; WholeJob for all
	Reason Reason
}

// WholeJob is the Task of a Failure that ends every task of the job.
const WholeJob int32 = -1

// FitFailure reports a waiting job that does not fit on any worker known now, or
// not within the limits of its team.
type FitFailure struct {
	Job     model.JobID
	Closest model.WorkerID  // the matching worker that lacks least; empty if none matches
	Missing model.Resources // what the worker, all matching workers together or the limit of the team lacks
	Err     error           // has kind NoMatchingWorker, NeverFits or LimitReached
}

// Refund reports a job that has not started by its promised time.
type Refund struct{ Job model.JobID }
