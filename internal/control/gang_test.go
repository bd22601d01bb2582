package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// submitGang submits workflow "g", a gang of two tasks of 1500 thousandths of a core, and
// returns its job.
func (h *leaderTest) submitGang() model.JobID {
	h.apply(&state.Command{SubmitWorkflow: &state.SubmitWorkflow{Spec: model.WorkflowSpec{
		ID: "g", Team: "stands", Queue: "flows", Steps: []model.Step{{Policy: model.PolicyGang, Tasks: 2, Size: model.Resources{CPU: 1500}}},
	}}})
	return h.c.machine.Workflow("g").Jobs[0]
}

func (h *leaderTest) reportFailed(job model.JobID, index int32) {
	t := h.c.machine.Job(job).Task(index)
	w := h.c.machine.TaskWorker(t)
	r := api.Report{Task: model.TaskID{Job: job, Index: index}, Fence: t.Fence, State: api.ReportFailed}
	h.apply(&state.Command{Report: &state.Report{Reports: []state.WorkerReport{{Worker: w, Session: h.c.machine.Worker(w).Session, Reports: []api.Report{r}}}}})
}

// Guards against a scheduler whose count of a gang's failed runs differs from that of the state, and fails the gang too early, or from what callers read.
func TestFailedRunOfGangCountsOnceUnderEachLeader(t *testing.T) {
	for _, newLeader := range []int{-1, 0, 1, 2} { // the leader changes before the failure of this member
		h := newLeaderTest(t)
		h.announceService("w1", "planner", 4000)
		job := h.submitGang()
		for run := range 3 {
			assert.Equal(t, h.c.machine.Job(job).Finished, model.Time(0), "after %d runs", run)
			for _, task := range h.c.leader.taskViews(h.c.machine.Job(job)) {
				assert.Equal(t, int(task.Restarts), run)
			}
			h.placeTasks(job)
			for i := range int32(2) {
				if int(i) == newLeader {
					h.lead(uint64(2 + run))
				}
				if h.c.machine.Job(job).Finished == 0 {
					h.reportFailed(job, i)
				}
			}
			if newLeader == 2 {
				h.lead(uint64(2 + run))
			}
			assert.Equal(t, len(h.c.leader.sched.Plan(h.c.s.now(), maxPlacements).Failures), 0, "after run %d, new leader %d", run, newLeader)
		}
		assert.Equal(t, h.c.machine.Workflow("g").Phase(), model.PhaseFailed)
	}
}
