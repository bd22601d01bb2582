package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

// declareQueues declares the given queues in place of the current ones.
func (h *leaderTest) declareQueues(queues ...model.Queue) {
	h.t.Helper()
	version, _, current := h.c.machine.Config()
	next := *current
	next.Queues = queues
	h.apply(&state.Command{Declare: &state.Declare{ApplyID: fmt.Sprint("queues-", version), Base: version, Declarations: next}})
	after, _, _ := h.c.machine.Config()
	assert.Equal(h.t, after, version+1)
}

// announceService announces a worker of a service.
func (h *leaderTest) announceService(id model.WorkerID, service string, cpu int64) {
	h.apply(&state.Command{Announce: &state.Announce{Spec: model.WorkerSpec{
		ID: id, Capacity: model.Resources{CPU: cpu}, Region: "south", FailureDomain: "selfoss", Incarnation: 1, Address: "10.0.0.9:8080",
		Labels: model.Labels{model.LabelService: service},
	}}})
}

// submitSteps submits workflow f: step 0, which it places on w1, step 1 after it and step
// 2, which waits for nothing.
func (h *leaderTest) submitSteps() []model.JobID {
	step := model.Step{Policy: model.PolicyBatch, Tasks: 1, Size: model.Resources{CPU: 1500}}
	second := step
	second.After = []int32{0}
	h.apply(&state.Command{SubmitWorkflow: &state.SubmitWorkflow{Spec: model.WorkflowSpec{
		ID: "f", Team: "stands", Queue: "flows", Steps: []model.Step{step, second, step},
	}}})
	jobs := h.c.machine.Workflow("f").Jobs
	h.placeTasks(jobs[0])
	assert.Equal(h.t, h.phase(jobs[0], 0), model.TaskStarting)
	return jobs
}

// endFirstStep reports that step 0 has succeeded, so that step 1 gets its job.
func (h *leaderTest) endFirstStep(jobs []model.JobID) {
	r := api.Report{Task: model.TaskID{Job: jobs[0]}, Fence: h.c.machine.Job(jobs[0]).Task(0).Fence, State: api.ReportSucceeded}
	h.apply(&state.Command{Report: &state.Report{Reports: []state.WorkerReport{
		{Worker: "w1", Session: h.c.machine.Worker("w1").Session, Reports: []api.Report{r}}}}})
	assert.Assert(h.t, jobs[1] != 0)
}

// plan returns the placements of the next plan, as if all workers had answered a poll.
func (h *leaderTest) plan() []schedule.Placement {
	for _, w := range h.c.machine.Workers() {
		h.c.leader.sched.Apply(schedule.WorkerResponsivenessChanged{Worker: w.Spec.ID, Responsive: true})
	}
	return h.c.leader.sched.Plan(h.c.s.now(), maxPlacements).Placements
}

// Guards against steps of a withdrawn queue that start on the workers of other services.
func TestStepOfWithdrawnQueueStartsOnItsServiceOnly(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newLeaderTest(t)
		h.announceService("w1", "planner", 8000)
		h.announceService("w2", "billing", 4000) // the tightest, which is chosen first
		h.declareQueues(model.Queue{Name: "flows", Workspace: "plans", Shared: true, Service: "planner"})
		jobs := h.submitSteps()
		h.declareQueues(model.Queue{Name: "bills", Workspace: "plans", Shared: true, Service: "billing"})
		h.endFirstStep(jobs)
		if newLeader {
			h.lead(2)
		}
		placed := h.plan()
		assert.Equal(t, len(placed), 2)
		for _, p := range placed {
			assert.Equal(t, p.Worker, model.WorkerID("w1"), "new leader: %t", newLeader)
		}
	}
}

// Guards against jobs whose starts carry no permit, and are refused without end, since their queue was withdrawn or changed.
func TestJobFollowsWhetherItsQueueNeedsPermits(t *testing.T) {
	costs := model.PolicyCosts{Base: model.Duration(time.Second), Valid: model.Duration(time.Second)}
	dearer := costs
	dearer.Base *= 2
	queue := func(p model.PolicyCosts) model.Queue {
		return model.Queue{Name: "flows", Workspace: "plans", Shared: true, Policy: p}
	}
	rows := []struct {
		name   string
		before model.PolicyCosts
		after  []model.Queue
		want   model.PolicyCosts
	}{
		{"queue that needs permits is withdrawn", costs, nil, costs},
		{"queue comes to need permits", model.PolicyCosts{}, []model.Queue{queue(costs)}, costs},
		{"queue does not need permits any more", costs, []model.Queue{queue(model.PolicyCosts{})}, model.PolicyCosts{}},
		{"queries become dearer", costs, []model.Queue{queue(dearer)}, dearer},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h := newLeaderTest(t)
			h.announceService("w1", "planner", 8000)
			h.declareQueues(queue(row.before))
			jobs := h.submitSteps()
			h.declareQueues(row.after...)
			h.endFirstStep(jobs)
			check := func(when string) {
				var placed []model.JobID
				for _, p := range h.plan() {
					placed = append(placed, p.Task.Job)
				}
				for _, id := range jobs[1:] {
					assert.Equal(t, h.c.leader.policy.costs[id], row.want, when)
					assert.Equal(t, slices.Contains(h.c.leader.policy.tracker.Jobs(), id), row.want.Required(), when)
					assert.Equal(t, slices.Contains(placed, id), !row.want.Required(), when)
				}
			}
			check("after the change")
			h.lead(2)
			check("under the next leader")
		})
	}
}

// Guards against jobs that stay without permits once their withdrawn queue is back.
func TestJobOfReturnedQueueIsPlacedWithPermits(t *testing.T) {
	queue := model.Queue{Name: "flows", Workspace: "plans", Shared: true, Policy: model.PolicyCosts{Base: model.Duration(time.Second)}}
	h := newLeaderTest(t)
	h.announceService("w1", "planner", 8000)
	h.declareQueues(queue)
	jobs := h.submitSteps()
	h.declareQueues()
	h.endFirstStep(jobs)
	h.declareQueues(queue)
	tracked := h.c.leader.policy.tracker.Jobs()
	for _, id := range jobs[1:] {
		assert.Assert(t, slices.Contains(tracked, id))
	}
	assert.Equal(t, len(h.plan()), 0, "no permit is known yet")
}

// Guards against steps whose workers depend on when the leader changed: the service of their queue was read as they came.
func TestStepThatWaitsFollowsItsQueueToOtherService(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newLeaderTest(t)
		h.announceService("w1", "planner", 1500)
		h.announceService("w2", "billing", 8000)
		queue := model.Queue{Name: "flows", Workspace: "plans", Shared: true, Service: "planner"}
		h.declareQueues(queue)
		jobs := h.submitSteps()
		assert.Equal(t, len(h.plan()), 0, "w1 is full")
		queue.Service = "billing"
		h.declareQueues(queue)
		h.endFirstStep(jobs)
		if newLeader {
			h.lead(2)
		}
		placed := h.plan()
		assert.Equal(t, len(placed), 2)
		for _, p := range placed {
			assert.Equal(t, p.Worker, model.WorkerID("w2"), "new leader: %t", newLeader)
		}
	}
}
