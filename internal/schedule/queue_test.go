package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// serveQueues makes each queue one of the given service.
func (c *fakeLeader) serveQueues(services map[string]string) {
	e := ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: 1000}}}
	for name, service := range services {
		e.Queues = append(e.Queues, model.Queue{Name: name, Service: service})
	}
	c.s.Apply(e)
}

// twoServices returns a cell with a worker of service "old", which is full, and two idle ones of
// service "new". Queue "flows" is one of service "old".
func twoServices(t *testing.T) *fakeLeader {
	t.Helper()
	c := newCell()
	c.s.opts.KeepRunning = true
	c.serveQueues(map[string]string{"flows": "old", "full": "old"})
	c.worker("old", "d0", "r0", cores(4), model.Labels{model.LabelService: "old"})
	c.worker("new1", "d1", "r1", cores(4), model.Labels{model.LabelService: "new", "kind": "b"})
	c.worker("new2", "d1", "r1", cores(4), model.Labels{model.LabelService: "new", "kind": "b"})
	c.job(model.JobSpec{Queue: "full", Tasks: 1, Size: cores(4)})
	assert.Equal(t, len(c.plan().Placements), 1)
	return c
}

// Guards against jobs that wait for the service that their queue had when they came, and never start once it goes to another.
func TestWaitingJobFollowsItsQueueToOtherService(t *testing.T) {
	rows := []struct {
		name string
		spec model.JobSpec
		late time.Duration // waited before the queue goes to the other service
	}{
		{"task", model.JobSpec{Tasks: 1}, 0},
		{"service", model.JobSpec{Tasks: 1, Policy: model.PolicyService}, 0},
		{"gang", model.JobSpec{Tasks: 2, Policy: model.PolicyGang}, 0},
		{"task that only the other service can run", model.JobSpec{Tasks: 1, Selector: "kind=b"}, 0},
		{"task that has reserved a worker", model.JobSpec{Tasks: 1}, time.Minute},
		{"exclusive tasks", model.JobSpec{Tasks: 2, Exclusive: true}, time.Minute},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := twoServices(t)
			row.spec.Queue, row.spec.Size, row.spec.Patience = "flows", cores(3), model.Duration(time.Second)
			id := c.job(row.spec)
			c.plan()
			c.now = c.now.Add(row.late)
			assert.Equal(t, len(c.plan().Placements), 0)
			c.serveQueues(map[string]string{"flows": "new", "full": "old"})
			placed := c.plan().Placements
			assert.Equal(t, len(placed), int(row.spec.Tasks))
			for _, p := range placed {
				assert.Equal(t, p.Task.Job, id)
				assert.Assert(t, p.Worker == "new1" || p.Worker == "new2")
			}
			assert.Equal(t, len(c.s.reservations), 0)
			assert.Equal(t, len(audit(c.s)), 0, "%v", audit(c.s))
		})
	}
}

// Guards against jobs that start on the workers of a service that their queue has left.
func TestNoTaskIsPlacedOnServiceThatItsQueueHasLeft(t *testing.T) {
	c := twoServices(t)
	c.serveQueues(map[string]string{"flows": "new"})
	id := c.job(model.JobSpec{Queue: "flows", Tasks: 3, Size: cores(2), Patience: hour})
	assert.Assert(t, c.s.Serves("new1", id) && !c.s.Serves("old", id))
	c.serveQueues(map[string]string{"flows": "old"})
	assert.Assert(t, c.s.Serves("old", id) && !c.s.Serves("new1", id))
	assert.Equal(t, len(c.plan().Placements), 0, "the worker of its service is full")
	for range 300 {
		c.serveQueues(map[string]string{"flows": "new"})
		c.serveQueues(map[string]string{"flows": "old"})
	}
	assert.Equal(t, len(c.s.selectors.byText), 1, "the selectors of earlier services are dropped")
	c.serveQueues(nil)
	assert.Assert(t, c.s.Serves("old", id) && !c.s.Serves("new1", id), "a queue that is gone keeps its last service")
}

// Guards against a reservation, and against queries of the policy service, for workers of a service that the queue has left.
func TestGangThatNeedsPermitsFollowsItsQueueToOtherService(t *testing.T) {
	c := twoServices(t)
	c.nextJob++
	id := c.nextJob
	spec := model.JobSpec{Name: "gang", Team: "a", Queue: "flows", Policy: model.PolicyGang, Tasks: 2, Size: cores(2)}
	c.s.Apply(JobSubmitted{ID: id, Spec: spec, Team: "a", At: c.now, StartBy: c.now, NeedsPermit: true})
	c.s.Apply(JobPermitsChanged{ID: id, Permits: []Permit{{Worker: "old", Until: c.now.Add(time.Hour)}}})
	c.now = c.now.Add(time.Minute)
	c.plan()
	assert.Equal(t, len(c.s.reservations), 1)
	c.serveQueues(map[string]string{"flows": "new", "full": "old"})
	c.plan()
	assert.Equal(t, len(c.s.reservations), 0)
	var room int64
	for _, at := range c.s.Candidates(id) {
		assert.Assert(t, at.Worker != "old")
		room += at.Room
	}
	assert.Equal(t, room, int64(4))
	c.s.Apply(JobPermitsChanged{ID: id, Permits: []Permit{{Worker: "new1", Until: c.now.Add(time.Hour)}}})
	assert.Equal(t, len(c.plan().Placements), 2)
}

// Guards against jobs that are admitted though no worker of their queue's service can run them.
func TestJobThatNoWorkerOfItsServiceCanRunIsRejected(t *testing.T) {
	c := twoServices(t)
	spec := &model.JobSpec{Tasks: 1, Size: cores(1), Selector: "kind=b"}
	assert.NilError(t, c.s.Check(spec, &model.Queue{Service: "new"}))
	err := c.s.Check(spec, &model.Queue{Service: "old"})
	assert.Equal(t, errkind.Of(err), errkind.NoMatchingWorker)
}
