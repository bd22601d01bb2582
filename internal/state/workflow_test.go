package state

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// workflowHarness is a harness with a shared queue and helpers for workflows.
type workflowHarness struct {
	*harness
	t *testing.T
}

func newWorkflowHarness(t *testing.T) *workflowHarness {
	t.Helper()
	s := newHarness()
	d := testDeclarations()
	d.Queues = append(d.Queues, model.Queue{Name: "flows", Workspace: "plans", Shared: true, MaxAttempts: 3})
	assert.NilError(t, s.apply(&Command{Declare: &Declare{ApplyID: "first", Declarations: d}}).Err)
	s.apply(announceCommand("w1", 8000))
	s.apply(announceCommand("w2", 8000))
	return &workflowHarness{s, t}
}

func newStep(policy model.Policy, tasks int32, after ...int32) model.Step {
	return model.Step{Policy: policy, Tasks: tasks, Size: model.Resources{CPU: 1000}, After: after}
}

func (s *workflowHarness) submit(id model.WorkflowID, steps ...model.Step) Result {
	return s.apply(&Command{SubmitWorkflow: &SubmitWorkflow{
		Spec: model.WorkflowSpec{ID: id, Team: "stands", Queue: "flows", Steps: steps},
	}})
}

// place starts every pending task of a step, alternating between both workers.
func (s *workflowHarness) place(id model.WorkflowID, step int) model.JobID {
	s.t.Helper()
	job := s.m.Workflow(id).Jobs[step]
	assert.Assert(s.t, job != 0, "step %d has no job", step)
	cmd := &Place{}
	for i := range s.m.Job(job).Spec.Tasks {
		if s.m.Job(job).Task(i).Phase == model.TaskPending {
			cmd.Placements = append(cmd.Placements, placement(job, i, []model.WorkerID{"w1", "w2"}[i%2], 1000))
		}
	}
	assert.Equal(s.t, s.apply(&Command{Place: cmd}).Count, len(cmd.Placements))
	return job
}

// report applies a report on the current attempt of a task, with a checkpoint.
func (s *workflowHarness) report(job model.JobID, index int32, state api.ReportState) {
	s.t.Helper()
	t := s.m.Job(job).Task(index)
	worker := s.m.TaskWorker(t)
	r := api.Report{Task: model.TaskID{Job: job, Index: index}, Fence: t.Fence, State: state, Checkpoint: "saved"}
	cmd := &Report{Reports: []WorkerReport{{Worker: worker, Session: s.m.Worker(worker).Session, Reports: []api.Report{r}}}}
	assert.Equal(s.t, s.apply(&Command{Report: cmd}).Count, 1)
}

func TestStepsRunAfterTheirPredecessors(t *testing.T) {
	s := newWorkflowHarness(t)
	assert.NilError(t, s.submit("f", newStep(model.PolicyBatch, 1), newStep(model.PolicyBatch, 1), newStep(model.PolicyBatch, 1, 0, 1)).Err)
	w := s.m.Workflow("f")
	assert.Equal(t, w.Phase(), "waiting")
	assert.Equal(t, s.m.UnstartedWorkflows("flows"), int64(1))
	assert.Assert(t, w.Jobs[0] != 0 && w.Jobs[1] != 0 && w.Jobs[0] != w.Jobs[1] && w.Jobs[2] == 0)
	first, second := s.place("f", 0), s.place("f", 1)
	assert.Equal(t, w.Phase(), "waiting", "a placement alone does not start the workflow")
	assert.Equal(t, s.m.UnstartedWorkflows("flows"), int64(1))
	s.report(first, 0, api.ReportStarted)
	assert.Equal(t, w.Phase(), "running")
	assert.Equal(t, s.m.UnstartedWorkflows("flows"), int64(0))
	s.report(first, 0, api.ReportSucceeded)
	assert.Assert(t, w.Jobs[2] == 0, "step 2 waits for both predecessors")
	s.report(second, 0, api.ReportSucceeded)
	s.report(s.place("f", 2), 0, api.ReportSucceeded)
	assert.Equal(t, w.Phase(), "succeeded")
}

