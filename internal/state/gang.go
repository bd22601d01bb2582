package state

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// The members of a gang run together or not at all: when one member ends, the
// attempt ends for all. A new attempt starts once no member holds resources. An attempt counts
// against the restart budget once, however many members fail in it.

// gangRestarts returns how often the gang was restarted after an attempt in which members have
// failed. All members have the same number.
func (j *Job) gangRestarts() uint16 {
	n := uint16(0)
	for i := range j.Tasks {
		n = max(n, j.Tasks[i].Restarts)
	}
	return n
}

// failureCounted reports whether the current attempt of t counts as failed already, since
// another member of the gang has failed in it.
func (j *Job) failureCounted(t *Task) bool {
	return j.Spec.Policy == model.PolicyGang && j.FailedRun == t.Attempt
}

// countRestart counts a restart after the failure of t: of all members of a gang, or of t.
func (j *Job) countRestart(t *Task) {
	if j.Spec.Policy != model.PolicyGang {
		t.Restarts = addSaturating(t.Restarts)
		return
	}
	n := addSaturating(j.gangRestarts())
	for i := range j.Tasks {
		j.Tasks[i].Restarts = n
	}
	j.FailedRun = t.Attempt
}

// upgradeRestarts counts the restarts of a gang in the state of an earlier build for all of its
// members. An attempt that is ending counts as failed if a member with the most restarts has
// ended.
func (j *Job) upgradeRestarts() {
	n := j.gangRestarts()
	if j.Spec.Policy != model.PolicyGang || j.FailedRun != 0 || n == 0 {
		return
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if j.held() > 0 && t.Phase == model.TaskPending && t.Restarts == n {
			j.FailedRun = t.Attempt
		}
		t.Restarts = n
	}
}

// handleSucceeded ends a task as succeeded, also if its attempt was released before. The
// members of a gang succeed together, including a member whose worker has been marked as
// lost meanwhile. A task that lasts is pending again.
func (m *Machine) handleSucceeded(j *Job, r *api.Report) {
	if j.Spec.Lasts() && m.restartLasting(j, r) {
		return
	}
	attempt := j.Tasks[r.Task.Index].Attempt
	if j.Tasks[r.Task.Index].Phase.HoldsResources() {
		m.observeRun(j, r.Task.Index)
		m.endAttempt(j, r.Task, model.TaskSucceeded, model.OutcomeSucceeded, r)
	} else {
		m.succeedMember(j, r.Task)
	}
	if j.Spec.Policy != model.PolicyGang {
		return
	}
	for i := range j.Spec.Tasks {
		if t := j.Task(i); t != nil && t.Attempt == attempt && !t.Phase.Done() {
			m.succeedMember(j, model.TaskID{Job: j.ID, Index: i})
		}
	}
}

// restartLasting makes a task that lasts pending after its attempt has succeeded, and ends the
// attempts of the other members of its gang. It returns false if the task is to end.
func (m *Machine) restartLasting(j *Job, r *api.Report) bool {
	t := &j.Tasks[r.Task.Index]
	if j.Cancelled || t.Stop == StopFailed {
		return false
	}
	if t.Phase.HoldsResources() {
		m.endAttempt(j, r.Task, model.TaskPending, model.OutcomeSucceeded, r)
		m.stopGang(j, "another member ended")
	}
	return true
}

// succeedMember ends a gang member as succeeded after another member succeeded, or a
// pending task whose released attempt has succeeded.
func (m *Machine) succeedMember(j *Job, id model.TaskID) {
	t := &j.Tasks[id.Index]
	if t.Phase.HoldsResources() {
		ending := *t
		m.endAttempt(j, id, model.TaskSucceeded, model.OutcomeSucceeded, &api.Report{Task: id})
		m.addEnding(id, &ending)
		return
	}
	ev := m.taskEvent(id, t)
	ev.To, ev.Outcome = model.TaskSucceeded, model.OutcomeSucceeded
	m.setPhase(j, id, model.TaskSucceeded)
	m.emit(ev)
}

// handleBroken handles the report that a member ended because another member
// did. Unless the job is to end, the member is pending again.
func (m *Machine) handleBroken(j *Job, r *api.Report) {
	t := &j.Tasks[r.Task.Index]
	switch {
	case j.Cancelled:
		m.endAttempt(j, r.Task, model.TaskCancelled, model.OutcomeStopped, r)
	case t.Stop == StopFailed:
		m.endAttempt(j, r.Task, model.TaskFailed, model.OutcomeFailed, r)
	default:
		m.endAttempt(j, r.Task, model.TaskPending, model.OutcomePreempted, r)
		m.stopGang(j, "another member ended")
	}
}

// stopGang stops the members that still hold resources after one has ended, so
// that all are pending again and start together.
func (m *Machine) stopGang(j *Job, reason string) {
	m.stopMembers(j, StopPreempted, reason)
}

// failGang fails the whole gang after a member has failed without a restart.
func (m *Machine) failGang(j *Job) {
	if j.Spec.Policy != model.PolicyGang {
		return
	}
	m.endJob(j, model.TaskFailed, StopFailed, "another member failed")
}

func (m *Machine) stopMembers(j *Job, cause StopCause, reason string) {
	if j.Spec.Policy != model.PolicyGang {
		return
	}
	for i := range j.Spec.Tasks {
		if t := j.Task(i); t != nil && t.Phase.HoldsResources() {
			m.stopTask(j, model.TaskID{Job: j.ID, Index: i}, cause, reason)
		}
	}
}
