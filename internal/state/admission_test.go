package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/admission"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// checkAccepted recomputes the charges of accepted work and compares them with the sums.
func checkAccepted(t assert.TestingT, m *Machine) {
	want := admission.NewUsage()
	for _, id := range m.JobIDs() {
		j := m.Job(id)
		if j.Step != nil {
			assert.Equal(t, j.charged, int64(0), "the job of a step is charged with its workflow")
			continue
		}
		bytes := admission.OfJob(&j.Spec).Unfinished
		if j.Finished != 0 {
			bytes = admission.OfJob(&j.Spec).Finished
		}
		want.Charge(j.Team, new(int64), bytes)
	}
	for _, w := range m.workflows {
		want.Charge(w.Team, new(int64), w.charged)
	}
	assert.Equal(t, m.AcceptedBytes(), want.Total())
	for _, team := range []string{"guards", "stands", "plans"} {
		assert.Equal(t, m.TeamAcceptedBytes(team), want.Of(team), "team %s", team)
	}
}

// submitWithin submits a workflow of one step under a limit of accepted work.
func (s *workflowHarness) submitWithin(id model.WorkflowID, tasks int32, limit int64) error {
	return s.apply(&Command{SubmitWorkflow: &SubmitWorkflow{Limit: limit,
		Spec: model.WorkflowSpec{ID: id, Team: "stands", Queue: "flows", Steps: []model.Step{newStep(model.PolicyBatch, tasks)}}}}).Err
}

func TestSubmissionBeyondLimitIsRefusedUntilRecordsAreRemoved(t *testing.T) {
	s := newWorkflowHarness(t)
	assert.NilError(t, s.submitWithin("a", 100, 0))
	limit := 3 * s.m.AcceptedBytes()
	err := s.submitWithin("b", 100, limit)
	assert.Equal(t, errkind.Of(err), errkind.QueueFull)
	assert.Equal(t, errkind.RetryAfter(err), endRetryAfter)
	assert.Assert(t, s.m.Workflow("b") == nil, "a refused workflow does not exist")
	assert.NilError(t, s.submitWithin("a", 100, limit), "a resend of an accepted workflow is never refused")
	assert.Equal(t, errkind.Of(s.submitWithin("c", 300, limit)), errkind.BadRequest, "it could never be accepted")

	s.apply(&Command{CancelWorkflow: &CancelWorkflow{Team: "stands", ID: "a"}})
	kept := s.m.AcceptedBytes()
	assert.Assert(t, kept > 0 && kept < limit/3, "the record of ended work takes %d bytes", kept)
	s.at += model.Time(testOptions().KeepFinished.Millis()) + 1
	s.apply(&Command{Expire: &Expire{}})
	assert.Equal(t, s.m.AcceptedBytes(), int64(0))
	assert.NilError(t, s.submitWithin("b", 100, limit))
}

func TestRunsWaitForRoom(t *testing.T) {
	s := newWorkflowHarness(t)
	spec := model.WorkflowSpec{ID: "f", Team: "stands", Queue: "flows", Runs: 1000, FirstAt: 1, Every: 1,
		Steps: []model.Step{newStep(model.PolicyBatch, 100)}}
	run := spec
	run.Runs = 0
	limit := 5 * admission.OfWorkflow(&run).Unfinished
	assert.NilError(t, s.apply(&Command{SubmitWorkflow: &SubmitWorkflow{Spec: spec, Limit: limit}}).Err)
	due := s.m.DueRuns(s.at, 256, limit)
	assert.Equal(t, len(due), 2, "a team may take half of the limit")
	assert.Equal(t, s.apply(&Command{StartRuns: &StartRuns{Runs: s.m.DueRuns(s.at, 256, 0), Limit: limit}}).Count, 2)
	assert.Equal(t, len(s.m.DueRuns(s.at, 256, limit)), 0)
	checkAccepted(t, s.m)
}
