package schedule

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// suspects submits n jobs of one task, each of which is suspected since now.
func (c *fakeLeader) suspects(n int, spec model.JobSpec) (ids []model.JobID) {
	spec.Tasks = 1
	for range n {
		id := c.job(spec)
		c.s.Apply(TaskSuspected{Task: model.TaskID{Job: id}, Suspicion: KeepAlone, At: c.now})
		ids = append(ids, id)
	}
	return ids
}

// startAll plans at short intervals until all jobs are started, and returns how
// long that takes; limit if they are not started by then.
func (c *fakeLeader) startAll(ids []model.JobID, limit time.Duration) time.Duration {
	begun := c.now
	for c.now.Sub(begun) < limit {
		c.plan()
		waiting := 0
		for _, id := range ids {
			waiting += int(c.s.jobs[id].ready)
		}
		if waiting == 0 {
			return c.now.Sub(begun)
		}
		c.now = c.now.Add(20 * time.Millisecond) // as after the events of the placements
	}
	return limit
}

// suspectsStarting returns how many suspects are in their start on a worker.
func (c *fakeLeader) suspectsStarting(w *worker) (n int) {
	for _, r := range w.tasks {
		if r.job.suspects[r.index].suspicion != NotSuspected && c.now.Sub(r.task().since) < model.StartSpan {
			n++
		}
	}
	return n
}

// aloneBound is how long work that could run may wait for the sake of suspects: a second less
// than callers wait.
const aloneBound = 2*time.Second + 100*time.Millisecond

// Guards against tasks of one crash that keep a worker each, so that a cell of idle workers runs one task on each.
func TestSuspectsOfOneCrashDoNotKeepCellIdle(t *testing.T) {
	c := newCell()
	c.workers(8, cores(16))
	ids := c.suspects(60, model.JobSpec{Size: model.Resources{CPU: 250}})
	other := c.job(model.JobSpec{Tasks: 40, Size: cores(1)})
	waited := c.startAll(append(ids, other), time.Minute)
	assert.Assert(t, waited <= aloneBound, "the last is started after %s", waited)
	for i := range c.s.workers {
		n := c.suspectsStarting(&c.s.workers[i])
		assert.Assert(t, n <= (60+7)/8, "%d suspects start on %s", n, c.s.workers[i].id)
	}
	assert.Equal(t, len(audit(c.s)), 0, "%v", audit(c.s))
}

// Guards against work that waits for as long as the only workers that can run it are kept for suspects.
func TestWorkerThatIsKeptForSuspectIsLastChoice(t *testing.T) {
	rows := []struct {
		name string
		spec model.JobSpec
	}{
		{"task", model.JobSpec{Tasks: 1, Size: cores(2)}},
		{"gang", model.JobSpec{Policy: model.PolicyGang, Tasks: 4, Size: cores(2)}},
		{"service", model.JobSpec{Policy: model.PolicyService, Tasks: 1, Size: cores(2)}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCell()
			c.workers(10, cores(16))
			c.worker("only", "d0", "r0", cores(16), model.Labels{"kind": "b"})
			c.suspects(1, model.JobSpec{Size: cores(1), Selector: "kind=b"})
			assert.Equal(t, len(c.plan().Placements), 1)
			anywhere := c.job(row.spec)
			for _, p := range c.plan().Placements {
				assert.Assert(t, p.Task.Job == anywhere && p.Worker != "only")
			}
			row.spec.Selector = "kind=b"
			id := c.job(row.spec)
			assert.Equal(t, len(c.plan().Placements), 0, "the suspect is alone in its start")
			reasons := c.s.WaitReasons(id, c.now)
			assert.Assert(t, slices.ContainsFunc(reasons, func(r api.WhyNot) bool { return r.Reason == waitSuspect && r.Count == 1 }), "%v", reasons)
			for _, at := range c.s.Candidates(id) {
				assert.Assert(t, at.Room > 0, "permits are not queried in time")
			}
			waited := c.startAll([]model.JobID{id}, time.Minute)
			assert.Assert(t, waited <= model.StartSpan+20*time.Millisecond, "started after %s", waited)
		})
	}
}

// Guards against suspects that keep the free part of a cell of which most is in use for long after their start.
func TestSuspectsShareRoomOfBusyCellAfterTheirStart(t *testing.T) {
	c := newCell()
	c.workers(8, cores(16))
	c.job(model.JobSpec{Tasks: 8, Size: cores(10), Exclusive: true})
	assert.Equal(t, len(c.plan().Placements), 8)
	c.now = c.now.Add(time.Minute)
	ids := c.suspects(60, model.JobSpec{Size: model.Resources{CPU: 250}})
	other := c.job(model.JobSpec{Tasks: 20, Size: cores(1), Patience: hour})
	waited := c.startAll(append(ids, other), time.Minute)
	assert.Assert(t, waited <= 60/8*model.StartSpan+aloneBound, "the last is started after %s", waited)
}

// Guards against many suspects that keep the only worker that can run other work, one after the other.
func TestSuspectsKeepOnlyWorkerForBoundedTime(t *testing.T) {
	c := newCell()
	c.worker("only", "d0", "r0", cores(64), nil)
	ids := c.suspects(40, model.JobSpec{Size: cores(1)})
	other := c.job(model.JobSpec{Tasks: 1, Size: cores(1), Patience: hour})
	waited := c.startAll(append(ids, other), time.Minute)
	assert.Assert(t, waited <= aloneBound, "started after %s", waited)
}

// Guards against a deadly task that crashes its workers along with the same innocent ones each time.
func TestFurtherCrashLeavesPartOfSuspects(t *testing.T) {
	c := newCell()
	c.workers(8, cores(16))
	ids := c.suspects(60, model.JobSpec{Size: model.Resources{CPU: 250}})
	c.startAll(ids, time.Minute)
	c.now = c.now.Add(100 * time.Millisecond)
	guilty := c.s.jobs[ids[len(ids)-1]].tasks[0].worker
	var again []model.JobID
	for _, r := range c.s.workers[guilty].tasks {
		if r.task().state == taskRunning && c.now.Sub(r.task().since) < model.StartSpan {
			again = append(again, r.job.id)
		}
	}
	assert.Assert(t, len(again) <= 60/8+1, "%d were starting together", len(again))
	for _, id := range again {
		c.end(model.TaskID{Job: id}, Lost, 0, false)
		c.s.Apply(TaskSuspected{Task: model.TaskID{Job: id}, Suspicion: KeepAlone, At: c.now})
	}
	for _, id := range ids {
		if c.s.jobs[id].assigned > 0 {
			c.s.Apply(TaskSuspected{Task: model.TaskID{Job: id}, At: c.now.Add(5 * time.Second)})
		}
	}
	c.now = c.now.Add(5 * time.Second)
	for range again {
		for _, p := range c.plan().Placements {
			w := &c.s.workers[c.s.workerByID[p.Worker]]
			for _, r := range w.tasks {
				starting := r.job.id != p.Task.Job && c.now.Sub(r.task().since) < model.StartSpan
				assert.Assert(t, !starting, "%s starts beside %s", p.Task.Job, r.job.id)
			}
		}
		c.now = c.now.Add(aloneRetry)
	}
}
