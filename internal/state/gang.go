package state

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// The members of a gang run together or not at all: when one member ends, the
// attempt ends for all. A new attempt starts once no member holds resources.

// restarts returns how often tasks of the job were restarted after a failure.
func (j *Job) restarts() int32 {
	n := int32(0)
	for i := range j.Tasks {
		n += int32(j.Tasks[i].Restarts)
	}
	return n
}

// handleSucceeded ends a task as succeeded, also if its attempt was released before. The
// members of a gang succeed together, including a member whose worker has been marked as
// lost meanwhile. A task of a service is pending again.
func (m *Machine) handleSucceeded(j *Job, r *api.Report) {
	if j.Spec.Policy == model.PolicyService && m.restartService(j, r) {
		return
	}
	attempt := j.Tasks[r.Task.Index].Attempt
	if j.Tasks[r.Task.Index].Phase.HoldsResources() {
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

// restartService makes a task of a service pending after its attempt has succeeded. It
// returns false if the task is to end.
func (m *Machine) restartService(j *Job, r *api.Report) bool {
	t := &j.Tasks[r.Task.Index]
	if j.Cancelled || t.Stop == StopFailed {
		return false
	}
	if t.Phase.HoldsResources() {
		m.endAttempt(j, r.Task, model.TaskPending, model.OutcomeSucceeded, r)
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
