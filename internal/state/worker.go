package state

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// Worker is one worker with its tasks and executors.
type Worker struct {
	Spec    model.WorkerSpec `cbor:"1,keyasint"`
	Mode    model.WorkerMode `cbor:"2,keyasint"`
	Session uint64           `cbor:"3,keyasint"` // log index of its last announcement
	// Held lists the tasks that hold resources on the worker. New tasks are
	// appended; a removed task is replaced by the last one.
	Held []model.TaskID `cbor:"4,keyasint,omitempty"`
	// Reserved is the sum of the sizes of Held. It exceeds Spec.Capacity only after
	// the capacity was reduced while tasks were held.
	Reserved model.Resources `cbor:"5,keyasint"`
	// TaskExecutors lists the executors that service tasks on the worker opened.
	TaskExecutors []taskExecutor `cbor:"6,keyasint,omitempty"`
	LostAt        model.Time     `cbor:"7,keyasint,omitempty"`
	// Lost lists the tasks under which the worker may have crashed when its lease expired,
	// until it is known whether it has. A worker that is not lost may have some, see
	// LoseAttempts.
	Lost []lostAttempt `cbor:"8,keyasint,omitempty"`
	// CapacitySequence is that of the heartbeat that reported Spec.Capacity; zero if it
	// is unknown.
	CapacitySequence uint64 `cbor:"9,keyasint,omitempty"`
	// Ending lists the attempts that have ended in the state and may still run on the
	// worker. Held and Reserved do not include them.
	Ending []EndingAttempt `cbor:"10,keyasint,omitempty"`
	// Speed is the estimated speed; nil before the first observation.
	Speed *speed.Estimate `cbor:"11,keyasint,omitempty"`
	// RestartedAt is when another incarnation than the one before was last announced under the
	// ID; zero: never.
	RestartedAt model.Time `cbor:"12,keyasint,omitempty"`
}

// taskExecutor is an executor that exists as long as its task.
type taskExecutor struct {
	Task model.TaskID       `cbor:"1,keyasint"`
	Spec model.ExecutorSpec `cbor:"2,keyasint"`
}

// workerTable numbers workers in order of their first announcement, so that a
// task refers to its worker by a small number.
type workerTable struct {
	list  []*Worker
	index map[model.WorkerID]int32
}

func newWorkerTable() workerTable {
	return workerTable{index: make(map[model.WorkerID]int32)}
}

// get returns the worker with the ID and its number, or nil and noWorker.
func (t *workerTable) get(id model.WorkerID) (*Worker, int32) {
	n, ok := t.index[id]
	if !ok {
		return nil, noWorker
	}
	return t.list[n], n
}

// add returns the worker with the ID and its number, and adds an unknown worker.
func (t *workerTable) add(id model.WorkerID) (*Worker, int32) {
	if w, n := t.get(id); w != nil {
		return w, n
	}
	n := int32(len(t.list))
	w := &Worker{}
	t.list = append(t.list, w)
	t.index[id] = n
	return w, n
}

// Worker returns the worker with the ID, or nil. The caller must not modify it.
func (m *Machine) Worker(id model.WorkerID) *Worker {
	w, _ := m.workers.get(id)
	return w
}

// Workers returns all known workers in order of their first announcement.
// The caller must not modify them.
func (m *Machine) Workers() []*Worker {
	return slices.DeleteFunc(slices.Clone(m.workers.list), func(w *Worker) bool { return w == nil })
}

// lostWorkerRetention is how long a lost worker stays in the state, so that
// operators see it and a resent announcement is told apart from a new one.
const lostWorkerRetention = 24 * time.Hour

// removableWorkers returns the workers that have been lost for longer than
// lostWorkerRetention.
func (m *Machine) removableWorkers(now model.Time) []model.WorkerID {
	before := now.Add(-lostWorkerRetention)
	var out []model.WorkerID
	for _, w := range m.workers.list {
		if w != nil && w.Mode == model.WorkerLost && w.LostAt < before {
			out = append(out, w.Spec.ID)
		}
	}
	return out
}