func TestResentWorkflowReturnsFirst(t *testing.T) {
	s := newWorkflowHarness(t)
	assert.Assert(t, !s.submit("f", newStep(model.PolicyBatch, 1)).Existing)
	assert.Assert(t, s.submit("f", newStep(model.PolicyBatch, 9)).Existing)
	assert.Equal(t, len(s.m.Workflow("f").Spec.Steps), 1)
	foreign := &SubmitWorkflow{Spec: model.WorkflowSpec{ID: "f", Team: "guards", Queue: "flows", Steps: []model.Step{newStep(model.PolicyBatch, 1)}}}
	assert.Equal(t, errkind.Of(s.apply(&Command{SubmitWorkflow: foreign}).Err), errkind.IdempotencyConflict)
}

func TestStepFailsAfterMaxAttempts(t *testing.T) {
	s := newWorkflowHarness(t)
	s.submit("f", newStep(model.PolicyBatch, 1), newStep(model.PolicyBatch, 1, 0))
	for attempt := uint32(1); attempt <= 3; attempt++ {
		assert.Equal(t, s.m.Workflow("f").Phase() == "failed", false)
		job := s.place("f", 0)
		assert.Equal(t, s.m.Job(job).Task(0).Attempt, attempt)
		s.report(job, 0, api.ReportFailed)
	}
	assert.Equal(t, s.m.Workflow("f").Phase(), "failed")
	assert.Assert(t, s.m.Workflow("f").Jobs[1] == 0)
}

// When one member of a gang ends, for whatever reason, the attempt must end for
// all members, and the next attempt must wait until no member holds resources.
func TestEndOfOneMemberEndsGangAttempt(t *testing.T) {
	rows := []struct {
		name   string
		first  api.ReportState // reported by member 0 before any member has started
		others model.TaskPhase
	}{
		{"failed member", api.ReportFailed, model.TaskStopping},
		{"member not started by its worker", api.ReportStopped, model.TaskStopping},
		{"member whose lease expired", api.ReportLapsed, model.TaskStopping},
		{"member ended because of another one", api.ReportBroken, model.TaskStopping},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newWorkflowHarness(t)
			s.submit("f", newStep(model.PolicyGang, 3))
			job := s.place("f", 0)
			s.report(job, 0, row.first)
			j := s.m.Job(job)
			assert.Equal(t, j.Task(0).Phase, model.TaskPending)
			assert.Equal(t, j.Task(1).Phase, row.others)
			part := &Place{Placements: []Placement{placement(job, 0, "w1", 1000)}}
			assert.Equal(t, s.apply(&Command{Place: part}).Count, 0, "no member starts while others hold resources")
			s.report(job, 1, api.ReportStopped)
			s.report(job, 2, api.ReportBroken)
			s.place("f", 0)
			for i := range int32(3) {
				assert.Equal(t, j.Task(i).Attempt, uint32(2))
				assert.Equal(t, j.Checkpoint(i), "saved", "the checkpoint of one member applies to all")
			}
			s.report(job, 1, api.ReportSucceeded)
			assert.Equal(t, s.m.Workflow("f").Phase(), "succeeded", "the success of one member applies to all")
			assert.Equal(t, len(s.m.Worker("w1").Held), 0)
		})
	}
}

// A gang must succeed as a whole even if the worker of one member was marked as
// lost before the success of the gang was reported.
func TestGangSucceedsWithMemberOnLostWorker(t *testing.T) {
	s := newWorkflowHarness(t)
	s.submit("f", newStep(model.PolicyGang, 2))
	job := s.place("f", 0)
	s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{{ID: "w2", Session: s.m.Worker("w2").Session}}}})
	assert.Equal(t, s.m.Job(job).Task(1).Phase, model.TaskPending)
	s.report(job, 0, api.ReportSucceeded)
	assert.Equal(t, s.m.Workflow("f").Phase(), "succeeded")
}

func TestPreemptedMemberStopsWholeGang(t *testing.T) {
	s := newWorkflowHarness(t)
	s.submit("f", newStep(model.PolicyGang, 2))
	job := s.place("f", 0)
	s.apply(&Command{Stop: &Stop{Tasks: []TaskStop{{Task: model.TaskID{Job: job}, Cause: StopPreempted}}}})
	assert.Equal(t, s.m.Job(job).Task(1).Phase, model.TaskStopping)
}

