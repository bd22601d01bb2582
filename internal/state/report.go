package state

import (
	"math"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
)

// applyReports applies the reports of workers and counts those accepted. A
// report is accepted once: it must carry the fence of the task's current attempt
// and the worker's current session.
func (m *Machine) applyReports(c *Report) Result {
	accepted := 0
	for i := range c.Reports {
		r := &c.Reports[i]
		w, n := m.workers.get(r.Worker)
		if w == nil || w.Session != r.Session {
			continue
		}
		for k := range r.Reports {
			if m.applyReport(w, n, &r.Reports[k]) {
				accepted++
			}
		}
	}
	return Result{Count: accepted}
}

func (m *Machine) applyReport(w *Worker, n int32, r *api.Report) bool {
	if m.removeEnding(w, r) {
		return true
	}
	j := m.jobs[r.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(r.Task.Index)
	if t == nil || t.Worker != n || t.Fence != r.Fence || !t.takesReport(r.State) {
		return false
	}
	if r.State == api.ReportReceived {
		t.Received = true
		return true
	}
	j.saveCheckpoint(r.Task.Index, r.Checkpoint)
	if r.State != api.ReportStopped {
		m.stepStarted(j)
	}
	switch r.State {
	case api.ReportStarted:
		return m.handleStarted(w, j, r)
	case api.ReportSucceeded:
		m.handleSucceeded(j, r)
	case api.ReportLapsed:
		m.loseTask(r.Task, "the lease of the worker ended")
	case api.ReportBroken:
		m.handleBroken(j, r)
	case api.ReportFailed:
		m.handleFailed(j, r)
	case api.ReportStopped:
		m.handleStopped(j, r)
	default:
		return false
	}
	return true
}

// takesReport reports whether a report on the last attempt of t can change it: any while
// it holds resources, and that it has succeeded as long as no other attempt is placed.
func (t *Task) takesReport(s api.ReportState) bool {
	return t.Phase.HoldsResources() || t.Phase == model.TaskPending && s == api.ReportSucceeded
}

// handleStarted records a confirmed start. A report that a task still runs clears its
// suspicion.
func (m *Machine) handleStarted(w *Worker, j *Job, r *api.Report) bool {
	t := &j.Tasks[r.Task.Index]
	if t.Phase == model.TaskRunning {
		return m.settle(j, r.Task.Index)
	}
	if t.Phase != model.TaskStarting {
		return false
	}
	ev := m.taskEvent(r.Task, t)
	if m.now.Sub(t.Since) > model.StartSpan {
		t.Unconfirmed = t.Since
	}
	t.Since, t.Received = m.now, true
	m.setPhase(j, r.Task, model.TaskRunning)
	ev.To = model.TaskRunning
	m.emit(ev)
	if r.Executor != nil && j.Spec.Service != "" {
		spec := *r.Executor
		spec.Service = j.Spec.Service
		m.addTaskExecutor(w, r.Task, spec)
	}
	return true
}

// handleFailed restarts a failed task while its restart budget lasts.
func (m *Machine) handleFailed(j *Job, r *api.Report) {
	t := &j.Tasks[r.Task.Index]
	j.recordReason(r.Task.Index, r.Reason)
	counted := j.failureCounted(t)
	if j.Cancelled || t.Stop == StopFailed || j.Spec.NotRepeatable || !counted && !m.mayRestart(j, t) {
		m.endAttempt(j, r.Task, model.TaskFailed, model.OutcomeFailed, r)
		m.failGang(j)
		return
	}
	m.endAttempt(j, r.Task, model.TaskPending, model.OutcomeFailed, r)
	if !counted {
		j.countRestart(t)
	}
	m.stopGang(j, "another member failed")
}

// mayRestart reports whether the restart budget allows one more start after a
// failure. Tasks that last have no budget: they are always restarted, with the
// scheduler's backoff.
func (m *Machine) mayRestart(j *Job, t *Task) bool {
	switch {
	case j.Spec.Lasts():
		return true
	case j.Spec.Policy == model.PolicyGang:
		return int32(j.gangRestarts()) < j.Spec.MaxRestarts
	}
	return int32(t.Restarts) < j.Spec.MaxRestarts
}

// handleStopped handles a confirmed stop. The cause of the stop determines the
// next phase of the task.
func (m *Machine) handleStopped(j *Job, r *api.Report) {
	t := &j.Tasks[r.Task.Index]
	j.recordReason(r.Task.Index, r.Reason)
	switch {
	case j.Cancelled:
		m.endAttempt(j, r.Task, model.TaskCancelled, model.OutcomeStopped, r)
	case t.Stop == StopPreempted || t.Stop == StopDrained:
		m.endAttempt(j, r.Task, model.TaskPending, model.OutcomePreempted, r)
		m.stopGang(j, "another member was stopped")
	case t.Stop == StopNone && (t.Phase == model.TaskStarting || j.Step != nil):
		m.endAttempt(j, r.Task, model.TaskPending, model.OutcomeNotStarted, r)
		m.stopGang(j, "another member was not taken")
	default:
		m.endAttempt(j, r.Task, model.TaskFailed, model.OutcomeFailed, r)
	}
}

// loseTask ends an attempt whose worker or lease was lost.
func (m *Machine) loseTask(id model.TaskID, reason string) {
	j := m.jobs[id.Job]
	t := &j.Tasks[id.Index]
	t.Losses = addSaturating(t.Losses)
	to, outcome := model.TaskPending, model.OutcomeLost
	switch {
	case j.Cancelled:
		to = model.TaskCancelled
	case t.Stop == StopFailed:
		to = model.TaskFailed
	case j.Spec.NotRepeatable:
		// The attempt may have run even if its start was never confirmed.
		to = model.TaskFailed
		reason += "; the task may have run and is not repeatable"
	}
	j.recordReason(id.Index, reason)
	m.endAttempt(j, id, to, outcome, &api.Report{Task: id})
	m.stopGang(j, "another member was lost")
}

// endAttempt moves a task that holds resources to a phase that holds none, and
// charges its run time.
func (m *Machine) endAttempt(j *Job, id model.TaskID, to model.TaskPhase, outcome model.Outcome, r *api.Report) {
	t := &j.Tasks[id.Index]
	ev := m.taskEvent(id, t)
	ev.To = to
	ev.Outcome = outcome
	ev.FailureCounted = outcome == model.OutcomeFailed && j.failureCounted(t)
	ev.Used = r.Used
	if t.Phase != model.TaskStarting {
		ev.RanFor = m.now.Sub(t.Since)
		m.chargeRun(j, t, ev.RanFor)
	}
	t.Stop = StopNone
	m.setPhase(j, id, to)
	m.emit(ev)
}

// chargeRun charges one run at the job's price. A job whose promised start was
// missed is refunded the difference to the cheapest price.
func (m *Machine) chargeRun(j *Job, t *Task, ran time.Duration) {
	amount := ledger.Charge(j.Price, t.Size, ran)
	refund := int64(0)
	if j.StartMissed {
		refund = amount - ledger.Charge(j.CheapestPrice, t.Size, ran)
	}
	a, ok := m.accounts[j.Team]
	if !ok {
		a = &ledger.Account{}
		m.accounts[j.Team] = a
	}
	a.Charge(amount)
	a.Refund(refund)
	j.Charged += amount
	j.Refunded += refund
}

// stop stops tasks that are starting or running; other tasks stay pending or
// ended.
func (m *Machine) stop(c *Stop) Result {
	n := 0
	for _, s := range c.Tasks {
		j := m.jobs[s.Task.Job]
		if j == nil || j.Task(s.Task.Index) == nil {
			continue
		}
		if m.stopTask(j, s.Task, s.Cause, s.Reason) {
			n++
			m.stopMembers(j, s.Cause, s.Reason)
		}
	}
	return Result{Count: n}
}

func (m *Machine) stopTask(j *Job, id model.TaskID, cause StopCause, reason string) bool {
	t := &j.Tasks[id.Index]
	if t.Phase != model.TaskStarting && t.Phase != model.TaskRunning {
		if t.Phase == model.TaskStopping && (cause == StopCancelled || cause == StopFailed) {
			t.Stop = cause // a final cause overrides one after which the task would be pending again
		}
		return false
	}
	ev := m.taskEvent(id, t)
	if t.Phase == model.TaskStarting {
		t.Unconfirmed = t.Since
		t.Since = m.now // a task without a confirmed start is charged from its stop on
	}
	t.Stop = cause
	j.recordReason(id.Index, reason)
	m.setPhase(j, id, model.TaskStopping)
	m.endTaskExecutor(m.workers.list[t.Worker], id, false)
	ev.To = model.TaskStopping
	m.emit(ev)
	return true
}

// SessionOf returns the current session of a worker. The error is of kind
// UnknownWorker if the worker is unknown or lost.
func (m *Machine) SessionOf(id model.WorkerID) (uint64, error) {
	w, _ := m.workers.get(id)
	if w == nil || w.Mode == model.WorkerLost {
		return 0, errkind.New(errkind.UnknownWorker, "worker %q is not known or its lease has expired", id)
	}
	return w.Session, nil
}

func addSaturating(n uint16) uint16 {
	if n == math.MaxUint16 {
		return n
	}
	return n + 1
}
