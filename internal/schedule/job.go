package schedule

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// taskState is the state of a task in the scheduler.
type taskState uint8

const (
	taskReady     taskState = iota // pending, may be placed
	taskWaiting                    // pending, in backoff
	taskTentative                  // assigned within the current plan only
	taskPlaced                     // assigned, start not confirmed
	taskRunning                    // assigned, start confirmed
	taskStopping                   // assigned, being stopped
	taskDone
)

func (t taskState) assigned() bool { return t >= taskTentative && t <= taskStopping }

// stoppable reports whether a plan may stop the task.
func (t taskState) stoppable() bool { return t == taskPlaced || t == taskRunning }

// task is kept small, since there are hundreds of thousands.
type task struct {
	size     model.Resources // reserved size, while assigned
	since    model.Time      // placement, then confirmed start; in taskWaiting, end of the backoff or zero for never
	worker   int32           // slot, while assigned
	restarts uint16          // failures so far, of a gang those of all members, once a run
	state    taskState
	over     overState
}

// overState is how a task that exceeds its size has been handled.
type overState uint8

const (
	withinSize overState = iota
	overThrottled
	overStopped
)

// job is one job that is not finished.
type job struct {
	id            model.JobID
	group         *group
	submittedAt   model.Time
	promisedStart model.Time    // time by which the caller was promised a start
	startBy       model.Time    // orders jobs: the promised start, or later once that cannot be kept
	startByUntil  model.Time    // when startBy changes
	runTime       time.Duration // declared
	tasks         []task
	failures      *jobFailures // failure record; nil without failures
	suspects      map[int32]suspect
	reservation   *reservation // workers reserved for it, or nil
	permits       *permitSet   // nil if it needs none
	preferred     preference   // of workers, by their speed
	booking       *booking     // room held for it, or nil
	reserveAfter  model.Time   // earliest next attempt to reserve workers, if it needs permits
	lapses        uint8        // bookings that have lapsed since a task was placed
	bookAfter     model.Time   // earliest next booking; a booking has lapsed

	ready              int32 // tasks that may be placed
	waiting            int32 // tasks in backoff
	assigned           int32
	running            int32 // start confirmed, not stopping
	done               int32
	next               int32 // no ready task is below this position
	maxRestarts        int32
	limitTurns         uint8  // turns of limitHold without a start of one of its tasks
	reportedFitFailure uint32 // fitFailureVersion of the group that was reported

	queued     bool // in group.jobs
	budgetOnly bool // fails only by its restart budget
	cancelled  bool // cancelled or failed; has no pending tasks
	started    bool // a task has been placed, or the missed promised start was reported
	succeeded  bool // a task has succeeded
}

func (j *job) patience() model.Time { return j.promisedStart - j.submittedAt }

// startable reports whether j has tasks to place. A gang waits until none of its
// tasks is in backoff or still assigned, so that all start together.
func (j *job) startable() bool {
	return j.ready > 0 && (j.group.policy != gang || j.waiting == 0 && j.assigned == 0)
}

// tasksAtOnce returns how many tasks of j must start together.
func (j *job) tasksAtOnce() int64 {
	if j.group.policy == gang {
		return int64(j.ready)
	}
	return 1
}

// fitsAsGroup reports whether no other job of the group fits where j does not. Permits, and
// the workers on which a job has as many tasks as it may, differ from job to job.
func (j *job) fitsAsGroup() bool { return j.permits == nil && j.group.perWorker == 0 }

// less orders the jobs of a team by startBy, then by submission.
func (j *job) less(o *job) bool {
	if j.startBy != o.startBy {
		return j.startBy < o.startBy
	}
	return j.id < o.id
}

// nextReady returns the lowest index of a ready task from index i on; -1 for none.
func (j *job) nextReady(i int32) int32 {
	for ; int(i) < len(j.tasks); i++ {
		if j.tasks[i].state == taskReady {
			return i
		}
	}
	return -1
}

// finished reports whether no task of the job is pending or assigned.
func (j *job) finished() bool {
	return j.assigned == 0 && (j.cancelled || int(j.done) == len(j.tasks))
}