func TestCancelledWorkflowStopsRunningTasks(t *testing.T) {
	s := newWorkflowHarness(t)
	s.submit("f", newStep(model.PolicyBatch, 2), newStep(model.PolicyBatch, 1, 0))
	job := s.place("f", 0)
	cancel := &Command{CancelWorkflow: &CancelWorkflow{Team: "stands", ID: "f"}}
	assert.Equal(t, s.apply(cancel).Count, 1)
	assert.Equal(t, s.m.Workflow("f").Phase(), "cancelled")
	assert.Equal(t, s.m.Job(job).Task(0).Phase, model.TaskStopping)
	s.report(job, 0, api.ReportStopped)
	s.report(job, 1, api.ReportSucceeded)
	assert.Assert(t, s.m.Workflow("f").Finished != 0)
	assert.Assert(t, s.apply(cancel).Existing)
	foreign := &Command{CancelWorkflow: &CancelWorkflow{Team: "guards", ID: "f"}}
	assert.Equal(t, errkind.Of(s.apply(foreign).Err), errkind.UnknownJob)
}

func TestRunsStartWhenDue(t *testing.T) {
	s := newWorkflowHarness(t)
	spec := model.WorkflowSpec{ID: "f", Team: "stands", Queue: "flows", Runs: 3, FirstAt: s.at + 1000, Every: model.Duration(time.Second),
		Steps: []model.Step{newStep(model.PolicyBatch, 1)}}
	assert.NilError(t, spec.Validate())
	assert.NilError(t, s.apply(&Command{SubmitWorkflow: &SubmitWorkflow{Spec: spec}}).Err)
	assert.Equal(t, len(s.m.DueRuns(spec.FirstAt-1, 9, 0)), 0)
	due := s.m.DueRuns(spec.FirstAt+1000, 9, 0)
	assert.DeepEqual(t, due, []DueRun{{"f", 0}, {"f", 1}})
	assert.Equal(t, s.apply(&Command{StartRuns: &StartRuns{Runs: due}}).Count, 2)
	assert.Equal(t, s.apply(&Command{StartRuns: &StartRuns{Runs: due}}).Count, 0, "each run starts once")
	for k := range int32(2) {
		s.report(s.place(model.WorkflowID("f").RunID(k), 0), 0, api.ReportSucceeded)
	}
	assert.Equal(t, s.m.Workflow("f").Phase(), "running")
	s.apply(&Command{StartRuns: &StartRuns{Runs: s.m.DueRuns(spec.FirstAt+2000, 9, 0)}})
	assert.Assert(t, s.m.WorkflowRun("f", 2) != nil && s.m.WorkflowRun("f", 2).DueBy >= spec.DueAt(2))
	s.report(s.place(model.WorkflowID("f").RunID(2), 0), 0, api.ReportSucceeded)
	assert.Equal(t, s.m.Workflow("f").Phase(), "succeeded")
	assert.Equal(t, len(s.m.DueRuns(spec.FirstAt+9000, 9, 0)), 0)
}

func TestCancelledWorkflowStartsNoMoreRuns(t *testing.T) {
	s := newWorkflowHarness(t)
	spec := model.WorkflowSpec{ID: "f", Team: "stands", Queue: "flows", Runs: 5, FirstAt: 1, Every: model.Duration(time.Hour),
		Steps: []model.Step{newStep(model.PolicyBatch, 1)}}
	s.apply(&Command{SubmitWorkflow: &SubmitWorkflow{Spec: spec}})
	s.apply(&Command{StartRuns: &StartRuns{Runs: s.m.DueRuns(s.at, 9, 0)}})
	job := s.place(model.WorkflowID("f").RunID(0), 0)
	s.apply(&Command{CancelWorkflow: &CancelWorkflow{Team: "stands", ID: "f"}})
	assert.Equal(t, s.m.Job(job).Task(0).Phase, model.TaskStopping)
	assert.Equal(t, len(s.m.DueRuns(s.at+model.Time(100*time.Hour.Milliseconds()), 9, 0)), 0)
	s.report(job, 0, api.ReportStopped)
	assert.Assert(t, s.m.Workflow("f").Finished != 0)
	assert.Equal(t, s.m.Workflow("f").Phase(), "cancelled")
}

