package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// The cancelling of a workflow with many runs must not occupy the control goroutine for longer
// than a leader may be silent: its time grows with the number of runs, not with the square.
func TestManyRunsAreCancelledAtOnce(t *testing.T) {
	const runs = 20_000
	s := newWorkflowHarness(t)
	spec := model.WorkflowSpec{ID: "f", Team: "stands", Queue: "flows", Runs: runs, FirstAt: 1, Every: 1,
		Steps: []model.Step{newStep(model.PolicyBatch, 1)}}
	s.apply(&Command{SubmitWorkflow: &SubmitWorkflow{Spec: spec}})
	s.at += runs
	s.apply(&Command{StartRuns: &StartRuns{Runs: s.m.DueRuns(s.at, runs, 0)}})
	begun := time.Now()
	s.apply(&Command{CancelWorkflow: &CancelWorkflow{Team: "stands", ID: "f"}})
	const longest = 2 * time.Second
	took := time.Since(begun)
	assert.Assert(t, took < longest, "%d runs were cancelled in %s", runs, took)
	assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseCancelled)
	assert.Assert(t, s.m.Workflow("f").Finished != 0)
	assert.Equal(t, s.m.Workflow("f").unfinishedRuns, int32(0))
}
