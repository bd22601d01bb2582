package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// listActive answers a poll with the first attempt of the task of a workflow as running.
func (h *leaderHarness) listActive(poll heldPoll, workflow model.WorkflowID) {
	h.worker.clock++
	attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: workflow}, Number: 1}
	poll.answer <- &workerclient.PollResponse{Clock: h.worker.clock, Incarnation: 1, Active: []workerclient.ActiveAttempt{{Attempt: attempt}}}
}

// Guards against an attempt that counts as starting for as long as it runs.
func TestConfirmedStartIsReportedAgainIfItsReportWasNotCommitted(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.lead()
	h.log.full = true
	h.listActive(h.nextPoll(), "f")
	poll := h.nextPoll()
	h.log.full = false
	h.listActive(poll, "f")
	h.nextPoll()
	h.commitAll()
	assert.Equal(t, h.phase(task), model.TaskRunning)
}

// Guards against a job that stays pending although the scheduler has given it up and plans it no more.
func TestFailureOfJobIsProposedAgainIfItWasNotCommitted(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.lead()
	h.log.full = true
	h.core.leader.proposeFailures(&schedule.Plan{Failures: []schedule.Failure{{Job: task.Job, Task: schedule.WholeJob, Reason: schedule.ReasonBadJob}}})
	h.log.full = false
	h.core.tick()
	h.commitAll()
	assert.Equal(t, h.phase(task), model.TaskStopping)
}

// Guards against a caller who is not refunded for a missed start.
func TestRefundIsProposedAgainIfItWasNotCommitted(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.lead()
	h.log.full = true
	h.core.leader.proposeRefunds([]schedule.Refund{{Job: task.Job}})
	h.log.full = false
	h.core.tick()
	h.commitAll()
	assert.Assert(t, h.core.machine.Job(task.Job).StartMissed)
}

// Guards against a start that a leaving worker is never told to stop.
func TestStartsOfLeavingWorkerAreRevokedAgainIfTheirStopWasNotCommitted(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.lead()
	h.log.full = true
	w := h.core.machine.Worker("w")
	h.apply(&state.Command{SetMode: &state.SetMode{Worker: "w", Mode: model.WorkerLeaving, Session: w.Session}})
	h.log.full = false
	h.core.tick()
	h.commitAll()
	assert.Equal(t, h.phase(task), model.TaskStopping)
}

// Guards against a start that is neither executed nor taken back.
func TestOutdatedStartIsSentAgainIfItsStopWasNotCommitted(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	h.answer(h.nextPoll())
	task := h.placeAnother("g")
	pw := h.core.leader.polled.workers["w"]
	cmd := pw.commands[task]
	attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "g"}, Number: 1}
	h.log.full = true
	assert.Assert(t, cmd.dispatch.End(1, workerclient.Outdated), "the start was sent")
	h.core.leader.polled.startAnswered(pw, task, cmd, &attempt, workerclient.Response{Verdict: workerclient.Outdated})
	h.log.full = false
	h.answer(h.nextPoll())
	assert.Assert(t, cmd.dispatch.End(2, workerclient.Outdated), "it was sent again")
	h.core.leader.polled.startAnswered(pw, task, cmd, &attempt, workerclient.Response{Verdict: workerclient.Outdated})
	h.commitAll()
	assert.Equal(t, h.phase(task), model.TaskStopping)
}