func TestHighestRevisionWins(t *testing.T) {
	s := newHarness()
	send := func(revision uint64, team string) Result {
		d := model.Declarations{Teams: []model.Team{{Name: team, Share: 1}}}
		return s.apply(&Command{Declare: &Declare{Revision: revision, Declarations: d, Document: []byte(team)}})
	}
	assert.NilError(t, send(7, "a").Err)
	assert.Assert(t, send(3, "b").Existing, "a lower revision is acknowledged without effect")
	assert.Assert(t, send(7, "c").Existing, "an equal revision is acknowledged without effect")
	revision, document := s.m.Document()
	assert.Equal(t, revision, uint64(7))
	assert.Equal(t, string(document), "a")
	assert.NilError(t, send(9, "d").Err)
	assert.Assert(t, s.m.Team("d") != nil && s.m.Team("a") == nil)
	bad := s.apply(&Command{Declare: &Declare{Revision: 10, Declarations: model.Declarations{Teams: []model.Team{{}}}}})
	assert.Equal(t, errkind.Of(bad.Err), errkind.BadDeclarations)
	revision, _ = s.m.Document()
	assert.Equal(t, revision, uint64(9))
}

func TestWorkflowsSurviveSnapshot(t *testing.T) {
	s := newWorkflowHarness(t)
	s.submit("f", newStep(model.PolicyGang, 2), newStep(model.PolicyBatch, 1, 0))
	s.submit("g", newStep(model.PolicyBatch, 1))
	job := s.place("f", 0)
	s.report(job, 0, api.ReportFailed)
	var buf bytes.Buffer
	assert.NilError(t, s.m.WriteSnapshot(&buf))
	again, err := ReadSnapshot(testOptions(), &buf)
	assert.NilError(t, err)
	want, err := s.m.Digest()
	assert.NilError(t, err)
	got, err := again.Digest()
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	assert.Equal(t, again.UnstartedWorkflows("flows"), int64(1))
	s.m = again
	s.report(job, 1, api.ReportStopped)
	s.report(s.place("f", 0), 1, api.ReportSucceeded)
	assert.Assert(t, s.m.Workflow("f").Jobs[1] > job, "job IDs continue after a restore")
}

func TestFinishedWorkflowKeepsNoPayload(t *testing.T) {
	s := newWorkflowHarness(t)
	spec := model.WorkflowSpec{ID: "f", Team: "stands", Queue: "flows", Payload: "text", Steps: []model.Step{newStep(model.PolicyBatch, 1)}}
	submit := &Command{SubmitWorkflow: &SubmitWorkflow{Spec: spec}}
	assert.NilError(t, s.apply(submit).Err)
	job := s.place("f", 0)
	assert.Equal(t, s.m.Workflow("f").Spec.Payload, "text")
	s.report(job, 0, api.ReportSucceeded)
	assert.Equal(t, s.m.Workflow("f").Spec.Payload, "")
	assert.Assert(t, s.apply(submit).Existing, "it is still known")
}

// Guards against a deadline that has overflowed into the past.
func TestDeadlineOfLongestWorkflowIsInTheFuture(t *testing.T) {
	steps := make([]model.Step, model.MaxSteps)
	for i := range steps {
		steps[i] = model.Step{Policy: model.PolicyBatch, Tasks: 1, Size: model.Resources{CPU: 1}, RunTime: model.MaxDuration}
		if i > 0 {
			steps[i].After = []int32{int32(i - 1)}
		}
	}
	spec := model.WorkflowSpec{ID: "w", Queue: "q", Team: "t", Steps: steps}
	assert.NilError(t, spec.Validate())
	longest := spec.CriticalPaths()[0]
	assert.Assert(t, longest > 0)
	for _, stretch := range []int64{0, 1, 2200, 1_000_000_000} {
		q := &model.Queue{StretchPermille: stretch, Allowance: model.MaxDuration}
		assert.Assert(t, allowedTime(q, longest) > 0, "stretch %d", stretch)
	}
	q := &model.Queue{StretchPermille: 2200, Allowance: 5}
	assert.Equal(t, allowedTime(q, 1_234_567), allowedTime(q, 0)+1_234_567*2200/1000)
}

