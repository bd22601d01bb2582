package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Guards against a task that a new leader inherits and neither starts nor releases as
// long as reports about other tasks are being committed.
func TestOnlyTasksWithReportedEndAreEnding(t *testing.T) {
	ended, inherited := model.TaskID{Job: 1}, model.TaskID{Job: 2}
	q := newReportQueue()
	q.add("w1", 1, api.Report{Task: ended, State: api.ReportSucceeded})
	q.add("w1", 1, api.Report{Task: inherited, State: api.ReportStarted})
	assert.Assert(t, q.isEnding(ended), "not proposed yet")
	batch, ok := q.take()
	assert.Assert(t, ok)
	assert.Assert(t, q.isEnding(ended), "not committed yet")
	assert.Assert(t, !q.isEnding(inherited))
	q.done(&batch)
	assert.Assert(t, !q.isEnding(ended), "committed")
}

func TestTaskEndsUntilLastReportOfItsEndIsCommitted(t *testing.T) {
	task := model.TaskID{Job: 1}
	q := newReportQueue()
	q.add("w1", 1, api.Report{Task: task, State: api.ReportStopped})
	first, _ := q.take()
	q.add("w1", 1, api.Report{Task: task, State: api.ReportStopped})
	q.done(&first)
	assert.Assert(t, q.isEnding(task))
}

func TestReportsWaitWhileEarlierBatchesAreInFlight(t *testing.T) {
	q := newReportQueue()
	_, ok := q.take()
	assert.Assert(t, !ok, "nothing is reported")
	var batch reportBatch
	for i := range maxReportsInFlight {
		q.add("w1", 1, api.Report{Task: model.TaskID{Job: model.JobID(i)}, State: api.ReportStarted})
		batch, ok = q.take()
		assert.Assert(t, ok)
	}
	q.add("w1", 1, api.Report{Task: model.TaskID{Job: 9}, State: api.ReportStarted})
	_, ok = q.take()
	assert.Assert(t, !ok)
	q.done(&batch)
	_, ok = q.take()
	assert.Assert(t, ok)
}
