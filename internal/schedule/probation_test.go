package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// greyCell returns a cell with 14 sound workers and bad ones with the label "kind=b", which
// have just been put on probation.
func greyCell(t *testing.T, bad int) *fakeLeader {
	t.Helper()
	c := newCell()
	c.s.opts.KeepRunning = true
	c.workers(14, cores(4))
	for i := range bad {
		id := model.WorkerID(fmt.Sprint("bad", i))
		c.worker(string(id), "d0", "r0", cores(8), model.Labels{"kind": "b"})
		for range DefaultProbationJobs {
			task := model.TaskID{Job: c.job(model.JobSpec{Tasks: 1, Size: cores(1), MaxRestarts: 3})}
			c.s.Apply(TaskPlaced{Task: task, Worker: id, Size: cores(1), At: c.now})
			c.s.Apply(TaskRunning{Task: task, At: c.now})
			c.end(task, Failed, time.Second, true)
		}
		_, _, probation, _ := c.s.Worker(id)
		assert.Assert(t, probation)
	}
	return c
}

// startedAfter returns how long it takes until a job is placed, with a plan whenever the last
// one asks for it, and limit if it is not placed by then.
func (c *fakeLeader) startedAfter(id model.JobID, limit time.Duration) time.Duration {
	begun := c.now
	for c.now.Sub(begun) < limit {
		p := c.plan()
		for _, e := range p.Placements {
			if e.Task.Job == id {
				return c.now.Sub(begun)
			}
		}
		if p.NextWake == 0 {
			return limit
		}
		c.now = max(p.NextWake, c.now+1)
	}
	return limit
}

// idleBound is how long work that could run on sound workers may have nothing running, from
// 4 s after their trouble on.
const idleBound = 7 * time.Second

// Guards against work that only workers on probation can run, and that waits for ever, or for half a minute.
func TestWorkThatOnlyWorkersOnProbationCanRunIsTriedThere(t *testing.T) {
	rows := []struct {
		name string
		spec model.JobSpec
	}{
		{"gang on two workers", model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(6)}},
		{"gang with several members on a worker", model.JobSpec{Policy: model.PolicyGang, Tasks: 8, Size: cores(2), MaxRestarts: 3}},
		{"gang of one member a worker", model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(1), Exclusive: true}},
		{"task", model.JobSpec{Tasks: 1, Size: cores(2), MaxRestarts: 3}},
		{"task without a restart left", model.JobSpec{Tasks: 1, Size: cores(2)}},
		{"task that is not repeatable", model.JobSpec{Tasks: 1, Size: cores(2), NotRepeatable: true}},
		{"service", model.JobSpec{Tasks: 1, Size: cores(2), Policy: model.PolicyService}},
		{"service with a restart budget", model.JobSpec{Tasks: 1, Size: cores(2), Policy: model.PolicyService, MaxRestarts: 1}},
		{"task that fits on no other worker", model.JobSpec{Tasks: 1, Size: cores(7), MaxRestarts: 3}},
	}
	for _, row := range rows {
		for _, sound := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprint(row.name, ", after ", sound), func(t *testing.T) {
				c := greyCell(t, 2)
				c.now = c.now.Add(sound)
				if row.spec.Size != cores(7) {
					row.spec.Selector = "kind=b"
				}
				waited := c.startedAfter(c.job(row.spec), time.Hour)
				assert.Assert(t, waited+sound < idleBound, "started after %s", waited)
				if sound > 0 {
					assert.Equal(t, waited, time.Duration(0))
				}
				assert.Equal(t, len(audit(c.s)), 0, "%v", audit(c.s))
			})
		}
	}
}

// Guards against work beside one that lasts, which is the probe for half a minute.
func TestWorkerOnProbationIsGivenMoreOnceItsProbeRuns(t *testing.T) {
	c := greyCell(t, 2)
	c.startedAfter(c.job(model.JobSpec{Tasks: 2, Size: cores(1), Selector: "kind=b", Exclusive: true, Policy: model.PolicyService}), time.Minute)
	for _, spec := range []model.JobSpec{
		{Tasks: 1, Size: cores(1), Selector: "kind=b", MaxRestarts: 3},
		{Tasks: 2, Size: cores(5), Selector: "kind=b", MaxRestarts: 3, Policy: model.PolicyGang},
	} {
		waited := c.startedAfter(c.job(spec), time.Hour)
		assert.Assert(t, waited < idleBound, "started after %s", waited)
	}
}

// Guards against workers that fail all tasks and use up the attempts of work that can run elsewhere, or of much work at once.
func TestWorkerThatGoesOnFailingCostsFewAttempts(t *testing.T) {
	for _, policy := range []model.Policy{model.PolicyBatch, model.PolicyGang} {
		c := greyCell(t, 2)
		begun, failed := c.now, 0
		for range 20 {
			c.job(model.JobSpec{Tasks: 2, Size: cores(2), MaxRestarts: 100, Policy: policy, Selector: "kind=b", Patience: hour})
			c.job(model.JobSpec{Tasks: 2, Size: cores(1), MaxRestarts: 100, Policy: policy})
		}
		for c.now.Sub(begun) < 25*time.Second {
			for _, e := range c.plan().Placements {
				if c.s.workers[c.s.workerByID[e.Worker]].onProbation() {
					failed++
					assert.Equal(t, c.s.jobs[e.Task.Job].patience(), model.Time(time.Duration(hour).Milliseconds()), "fits elsewhere")
					c.s.Apply(TaskEnded{Task: e.Task, Outcome: Failed, RanFor: 100 * time.Millisecond, At: c.now + 100})
				}
			}
			c.now = c.now.Add(200 * time.Millisecond)
		}
		// After 1 s, 2 s, 4 s and then each 4 s, on two workers.
		assert.Assert(t, failed >= 2*4 && failed <= 2*8, "%s: %d attempts have failed", policy, failed)
	}
}

// Guards against a gang that takes a worker on probation while it fits on others, and one that may not book one.
func TestGangThatNeedsPermitsIsBookedOnWorkersOnProbation(t *testing.T) {
	c := greyCell(t, 2)
	c.now = c.now.Add(5 * time.Second)
	gang := func(selector string) model.JobID {
		c.nextJob++
		spec := model.JobSpec{Name: "gang", Team: "a", Policy: model.PolicyGang, Tasks: 2, Size: cores(4), MaxRestarts: 3, Selector: selector, Exclusive: true}
		c.s.Apply(JobSubmitted{ID: c.nextJob, Spec: spec, Team: "a", At: c.now, StartBy: c.now, NeedsPermit: true})
		return c.nextJob
	}
	anywhere, id := gang(""), gang("kind=b")
	for _, at := range c.s.Candidates(anywhere) {
		assert.Equal(t, at.Room == 0, at.Worker == "bad0" || at.Worker == "bad1", "%s", at.Worker)
	}
	for _, at := range c.s.Candidates(id) {
		assert.Equal(t, at.Room, int64(1), "%s", at.Worker)
	}
	grant := func(first, second time.Duration) {
		c.s.Apply(JobPermitsChanged{ID: id, Permits: []Permit{{Worker: "bad0", Until: c.now.Add(first)}, {Worker: "bad1", Until: c.now.Add(second)}}})
	}
	grant(time.Second, 0)
	c.now++
	c.plan()
	assert.Equal(t, len(c.s.Booked()), 1)
	c.plan()
	assert.Equal(t, len(c.s.Booked()), 1, "it is kept")
	grant(time.Second, time.Second)
	assert.Equal(t, len(c.plan().Placements), 2)
}
