package state

import (
	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// noWorker is the worker number of a task that has not been placed yet.
const noWorker int32 = -1

// Job is one job and its tasks.
type Job struct {
	ID            model.JobID   `cbor:"1,keyasint"`
	Spec          model.JobSpec `cbor:"2,keyasint"`
	Team          string        `cbor:"3,keyasint"` // charged team; may differ from Spec.Team in an open queue
	Submitted     model.Time    `cbor:"4,keyasint"`
	StartBy       model.Time    `cbor:"5,keyasint"` // submission plus patience
	Price         int64         `cbor:"6,keyasint"` // micro-units a core-second, fixed at submission
	CheapestPrice int64         `cbor:"7,keyasint"` // charged if the promised start is missed
	StartMissed   bool          `cbor:"8,keyasint,omitempty"`
	Cancelled     bool          `cbor:"9,keyasint,omitempty"`
	Reason        string        `cbor:"10,keyasint,omitempty"`
	Charged       int64         `cbor:"11,keyasint,omitempty"` // micro-units
	Refunded      int64         `cbor:"12,keyasint,omitempty"` // micro-units
	Finished      model.Time    `cbor:"13,keyasint,omitempty"`
	Version       uint64        `cbor:"14,keyasint"`           // log index of the last change
	Tasks         []Task        `cbor:"15,keyasint,omitempty"` // empty once the job has finished
	// Reasons lists the latest reasons of stops and failures of tasks, latest
	// last, at most maxReasons.
	Reasons []TaskReason `cbor:"16,keyasint,omitempty"`
	// IdempotencyKey and SubmissionDigest identify a resent submission.
	IdempotencyKey   string   `cbor:"17,keyasint,omitempty"`
	SubmissionDigest [32]byte `cbor:"18,keyasint"`

	// Ended replaces Tasks once the job has finished: a finished job needs a tenth
	// of the memory of a running one.
	Ended []EndedTask `cbor:"19,keyasint,omitempty"`
	// Step is set for a job that is a step of a workflow.
	Step *model.StepRef `cbor:"20,keyasint,omitempty"`
	// Checkpoints holds the last checkpoint of each task that has one. A gang has
	// one checkpoint for all tasks, under index 0.
	Checkpoints map[int32]string `cbor:"21,keyasint,omitempty"`
	// Suspicions holds, by index, the tasks under which workers were lost.
	Suspicions map[int32]suspicion `cbor:"22,keyasint,omitempty"`
	// FailedRun is the last attempt of a gang in which a member has failed; zero: none.
	FailedRun uint32 `cbor:"23,keyasint,omitempty"`
	// Runs holds the latest runs that are evidence of the speed of workers; nil: none. Keys 25
	// and 26 are reserved for the same.
	Runs *speed.Sample `cbor:"24,keyasint,omitempty"`

	counts  [model.TaskCancelled + 1]int32
	charged int64 // bytes, see Machine.chargeJob
}

// EndedTask is the record of one task of a finished job.
type EndedTask struct {
	Worker   int32           `cbor:"1,keyasint"` // of the last attempt, or noWorker
	Restarts uint16          `cbor:"2,keyasint,omitempty"`
	Phase    model.TaskPhase `cbor:"3,keyasint"`
}

// TaskReason is a reason that a worker or the leader reported for one task.
type TaskReason struct {
	Index  int32  `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// maxReasons is the number of reasons that are kept for each job.
const maxReasons = 32

// Task is one task of a job. Its fields are small, since a cell holds hundreds of
// thousands of tasks.
type Task struct {
	Size     model.Resources `cbor:"1,keyasint"` // reserved while the task holds resources
	Fence    model.Fence     `cbor:"2,keyasint"` // of the last attempt
	Since    model.Time      `cbor:"3,keyasint"` // start of the running attempt
	Worker   int32           `cbor:"4,keyasint"` // number in the worker table, or noWorker
	Restarts uint16          `cbor:"5,keyasint"` // after failures; of a gang those of all members, once an attempt
	Losses   uint16          `cbor:"6,keyasint"` // attempts that ended with a lost worker or lease
	Phase    model.TaskPhase `cbor:"7,keyasint"`
	Stop     StopCause       `cbor:"8,keyasint"`
	// Attempt counts the placements of the task; the first one is 1.
	Attempt uint32 `cbor:"9,keyasint,omitempty"`
	// Unconfirmed is when the current attempt was placed, if it was stopped before its
	// worker confirmed the start, or if that took longer than model.StartSpan.
	Unconfirmed model.Time `cbor:"10,keyasint,omitempty"`
	// Received is set once it is known that the worker of the current attempt got its start.
	Received bool `cbor:"11,keyasint,omitempty"`
}

// Checkpoint returns the last checkpoint of a task, or "".
func (j *Job) Checkpoint(index int32) string { return j.Checkpoints[j.checkpointIndex(index)] }

// checkpointIndex returns the key of a task's checkpoint in Checkpoints.
func (j *Job) checkpointIndex(index int32) int32 {
	if j.Spec.Policy == model.PolicyGang {
		return 0
	}
	return index
}

func (j *Job) saveCheckpoint(index int32, checkpoint string) {
	if checkpoint == "" || j.Finished != 0 {
		return
	}
	if j.Checkpoints == nil {
		j.Checkpoints = make(map[int32]string)
	}
	j.Checkpoints[j.checkpointIndex(index)] = checkpoint
}

// Task returns the task with the index, or nil if there is none or the job has
// finished.
func (j *Job) Task(index int32) *Task {
	if index < 0 || int(index) >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[index]
}

// Count returns how many tasks of j are in phase p.
func (j *Job) Count(p model.TaskPhase) int32 { return j.counts[p] }

// recount recomputes the counts after a restore.
func (j *Job) recount() {
	j.counts = [model.TaskCancelled + 1]int32{}
	for i := range j.Tasks {
		j.counts[j.Tasks[i].Phase]++
	}
	for i := range j.Ended {
		j.counts[j.Ended[i].Phase]++
	}
}

// Phase returns the phase of the whole job as the API shows it.
func (j *Job) Phase() string {
	switch {
	case j.Finished == 0 && j.held() > 0:
		return model.PhaseRunning
	case j.Finished == 0:
		return model.PhaseWaiting
	case j.counts[model.TaskFailed] > 0:
		return model.PhaseFailed
	case j.Cancelled:
		return model.PhaseCancelled
	default:
		return model.PhaseSucceeded
	}
}

// Held returns how many tasks of j hold resources.
func (j *Job) Held() int32 { return j.held() }

func (j *Job) held() int32 {
	return j.counts[model.TaskStarting] + j.counts[model.TaskRunning] + j.counts[model.TaskStopping]
}

func (j *Job) recordReason(index int32, reason string) {
	if reason == "" {
		return
	}
	if len(j.Reasons) >= maxReasons {
		j.Reasons = append(j.Reasons[:0], j.Reasons[1:]...)
	}
	j.Reasons = append(j.Reasons, TaskReason{Index: index, Reason: reason})
}

// ReasonOf returns the last reason recorded for the task with the index, or "".
func (j *Job) ReasonOf(index int32) string {
	for i := len(j.Reasons) - 1; i >= 0; i-- {
		if j.Reasons[i].Index == index {
			return j.Reasons[i].Reason
		}
	}
	return ""
}

// teamUsage is the number of a team's tasks that hold resources, and the sum of
// these resources.
type teamUsage struct {
	held     int64
	reserved model.Resources
}

func (m *Machine) team(name string) *teamUsage {
	t, ok := m.teams[name]
	if !ok {
		t = &teamUsage{}
		m.teams[name] = t
	}
	return t
}

// TeamUsage returns how many tasks of the team hold resources, and the sum of
// these resources.
func (m *Machine) TeamUsage(name string) (int64, model.Resources) {
	if t, ok := m.teams[name]; ok {
		return t.held, t.reserved
	}
	return 0, model.Resources{}
}

// Account returns the team's account, which is zero if nothing was charged.
func (m *Machine) Account(team string) ledger.Account {
	if a, ok := m.accounts[team]; ok {
		return *a
	}
	return ledger.Account{}
}

// WorkerByNumber returns the ID of the worker with the number, or "" for noWorker
// and for a worker that has been removed.
func (m *Machine) WorkerByNumber(n int32) model.WorkerID {
	if n == noWorker || m.workers.list[n] == nil {
		return ""
	}
	return m.workers.list[n].Spec.ID
}

// TaskWorker returns the worker of a task's current or last attempt, or "".
func (m *Machine) TaskWorker(t *Task) model.WorkerID { return m.WorkerByNumber(t.Worker) }

// taskEvent returns an event for t with the fields that do not depend on the
// change.
func (m *Machine) taskEvent(id model.TaskID, t *Task) TaskChanged {
	return TaskChanged{
		Task:   id,
		From:   t.Phase,
		Worker: m.TaskWorker(t),
		Fence:  t.Fence,
		Size:   t.Size,
		At:     m.now,
	}
}

// setPhase changes the phase of a task and updates all counts and sums.
func (m *Machine) setPhase(j *Job, id model.TaskID, to model.TaskPhase) {
	t := &j.Tasks[id.Index]
	from := t.Phase
	wasWaiting := j.counts[model.TaskPending] > 0
	j.counts[from]--
	j.counts[to]++
	m.updatePending(j, wasWaiting)
	t.Phase = to
	j.Version = m.index
	switch {
	case !from.HoldsResources() && to.HoldsResources():
		m.reserveTask(j, id, t)
	case from.HoldsResources() && !to.HoldsResources():
		m.releaseTask(j, id, t)
	}
	if to.Done() && j.Finished == 0 && j.allTasksDone() {
		m.finishJob(j)
	}
}

// updatePending updates the number of jobs with pending tasks in the queue of j.
func (m *Machine) updatePending(j *Job, wasWaiting bool) {
	isWaiting := j.counts[model.TaskPending] > 0
	if isWaiting && !wasWaiting {
		m.pendingJobs[j.Spec.Queue]++
	}
	if !isWaiting && wasWaiting {
		m.pendingJobs[j.Spec.Queue]--
	}
}

func (j *Job) allTasksDone() bool {
	return j.counts[model.TaskPending] == 0 && j.held() == 0
}

func (m *Machine) reserveTask(j *Job, id model.TaskID, t *Task) {
	w := m.workers.list[t.Worker]
	w.Held = append(w.Held, id)
	w.Reserved = w.Reserved.Add(t.Size)
	m.advancePastUse(j.Team)
	team := m.team(j.Team)
	team.held++
	team.reserved = team.reserved.Add(t.Size)
}

func (m *Machine) releaseTask(j *Job, id model.TaskID, t *Task) {
	w := m.workers.list[t.Worker]
	for i, held := range w.Held {
		if held == id {
			last := len(w.Held) - 1
			w.Held[i] = w.Held[last]
			w.Held = w.Held[:last]
			break
		}
	}
	w.Reserved = w.Reserved.Sub(t.Size)
	m.endTaskExecutor(w, id, true)
	m.advancePastUse(j.Team)
	team := m.team(j.Team)
	team.held--
	team.reserved = team.reserved.Sub(t.Size)
}

func (m *Machine) finishJob(j *Job) {
	j.Finished = m.now
	j.Ended = make([]EndedTask, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		j.Ended[i] = EndedTask{Worker: t.Worker, Restarts: t.Restarts, Phase: t.Phase}
	}
	j.Tasks = nil
	j.Checkpoints = nil
	j.Suspicions = nil
	j.Runs = nil
	m.chargeJob(j)
	m.finishedJobs = append(m.finishedJobs, j.ID)
	m.emit(JobFinished{ID: j.ID, At: m.now})
	if j.Step != nil {
		m.stepFinished(j)
	}
}

func outcomeOfPhase(p model.TaskPhase) model.Outcome {
	switch p {
	case model.TaskSucceeded:
		return model.OutcomeSucceeded
	case model.TaskCancelled:
		return model.OutcomeStopped
	default:
		return model.OutcomeFailed
	}
}
