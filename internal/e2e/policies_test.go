package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/model"
)

func jobSpec(name string, policy model.Policy, tasks int32, payload string) model.JobSpec {
	return model.JobSpec{
		Name:     name,
		Policy:   policy,
		Tasks:    tasks,
		Size:     model.Resources{CPU: 1000, Memory: 256},
		RunTime:  model.Duration(200 * time.Millisecond),
		Patience: model.Duration(time.Minute),
		Payload:  payload,
	}
}

// awaitJob waits until a job has ended and returns its last state.
func awaitJob(t testing.TB, c *client.Client, id model.JobID) api.JobView {
	t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for {
		view, err := c.Job(context.Background(), id, client.JobQuery{Wait: model.Duration(5 * time.Second)})
		assert.NilError(t, err)
		if view.Phase != "waiting" && view.Phase != "running" {
			return view
		}
		if time.Now().After(deadline) {
			t.Fatalf("job %s is still %s: %+v", id, view.Phase, view.Counts)
		}
	}
}

// TestAllPoliciesThroughSeparateProcesses runs three processes with control and
// entry roles and two with the entry role. Through each of them it submits batch
// jobs and gangs and sends requests. A repetition under the same idempotency key
// must return the same job or response.
func TestAllPoliciesThroughSeparateProcesses(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 2})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startStandin("worker", "w1", c.processes, "--task-time", "200ms")
	c.startStandin("worker", "w2", c.processes[3:], "--task-time", "200ms")
	c.awaitWorkers(2)
	for i, p := range c.processes {
		cl := c.clientOf(c.keys["stands"], p)
		for _, policy := range []model.Policy{model.PolicyBatch, model.PolicyGang} {
			name := fmt.Sprintf("%s-%d", policy, i)
			job, err := cl.Submit(context.Background(), jobSpec(name, policy, 4, ""), name)
			assert.NilError(t, err)
			view := awaitJob(t, cl, job.ID)
			assert.Equal(t, view.Phase, "succeeded")
			assert.Equal(t, view.Counts.Succeeded, int32(4))
			again, err := cl.Submit(context.Background(), jobSpec(name, policy, 4, ""), name)
			assert.NilError(t, err)
			assert.Equal(t, again.ID, job.ID)
		}
	}
	service := jobSpec("fit", model.PolicyService, 2, "")
	service.Service = "fit"
	cl := c.clientOf(c.keys["stands"])
	_, err := cl.Submit(context.Background(), service, "service")
	assert.NilError(t, err)
	for i, p := range c.processes {
		for n := range 5 {
			body := fmt.Sprintf("measure %d.%d", i, n)
			answer, err := c.clientOf(c.keys["stands"], p).Request(context.Background(), "fit", client.RequestOptions{
				Body: []byte(body), Deadline: model.Duration(5 * time.Second)})
			assert.NilError(t, err)
			assert.Equal(t, answer.Status, 200)
			assert.Assert(t, len(answer.Body) > 0)
		}
		key := fmt.Sprintf("once-%d", i)
		once := client.RequestOptions{Body: []byte("cut"), NotRepeatable: true, IdempotencyKey: key, Deadline: model.Duration(5 * time.Second)}
		first, err := c.clientOf(c.keys["stands"], p).Request(context.Background(), "fit", once)
		assert.NilError(t, err)
		other := c.processes[(i+1)%len(c.processes)]
		second, err := c.clientOf(c.keys["stands"], other).Request(context.Background(), "fit", once)
		assert.NilError(t, err)
		assert.DeepEqual(t, first.Body, second.Body)
	}
	c.checkHistory()
}
