package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// submission is the response to a call that submits a workflow.
type submission struct {
	view *proto.WorkflowView
	err  error
}

func (h *leaderHarness) submit(id model.WorkflowID, team string) *submission {
	out := &submission{}
	req := &proto.SubmitWorkflow{Spec: model.WorkflowSpec{ID: id, Team: team, Queue: "flows",
		Steps: []model.Step{{Policy: model.PolicyBatch, Tasks: 1, Size: model.Resources{CPU: 1000}}}}}
	h.core.leader.submitWorkflow(wire.Peer{}, req, func(v *proto.WorkflowView, err error) { out.view, out.err = v, err })
	return out
}

// Callers send a submission again while its commit takes long.
func TestRepeatedSubmissionIsProposedOnce(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	before := len(h.log.proposed)
	first, again := h.submit("g", "stands"), h.submit("g", "stands")
	assert.Equal(t, len(h.log.proposed), before+1)
	assert.Assert(t, first.view == nil && again.view == nil, "no response comes before the commit")
	h.commitAll()
	assert.NilError(t, first.err)
	assert.NilError(t, again.err)
	assert.Assert(t, !first.view.Existing && again.view.Existing)

	before = len(h.log.proposed)
	later := h.submit("g", "stands")
	assert.Equal(t, len(h.log.proposed), before)
	assert.Assert(t, later.view.Existing)
}

func TestSubmissionOfAnotherTeamIsNotAnsweredByFirst(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	first, other := h.submit("g", "stands"), h.submit("g", "guards")
	h.commitAll()
	assert.NilError(t, first.err)
	assert.Equal(t, errkind.Of(other.err), errkind.IdempotencyConflict)
}

func TestSubmissionThatWasNotCommittedCanBeRepeated(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	h.log.full = true
	first := h.submit("g", "stands")
	assert.Equal(t, errkind.Of(first.err), errkind.Overloaded)
	h.log.full = false
	again := h.submit("g", "stands")
	h.commitAll()
	assert.NilError(t, again.err)
}

// A submission beyond the limit must be refused before it reaches the log, but not the repeat of
// one that waits for its commit, which may be accepted.
func TestSubmissionBeyondLimitIsRefusedUnproposed(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	h.submit("a", "stands")
	h.commitAll()
	h.log.stateLimit = 2*h.core.machine.AcceptedBytes() + 1
	before := len(h.log.proposed)
	refused := h.submit("b", "stands")
	assert.Equal(t, errkind.Of(refused.err), errkind.QueueFull)
	assert.Assert(t, errkind.RetryAfter(refused.err) > 0)
	assert.Equal(t, len(h.log.proposed), before)

	other := h.submit("c", "guards")
	h.log.stateLimit = 1 // the limit falls meanwhile
	again := h.submit("c", "guards")
	h.commitAll()
	assert.NilError(t, other.err)
	assert.NilError(t, again.err)
}

// The repeats of a cancellation must not grow the log.
func TestRepeatedCancellationIsProposedOnce(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	h.submit("g", "stands")
	h.commitAll()
	cancel := func() (err error) {
		req := &proto.Workflow{Caller: proto.Caller{Team: "stands"}, ID: "g"}
		h.core.leader.cancelWorkflow(wire.Peer{}, req, func(v *proto.WorkflowView, e error) { err = e })
		h.commitAll()
		return err
	}
	assert.NilError(t, cancel())
	before := len(h.log.proposed)
	assert.NilError(t, cancel())
	assert.Equal(t, len(h.log.proposed), before)
}