// removeWorkers removes lost workers. Their numbers are not reused, since ended
// tasks still refer to them.
func (m *Machine) removeWorkers() {
	removed := m.removableWorkers(m.now)
	for _, id := range removed {
		w, n := m.workers.get(id)
		m.speeds.remove(w.Speed)
		m.workers.list[n] = nil
		delete(m.workers.index, id)
	}
	if len(removed) > 0 {
		m.emit(WorkersRemoved{IDs: removed})
	}
}

// announce registers a worker under a new session. Since an announcing worker
// runs no task, the tasks of its earlier session are lost. A resent announcement
// of the same incarnation keeps the session; an older incarnation is refused.
func (m *Machine) announce(c *Announce) Result {
	w, _ := m.workers.add(c.Spec.ID)
	known := w.Session != 0
	if known && c.Spec.Incarnation != 0 && w.Mode != model.WorkerLost {
		if c.Spec.Incarnation == w.Spec.Incarnation {
			return Result{Session: w.Session, Existing: true}
		}
		if c.Spec.Incarnation < w.Spec.Incarnation {
			return Result{Err: errkind.New(errkind.StaleLease, "a later incarnation of worker %s has announced itself", c.Spec.ID)}
		}
	}
	crashed := known && w.Spec.Incarnation != 0 && c.Spec.Incarnation > w.Spec.Incarnation
	earlier := w.Lost
	m.explainLoss(w, crashed)
	m.explainLossesAt(c.Spec.Address, w)
	suspects := m.suspectsBeside(w, c.CommonCause, earlier)
	m.loseTasks(w, "the worker started again")
	if crashed {
		m.recordCrash(w.Spec.ID, suspects)
	}
	m.withdrawWorkerExecutors(w)
	if w.Speed != nil && (c.Spec.Incarnation == 0 || c.Spec.Incarnation != w.Spec.Incarnation) {
		w.Speed.Restart()
	}
	if known && c.Spec.Incarnation != w.Spec.Incarnation {
		w.RestartedAt = m.now
	}
	mode := model.WorkerOpen
	if w.Mode == model.WorkerCordoned || w.Mode == model.WorkerDraining {
		mode = w.Mode // the mode set by an operator persists across restarts of the worker
	}
	w.Spec, w.CapacitySequence = w.announced(c)
	w.Mode = mode
	w.Session = m.index
	w.LostAt = 0
	m.emit(WorkerChanged{Spec: w.Spec, Mode: w.Mode, Session: w.Session, At: m.now})
	for _, e := range w.Spec.Executors {
		m.serveExecutor(e, w.Spec.Region, !m.receives(w))
	}
	return Result{Session: w.Session}
}

func (m *Machine) setMode(c *SetMode) Result {
	w, _ := m.workers.get(c.Worker)
	if w == nil {
		return Result{Err: errkind.New(errkind.UnknownWorker, "worker %q is not known", c.Worker)}
	}
	if c.Session != 0 && c.Session != w.Session {
		return Result{Err: errkind.New(errkind.StaleLease, "worker %s has a newer session", c.Worker)}
	}
	if w.Mode == model.WorkerLost {
		return Result{Err: errkind.New(errkind.UnknownWorker, "worker %q is lost and must announce itself again", c.Worker)}
	}
	if w.Mode == c.Mode {
		return Result{Existing: true}
	}
	w.Mode = c.Mode
	m.emit(WorkerChanged{Spec: w.Spec, Mode: w.Mode, Session: w.Session, At: m.now})
	m.reportExecutors(w)
	return Result{}
}

// markWorkersLost marks workers as lost whose leases have expired. By then the
// workers have stopped all tasks by their own clocks.
func (m *Machine) markWorkersLost(c *MarkWorkersLost) Result {
	n := 0
	for _, lost := range c.Workers {
		w, _ := m.workers.get(lost.ID)
		if w == nil || w.Session != lost.Session || w.Mode == model.WorkerLost {
			continue
		}
		n++
		suspects := m.suspectsOn(w, lost.CommonCause)
		m.loseTasks(w, "the worker was lost")
		if lost.Replaced {
			m.explainLoss(w, true)
			m.recordCrash(w.Spec.ID, suspects)
		} else {
			m.recordUnexplained(w, suspects)
		}
		m.withdrawWorkerExecutors(w)
		w.Mode = model.WorkerLost
		w.LostAt = m.now
		m.emit(WorkerChanged{Spec: w.Spec, Mode: w.Mode, Session: w.Session, At: m.now})
	}
	return Result{Count: n}
}

