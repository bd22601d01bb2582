package state

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// The members of a gang run together or not at all: the end of one member ends
// the attempt of all. A new attempt waits until no member holds resources.

// restarts returns how often tasks of the job have failed and were started over.
func (j *Job) restarts() int32 {
	n := int32(0)
	for i := range j.Tasks {
		n += int32(j.Tasks[i].Restarts)
	}
	return n
}

// handleSucceeded ends a task, and with it its whole gang: members succeed together.
// That holds for a member as well whose worker was given up for lost meanwhile.
func (m *Machine) handleSucceeded(j *Job, r *api.Report) {
	attempt := j.Tasks[r.Task.Index].Attempt
	m.endAttempt(j, r.Task, model.TaskSucceeded, model.OutcomeSucceeded, r)
	if j.Spec.Policy != model.PolicyGang {
		return
	}
	for i := range j.Spec.Tasks {
		if t := j.Task(i); t != nil && t.Attempt == attempt && !t.Phase.Done() {
			m.succeedMember(j, model.TaskID{Job: j.ID, Index: i})
		}
	}
}

// succeedMember ends a member of a gang of which another has succeeded.
func (m *Machine) succeedMember(j *Job, id model.TaskID) {
	t := &j.Tasks[id.Index]
	if t.Phase.HoldsResources() {
		m.endAttempt(j, id, model.TaskSucceeded, model.OutcomeSucceeded, &api.Report{Task: id})
		return
	}
	ev := m.taskEvent(id, t)
	ev.To, ev.Outcome = model.TaskSucceeded, model.OutcomeSucceeded
	m.setPhase(j, id, model.TaskSucceeded)
	m.emit(ev)
}

// handleBroken takes in that a member ended because another did: it waits again.
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

// stopGang stops the members that are still held after one has ended, so that
// all wait again and start together.
func (m *Machine) stopGang(j *Job, reason string) {
	m.stopMembers(j, StopPreempted, reason)
}

// failGang fails the whole gang after a member has failed for good.
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
