package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// jobSubmission is the response to a call that submits a job.
type jobSubmission struct {
	submitted *proto.Submitted
	err       error
}

func (h *leaderHarness) submitJob(key string, digest byte) *jobSubmission {
	out := &jobSubmission{}
	req := &proto.Submit{IdempotencyKey: key, Digest: [32]byte{digest},
		Spec: model.JobSpec{Team: "stands", Queue: "flows", Tasks: 1, Size: model.Resources{CPU: 1000}}}
	h.core.leader.submit(wire.Peer{}, req, func(v *proto.Submitted, err error) { out.submitted, out.err = v, err })
	return out
}

// Guards against a log that grows with the calls of callers who repeat what takes long.
func TestRepeatedSubmissionOfJobIsProposedOnce(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	before := len(h.log.proposed)
	first, again := h.submitJob("k", 1), h.submitJob("k", 1)
	assert.Equal(t, len(h.log.proposed), before+1)
	assert.Assert(t, first.submitted == nil && again.submitted == nil, "no response comes before the commit")
	h.commitAll()
	assert.NilError(t, first.err)
	assert.NilError(t, again.err)
	assert.Assert(t, !first.submitted.Job.Existing && again.submitted.Job.Existing)
	assert.Equal(t, first.submitted.Job.ID, again.submitted.Job.ID)

	before = len(h.log.proposed)
	later := h.submitJob("k", 1)
	assert.Equal(t, len(h.log.proposed), before)
	assert.Assert(t, later.submitted.Job.Existing)
}

func TestSubmissionOfAnotherJobIsNotAnsweredByFirst(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	first, other := h.submitJob("k", 1), h.submitJob("k", 2)
	unnamed, unnamedToo := h.submitJob("", 1), h.submitJob("", 1)
	h.commitAll()
	assert.NilError(t, first.err)
	assert.Equal(t, errkind.Of(other.err), errkind.IdempotencyConflict)
	assert.Assert(t, unnamed.submitted.Job.ID != unnamedToo.submitted.Job.ID)
}

func TestSubmissionOfJobThatWasNotCommittedCanBeRepeated(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	h.log.full = true
	first := h.submitJob("k", 1)
	assert.Equal(t, errkind.Of(first.err), errkind.Overloaded)
	h.log.full = false
	again := h.submitJob("k", 1)
	h.commitAll()
	assert.NilError(t, again.err)
}