// loseAttempts ends attempts on a worker whose lease has expired. The worker keeps the others
// and is not marked as lost.
func (m *Machine) loseAttempts(c *LoseAttempts) Result {
	w, _ := m.workers.get(c.Worker)
	if w == nil || w.Session != c.Session || w.Mode == model.WorkerLost {
		return Result{}
	}
	if c.Heard {
		m.explainLoss(w, false)
		return Result{}
	}
	suspects := m.suspectsOn(w, c.CommonCause)
	lost := make(map[model.TaskID]bool, len(c.Attempts))
	for _, a := range c.Attempts {
		if slices.Contains(w.Held, a.Task) && m.jobs[a.Task.Job].Tasks[a.Task.Index].Fence == a.Fence {
			m.loseTask(a.Task, "the lease of its worker has expired")
			lost[a.Task] = true
		}
	}
	m.recordUnexplained(w, slices.DeleteFunc(suspects, func(a lostAttempt) bool { return !lost[a.Task] }))
	return Result{Count: len(lost)}
}

// loseTasks ends all attempts on w as lost, for the given reason.
func (m *Machine) loseTasks(w *Worker, reason string) {
	m.removeAllEnding(w)
	for _, id := range slices.Clone(w.Held) {
		m.loseTask(id, reason)
	}
}

// reportExecutors reports the executors of a worker after a change of what it may receive.
func (m *Machine) reportExecutors(w *Worker) { m.eachExecutor(w, m.emit) }

// eachExecutor calls fn with the event of each executor of a worker. Those that get no new
// requests are leaving.
func (m *Machine) eachExecutor(w *Worker, fn func(Event)) {
	leaving := !m.receives(w)
	for _, e := range w.Spec.Executors {
		fn(ExecutorChanged{Spec: e, Region: w.Spec.Region, Leaving: leaving})
	}
	for _, s := range w.TaskExecutors {
		fn(ExecutorChanged{Spec: s.Spec, Region: w.Spec.Region, Leaving: leaving || m.stopping(s.Task)})
	}
}

// stopping reports whether a task is being stopped.
func (m *Machine) stopping(id model.TaskID) bool {
	j := m.jobs[id.Job]
	return j != nil && j.Task(id.Index) != nil && j.Task(id.Index).Phase == model.TaskStopping
}

func (m *Machine) withdrawWorkerExecutors(w *Worker) {
	if w.Mode != model.WorkerLost {
		for _, e := range w.Spec.Executors {
			m.withdrawExecutor(e, w.Spec.Region)
		}
	}
	for _, s := range w.TaskExecutors {
		m.withdrawExecutor(s.Spec, w.Spec.Region)
	}
	w.TaskExecutors = nil
}

func (m *Machine) replayExecutors(w *Worker, fn func(Event)) {
	if w.Mode != model.WorkerLost {
		m.eachExecutor(w, fn)
	}
}

// addTaskExecutor records and reports the executor that a service task opened.
func (m *Machine) addTaskExecutor(w *Worker, id model.TaskID, spec model.ExecutorSpec) {
	if slices.ContainsFunc(w.TaskExecutors, func(s taskExecutor) bool { return s.Task == id }) {
		return
	}
	w.TaskExecutors = append(w.TaskExecutors, taskExecutor{Task: id, Spec: spec})
	m.serveExecutor(spec, w.Spec.Region, !m.receives(w))
}

// endTaskExecutor withdraws the executor of a task that has ended, or reports it
// as leaving if the task is only stopping.
func (m *Machine) endTaskExecutor(w *Worker, id model.TaskID, ended bool) {
	i := slices.IndexFunc(w.TaskExecutors, func(s taskExecutor) bool { return s.Task == id })
	if i < 0 {
		return
	}
	spec := w.TaskExecutors[i].Spec
	if !ended {
		m.emit(ExecutorChanged{Spec: spec, Region: w.Spec.Region, Leaving: true})
		return
	}
	w.TaskExecutors = slices.Delete(w.TaskExecutors, i, i+1)
	m.withdrawExecutor(spec, w.Spec.Region)
}