// Guards against steps of a withdrawn queue that are given up after their first failure.
func TestStepOfWithdrawnQueueKeepsItsAttempts(t *testing.T) {
	s := newWorkflowHarness(t)
	s.submit("f", newStep(model.PolicyBatch, 1), newStep(model.PolicyBatch, 1, 0))
	assert.NilError(t, s.apply(&Command{Declare: &Declare{ApplyID: "second", Base: 1, Declarations: testDeclarations()}}).Err)
	s.report(s.place("f", 0), 0, api.ReportSucceeded)
	assert.Equal(t, s.m.Job(s.m.Workflow("f").Jobs[1]).Spec.MaxRestarts, int32(2))
}

func TestWithdrawnQueueIsKeptUntilItsWorkHasEnded(t *testing.T) {
	s := newWorkflowHarness(t)
	s.submit("f", newStep(model.PolicyBatch, 1))
	version := uint64(1)
	withdraw := func(id string) {
		assert.NilError(t, s.apply(&Command{Declare: &Declare{ApplyID: id, Base: version, Declarations: testDeclarations()}}).Err)
		version++
	}
	withdraw("second")
	withdraw("third")
	assert.Assert(t, s.m.Queue("flows") == nil)
	var snapshot bytes.Buffer
	assert.NilError(t, s.m.WriteSnapshot(&snapshot))
	restored, err := ReadSnapshot(testOptions(), &snapshot)
	assert.NilError(t, err)
	for _, m := range []*Machine{s.m, restored} {
		assert.Equal(t, m.ServedQueue("flows").MaxAttempts, int32(3))
		m.Replay(func(ev Event) {
			if e, ok := ev.(ConfigChanged); ok {
				assert.Equal(t, len(e.ServedQueues()), len(testDeclarations().Queues)+1)
			}
		})
	}
	s.report(s.place("f", 0), 0, api.ReportSucceeded)
	withdraw("fourth")
	assert.Assert(t, s.m.ServedQueue("flows") == nil)
}

// Guards against a service that ends with its attempts although nobody has cancelled its workflow.
func TestServiceOfWorkflowIsStartedAgainHoweverItEnds(t *testing.T) {
	for _, end := range []api.ReportState{api.ReportSucceeded, api.ReportFailed, api.ReportStopped, api.ReportLapsed, api.ReportBroken} {
		s := newWorkflowHarness(t)
		assert.NilError(t, s.submit("f", newStep(model.PolicyService, 2)).Err)
		job := s.m.Workflow("f").Jobs[0]
		assert.Equal(t, s.m.Job(job).Spec.MaxRestarts, int32(0), "that of the queue does not apply")
		for range 6 {
			s.place("f", 0)
			s.report(job, 0, api.ReportStarted)
			s.report(job, 0, end)
			assert.Equal(t, s.m.Job(job).Task(0).Phase, model.TaskPending, end)
		}
		s.place("f", 0)
		s.apply(&Command{CancelWorkflow: &CancelWorkflow{Team: "stands", ID: "f"}})
		s.report(job, 0, end)
		s.report(job, 1, api.ReportStopped)
		assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseCancelled, end)
		checkInvariants(t, s.m)
	}
}

// Guards against more tasks of a step on one worker than it allows.
func TestPlacementBeyondLimitOfTasksPerWorkerIsRefused(t *testing.T) {
	s := newWorkflowHarness(t)
	step := newStep(model.PolicyBatch, 4)
	step.MaxPerWorker = 2
	assert.NilError(t, s.submit("f", step).Err)
	job := s.m.Workflow("f").Jobs[0]
	cmd := &Place{}
	for i := range int32(4) {
		cmd.Placements = append(cmd.Placements, placement(job, i, "w1", 1000))
	}
	assert.Equal(t, s.apply(&Command{Place: cmd}).Count, 2)
	cmd.Placements = cmd.Placements[2:]
	for i := range cmd.Placements {
		cmd.Placements[i].Worker = "w2"
	}
	assert.Equal(t, s.apply(&Command{Place: cmd}).Count, 2)
}
