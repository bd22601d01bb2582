package control

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// evacuate commits the evacuation of the domain of the workers of the harness.
func (h *leaderTest) evacuate() {
	h.t.Helper()
	h.apply(&state.Command{SetEvacuation: &state.SetEvacuation{Domain: h.c.machine.Worker("w1").Spec.FailureDomain, Evacuated: true}})
}

func (h *leaderTest) withheld() float64 {
	return testutil.ToFloat64(h.c.s.metrics.startsWithheld)
}

// Guards against a start that was committed before an evacuation and is sent after it, by the
// same leader or by the next one.
func TestUnsentStartInEvacuatedDomainIsNotSent(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newLeaderTest(t)
		h.heartbeat(7, 1, 4000)
		job := h.place("f1", 1)
		assert.Equal(t, h.phase(job, 0), model.TaskStarting, "the clock of the worker is not known, so that no start is sent")
		h.evacuate()
		if newLeader {
			h.lead(2)
		}
		h.answerPolls(idle, func() bool { h.commitReports(); return h.phase(job, 0) == model.TaskPending })
		assert.Equal(t, h.workers.starts.Load(), int32(0), "new leader: %t", newLeader)
		assert.Assert(t, h.withheld() > 0)
	}
}

// Guards against a start without a response that is sent again in an evacuated domain, and
// against a task that is lost or runs twice since its worker has executed that start.
func TestUnansweredStartInEvacuatedDomainIsNotRepeated(t *testing.T) {
	attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "f1"}, Number: 1}
	running := &workerclient.PollResponse{Incarnation: 7, Active: []workerclient.ActiveAttempt{{Attempt: attempt}}}
	assertUnansweredStartIsNotRepeated(t, (*leaderTest).evacuate, running, model.TaskRunning)
	assertUnansweredStartIsNotRepeated(t, (*leaderTest).evacuate, idle, model.TaskStopping)
}

// Guards against the second call of a start whose first one is still unanswered when the
// evacuation begins.
func TestStartInFlightIsNotSentASecondTimeInEvacuatedDomain(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	h.answerPolls(idle, h.clockReported)
	h.workers.holds.Store(true)
	job := h.place("f1", 1)
	h.evacuate()
	h.answerPolls(idle, func() bool { h.commitReports(); return h.phase(job, 0) == model.TaskStopping })
	assert.Equal(t, h.workers.starts.Load(), int32(1))
	assert.Assert(t, h.withheld() > 0)
}

// Guards against a start that stays unconfirmed for ever, or is sent again, on a worker with a
// session of its own; also if the leader fails before it has revoked the start.
func TestUnconfirmedStartOfSessionWorkerIsRevokedByEvacuation(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newLeaderTest(t)
		h.apply(&state.Command{Announce: &state.Announce{Spec: model.WorkerSpec{ID: "w1", FailureDomain: "d1", Capacity: model.Resources{CPU: 4000}}}})
		job := h.place("f1", 1)
		task := model.TaskID{Job: job}
		_, sent := h.c.leader.commandFor(task)
		assert.Assert(t, sent)
		h.evacuate()
		_, sent = h.c.leader.commandFor(task)
		assert.Assert(t, !sent, "no start is sent again")
		if newLeader {
			h.log.proposed = nil
			h.lead(2)
			h.c.leader.tick(h.c.s.now())
		}
		h.commit()
		assert.Equal(t, h.phase(job, 0), model.TaskStopping, "new leader: %t", newLeader)
		cmd, sent := h.c.leader.commandFor(task)
		assert.Assert(t, sent && cmd.Op == api.CommandStop)
	}
}

// setEvacuation calls the leader as an entry does and returns its response.
func (h *leaderTest) setEvacuation(req *proto.SetEvacuation) (view *api.EvacuationView, err error) {
	h.c.leader.setEvacuation(wire.Peer{}, req, func(v *api.EvacuationView, e error) { view, err = v, e })
	return view, err
}

// Guards against an acknowledgement before the commit, against an unknown domain that is
// evacuated, and against one that the settings of an entry name and that is refused.
func TestEvacuationIsAcknowledgedOnceCommitted(t *testing.T) {
	h := newLeaderTest(t)
	h.apply(&state.Command{Announce: &state.Announce{Spec: model.WorkerSpec{ID: "w1", FailureDomain: "d1", Capacity: model.Resources{CPU: 4000}}}})
	_, err := h.setEvacuation(&proto.SetEvacuation{Domain: "d2", Evacuated: true})
	assert.Equal(t, errkind.Of(err), errkind.UnknownDomain)
	assert.Equal(t, len(h.log.proposed), 0)

	var view *api.EvacuationView
	h.c.leader.setEvacuation(wire.Peer{}, &proto.SetEvacuation{Domain: "d1", Evacuated: true}, func(v *api.EvacuationView, err error) {
		assert.NilError(t, err)
		view = v
	})
	assert.Assert(t, view == nil, "no response before the commit")
	h.commit()
	assert.Assert(t, view.Evacuated && view.Workers == 1 && view.Since != 0)
	assert.Equal(t, len(h.c.leader.statusOf().Evacuations), 1)
	assert.Equal(t, testutil.ToFloat64(h.c.s.metrics.evacuatedDomains), 1.0)

	_, err = h.setEvacuation(&proto.SetEvacuation{Domain: "d2", Evacuated: true, Named: true})
	assert.NilError(t, err)
	h.commit()
	assert.Assert(t, h.c.machine.Evacuated("d2"))
}
