package schedule

import (
	"github.com/filbertmast/filbertmast/internal/model"
)

// taskState is where the scheduler has one task.
type taskState uint8

const (
	taskReady     taskState = iota // pending, may be placed
	taskWaiting                    // pending, in backoff
	taskTentative                  // holds within the plan being made
	taskPlaced                     // holds, start not confirmed
	taskRunning                    // holds, start confirmed
	taskStopping                   // holds, told to stop
	taskDone
)

func (t taskState) assigned() bool { return t >= taskTentative && t <= taskStopping }

// stoppable reports whether a plan may name the task to be stopped.
func (t taskState) stoppable() bool { return t == taskPlaced || t == taskRunning }

// task is kept small: there are hundreds of thousands.
type task struct {
	size     model.Resources // reserved, while it holds
	since    model.Time      // of the placement, then of the confirmed start
	worker   int32           // slot, while it holds
	restarts uint16          // failures so far
	state    taskState
	over     overState
}

// overState is how far a task over its size has been dealt with.
type overState uint8

const (
	withinSize overState = iota
	overThrottled
	overStopped
)

// job is one job that is not done yet.
type job struct {
	id            model.JobID
	group         *group
	submittedAt   model.Time
	promisedStart model.Time // the start that the caller was promised
	startBy       model.Time // by which jobs are ordered: the promise, or later once it was missed
	tasks         []task
	failures      *jobFailures // nil until a task fails
	reservation   *reservation // workers kept clear for it, or nil
	permits       *permitSet   // nil: any worker that the selectors match

	ready              int32 // tasks that may be placed
	waiting            int32 // tasks in backoff
	assigned           int32
	running            int32 // confirmed, not stopping
	done               int32
	next               int32 // no ready task is below this position
	maxRestarts        int32
	reportedFitFailure uint32 // version of the group's misfit that was told

	queued     bool // in group.jobs
	budgetOnly bool // fails by its restart budget alone
	cancelled  bool // closed: nothing pending is left
	started    bool // a task has been placed, or the missed promise was told
	succeeded  bool // a task has
}

func (j *job) patience() model.Time { return j.promisedStart - j.submittedAt }

// startable reports whether j has tasks to place. A gang waits until none of its
// tasks is in backoff or still held, so that they start together.
func (j *job) startable() bool {
	return j.ready > 0 && (j.group.policy != gang || j.waiting == 0 && j.assigned == 0)
}

// less is the order within a team: by promised start, then by submission.
func (j *job) less(o *job) bool {
	if j.startBy != o.startBy {
		return j.startBy < o.startBy
	}
	return j.id < o.id
}

// nextReady returns the lowest position of a ready task from position i on; -1 for none.
func (j *job) nextReady(i int32) int32 {
	for ; int(i) < len(j.tasks); i++ {
		if j.tasks[i].state == taskReady {
			return i
		}
	}
	return -1
}

// over reports whether nothing of the job is pending or held.
func (j *job) finished() bool {
	return j.assigned == 0 && (j.cancelled || int(j.done) == len(j.tasks))
}
