package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func (c *fakeLeader) jobNeedingPermit(spec model.JobSpec) model.JobID {
	c.nextJob++
	spec.Team, spec.Name = "a", "job"
	c.s.Apply(JobSubmitted{ID: c.nextJob, Spec: spec, Team: "a", At: c.now, StartBy: c.now.Add(spec.Patience.Std()), NeedsPermit: true})
	return c.nextJob
}

func (c *fakeLeader) permit(id model.JobID, until model.Time, workers ...model.WorkerID) {
	ev := JobPermitsChanged{ID: id}
	for _, w := range workers {
		ev.Permits = append(ev.Permits, Permit{Worker: w, Until: until})
	}
	c.s.Apply(ev)
}

func TestJobIsPlacedOnlyOnPermittedWorkers(t *testing.T) {
	for _, policy := range []model.Policy{model.PolicyBatch, model.PolicyGang, model.PolicyService} {
		t.Run(string(policy), func(t *testing.T) {
			c := newCell()
			c.workers(4, cores(4))
			id := c.jobNeedingPermit(model.JobSpec{Tasks: 2, Size: cores(2), Policy: policy})
			assert.Equal(t, len(c.plan().Placements), 0, "the job has no permit yet")
			c.permit(id, c.now+1000, "w002")
			p := c.plan()
			assert.Equal(t, len(p.Placements), 2)
			for _, e := range p.Placements {
				assert.Equal(t, e.Worker, model.WorkerID("w002"))
			}
		})
	}
}

func TestExpiredPermitIsNotUsed(t *testing.T) {
	c := newCell()
	c.workers(4, cores(4))
	id := c.jobNeedingPermit(model.JobSpec{Tasks: 1, Size: cores(2)})
	c.permit(id, c.now+1000, "w002")
	c.now += 1000
	assert.Equal(t, len(c.plan().Placements), 0)
	c.permit(id, c.now+1000, "w003")
	assert.Equal(t, len(c.plan().Placements), 1)
}

// A job that waits for its permit must not block another job of the same group.
func TestJobWithoutPermitDoesNotBlockOthers(t *testing.T) {
	c := newCell()
	c.workers(1, cores(4))
	c.jobNeedingPermit(model.JobSpec{Tasks: 1, Size: cores(2)})
	second := c.jobNeedingPermit(model.JobSpec{Tasks: 1, Size: cores(2), Patience: hour})
	c.permit(second, c.now+1000, "w000")
	p := c.plan()
	assert.Equal(t, len(p.Placements), 1)
	assert.Equal(t, p.Placements[0].Task.Job, second)
}

func TestGangWaitsUntilNoTaskIsAssigned(t *testing.T) {
	c := newCell()
	c.workers(2, cores(4))
	id := c.job(model.JobSpec{Tasks: 2, Size: cores(2), Policy: model.PolicyGang, MaxRestarts: 3})
	assert.Equal(t, len(c.plan().Placements), 2)
	c.end(model.TaskID{Job: id}, Preempted, time.Second, false)
	assert.Equal(t, len(c.plan().Placements), 0)
	c.end(model.TaskID{Job: id, Index: 1}, Preempted, time.Second, false)
	assert.Equal(t, len(c.plan().Placements), 2)
}

func TestRestartBudgetOnlyJobIsNotFailedAsBad(t *testing.T) {
	c := newCell()
	c.workers(8, cores(4))
	c.nextJob++
	spec := model.JobSpec{Name: "job", Team: "a", Tasks: 8, Size: cores(4), MaxRestarts: 3}
	c.s.Apply(JobSubmitted{ID: c.nextJob, Spec: spec, Team: "a", At: c.now, StartBy: c.now, RestartBudgetOnly: true})
	assert.Equal(t, len(c.plan().Placements), 8)
	for i := range int32(7) {
		c.end(model.TaskID{Job: c.nextJob, Index: i}, Failed, time.Second, false)
	}
	assert.Equal(t, len(c.plan().Failures), 0)
}

// Twice the capacity of the cell is submitted for 20 s, then nothing. Each job
// runs for 1 s and is in time if it starts within 2 s. Ordering by promised start
// alone makes nearly all jobs late; the test compares it with ordering by promised
// start with LateShift.
func TestLateShiftStartsMoreJobsInTimeUnderOverload(t *testing.T) {
	inTime := func(o Options) (startedInTime, started int) {
		c := newCell()
		o.Seed, o.KeepRunning = 1, true
		c.s = New(o)
		c.s.Apply(ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: 1000}}})
		c.workers(4, cores(2))
		submitted := map[model.JobID]model.Time{}
		ends := map[model.Time][]model.TaskID{}
		const step, perStep, run = 100, 16, 1000 // ms
		for n := 0; n < 600; n++ {
			c.now += step
			for _, id := range ends[c.now] {
				c.end(id, Succeeded, run*time.Millisecond, true)
			}
			if n < 200 && n%10 == 0 {
				for range perStep {
					submitted[c.job(model.JobSpec{Tasks: 1, Size: cores(1), Patience: model.Duration(2 * time.Second)})] = c.now
				}
			}
			for _, e := range c.plan().Placements {
				ends[c.now+run] = append(ends[c.now+run], e.Task)
				started++
				if c.now <= submitted[e.Task.Job].Add(2*time.Second) {
					startedInTime++
				}
			}
		}
		return startedInTime, started
	}
	withoutShift, allWithoutShift := inTime(Options{})
	withShift, allWithShift := inTime(Options{LateShift: 15 * time.Second, LateGrace: 100 * time.Millisecond})
	assert.Equal(t, allWithoutShift, 320, "every job starts in the end")
	assert.Equal(t, allWithShift, 320)
	t.Logf("in time: %d ordered by promised start alone, %d with LateShift", withoutShift, withShift)
	assert.Assert(t, withShift >= 2*withoutShift)
}
