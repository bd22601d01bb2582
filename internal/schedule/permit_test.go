package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
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

func TestWaitReasonsCountsWorkersWithoutValidPermit(t *testing.T) {
	valid := func(w model.WorkerID) Permit { return Permit{Worker: w, Until: newCell().now + 1} }
	expired := func(w model.WorkerID) Permit { return Permit{Worker: w, Until: newCell().now} }
	rows := []struct {
		name     string
		spec     model.JobSpec
		ungated  bool
		permits  []Permit
		occupied int32 // workers that another job fills
		want     []api.WhyNot
	}{
		{"no worker is permitted", model.JobSpec{Tasks: 1, Size: cores(2)}, false, nil, 0, []api.WhyNot{
			{Reason: waitPermit, Count: 4, Detail: "workers have enough free capacity but no valid permit (not permitted: 4, expired: 0)"},
		}},
		{"permits have expired", model.JobSpec{Tasks: 1, Size: cores(2)}, false, []Permit{expired("w000"), expired("w001"), expired("w002")}, 0, []api.WhyNot{
			{Reason: waitPermit, Count: 4, Detail: "workers have enough free capacity but no valid permit (not permitted: 1, expired: 3)"},
		}},
		{"a worker with a valid permit has room", model.JobSpec{Tasks: 1, Size: cores(2)}, false, []Permit{valid("w000"), expired("w001")}, 0, []api.WhyNot{
			{Reason: waitPermit, Count: 3, Detail: "workers have enough free capacity but no valid permit (not permitted: 2, expired: 1)"},
			{Reason: waitNext, Count: 1, Detail: "workers have enough free capacity for a task"},
		}},
		{"full workers count as full, whatever their permits", model.JobSpec{Tasks: 1, Size: cores(2)}, false, nil, 4, []api.WhyNot{
			{Reason: waitShare, Count: 4, Detail: "workers have too little free capacity; team a uses 100% of its share"},
		}},
		{"the workers with valid permits hold too few tasks of a gang", model.JobSpec{Policy: model.PolicyGang, Tasks: 5, Size: cores(2)}, false, []Permit{valid("w000"), valid("w001"), expired("w002")}, 0, []api.WhyNot{
			{Reason: waitPermit, Count: 2, Detail: "workers have enough free capacity but no valid permit (not permitted: 1, expired: 1)"},
			{Reason: waitGang, Count: 1, Detail: "tasks of the gang have no room: the workers with enough free capacity and a valid permit hold 4 of 5 tasks"},
			{Reason: waitNext, Count: 2, Detail: "workers have enough free capacity for a task"},
		}},
		{"the workers with valid permits hold one task each of an exclusive gang", model.JobSpec{Policy: model.PolicyGang, Tasks: 3, Size: cores(1), Exclusive: true}, false, []Permit{valid("w000"), valid("w001")}, 0, []api.WhyNot{
			{Reason: waitPermit, Count: 2, Detail: "workers have enough free capacity but no valid permit (not permitted: 2, expired: 0)"},
			{Reason: waitGang, Count: 1, Detail: "tasks of the gang have no room: the workers with enough free capacity and a valid permit hold 2 of 3 tasks"},
			{Reason: waitNext, Count: 2, Detail: "workers have enough free capacity for a task"},
		}},
		{"the workers with valid permits hold the whole gang", model.JobSpec{Policy: model.PolicyGang, Tasks: 4, Size: cores(2)}, false, []Permit{valid("w000"), valid("w001"), valid("w002")}, 0, []api.WhyNot{
			{Reason: waitPermit, Count: 1, Detail: "workers have enough free capacity but no valid permit (not permitted: 1, expired: 0)"},
			{Reason: waitNext, Count: 3, Detail: "workers have enough free capacity for a task"},
		}},
		{"a gang that needs no permit is larger than the free capacity", model.JobSpec{Policy: model.PolicyGang, Tasks: 10, Size: cores(2)}, true, nil, 0, []api.WhyNot{
			{Reason: waitGang, Count: 2, Detail: "tasks of the gang have no room: the workers with enough free capacity hold 8 of 10 tasks"},
			{Reason: waitNext, Count: 4, Detail: "workers have enough free capacity for a task"},
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCell()
			c.workers(4, cores(4))
			if row.occupied > 0 {
				c.job(model.JobSpec{Tasks: row.occupied, Size: cores(4)})
				c.plan()
			}
			submit := c.jobNeedingPermit
			if row.ungated {
				submit = c.job
			}
			id := submit(row.spec)
			c.s.Apply(JobPermitsChanged{ID: id, Permits: row.permits})
			assert.DeepEqual(t, c.s.WaitReasons(id, c.now), row.want)
		})
	}
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

func TestLateJobsCountsJobsThatWaitPastTheirPromisedStart(t *testing.T) {
	c := newCell()
	c.workers(1, cores(4))
	c.job(model.JobSpec{Tasks: 1, Size: cores(4), Patience: model.Duration(time.Second)})
	c.plan()
	c.job(model.JobSpec{Tasks: 1, Size: cores(4), Patience: model.Duration(time.Second)})
	c.job(model.JobSpec{Tasks: 1, Size: cores(4), Patience: hour})
	promised := c.now.Add(time.Second)
	assert.Equal(t, c.s.LateJobs(promised), 0)
	assert.Equal(t, c.s.LateJobs(promised+1), 1, "the first job runs, the last one has time")
}

// Twice the capacity of the cell is submitted for 20 s, then nothing. Each job
// runs for 1 s and is in time if it starts within 2 s. Ordering by promised start
// alone makes nearly all jobs late; the test compares it with ordering by promised
// start with Lateness.Shift.
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
	withShift, allWithShift := inTime(Options{Lateness: lateness.Options{Shift: 15 * time.Second, Grace: 100 * time.Millisecond}})
	assert.Equal(t, allWithoutShift, 320, "every job starts in the end")
	assert.Equal(t, allWithShift, 320)
	t.Logf("in time: %d ordered by promised start alone, %d with Lateness.Shift", withoutShift, withShift)
	assert.Assert(t, withShift >= 2*withoutShift)
}

// A burst of four times the capacity of the cell comes for 4 s. A start takes 200 ms, each job
// runs for 600 ms and is in time if it ends within 1.5 s, of use within 4.5 s. Ordered by
// promised start with a grace alone, each job is started when it has just become late.
func TestMarginServesShortWorkInTimeThroughBurst(t *testing.T) {
	const step, delay, run = 20, 200, 600 // ms
	const allowed, useful = 1500, 4500    // ms from the submission
	play := func(o lateness.Options) (inTime, ofUse int) {
		c := newCell()
		c.s = New(Options{Seed: 1, KeepRunning: true, AgeingSpan: time.Second, Lateness: o})
		c.s.Apply(ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: 1000}}})
		c.workers(16, cores(1))
		submitted := map[model.JobID]model.Time{}
		ends := map[model.Time][]model.TaskID{}
		for n := range 1000 {
			c.now += step
			for _, id := range ends[c.now] {
				c.end(id, Succeeded, run*time.Millisecond, true)
				switch took := c.now - submitted[id.Job]; {
				case took <= allowed:
					inTime++
					ofUse++
				case took <= useful:
					ofUse++
				}
			}
			if n < 200 && n%5 == 0 { // eight jobs in 100 ms, of which the cell serves two
				for range 8 {
					spec := model.JobSpec{Tasks: 1, Size: cores(1), RunTime: model.Duration(run * time.Millisecond), Patience: model.Duration((allowed - run) * time.Millisecond)}
					submitted[c.job(spec)] = c.now
				}
			}
			for _, e := range c.plan().Placements {
				at := c.now + delay + run
				ends[at] = append(ends[at], e.Task)
			}
		}
		return inTime, ofUse
	}
	graceInTime, graceOfUse := play(lateness.Options{Shift: 30 * time.Second, Grace: 500 * time.Millisecond})
	inTime, ofUse := play(lateness.Options{Shift: 30 * time.Second, Margin: 250 * time.Millisecond, UsefulFactor: 3})
	t.Logf("in time %d, of use %d; with a grace alone %d and %d", inTime, ofUse, graceInTime, graceOfUse)
	assert.Assert(t, inTime >= 2*graceInTime)
	assert.Assert(t, ofUse >= graceOfUse)
}

func TestCandidatesReportRoomForTasks(t *testing.T) {
	c := newCell()
	c.worker("empty", "d0", "r0", cores(8), nil)
	c.worker("small", "d0", "r0", cores(1), nil)
	c.worker("partly", "d0", "r0", cores(9), nil)
	c.job(model.JobSpec{Tasks: 1, Size: cores(5)})
	assert.Equal(t, c.plan().Placements[0].Worker, model.WorkerID("empty"), "the tightest")
	for _, row := range []struct {
		name string
		spec model.JobSpec
		want map[model.WorkerID]int64
	}{
		{"as many as fit", model.JobSpec{Tasks: 9, Size: cores(3)}, map[model.WorkerID]int64{"empty": 1, "partly": 3}},
		{"one each of an exclusive job", model.JobSpec{Tasks: 9, Size: cores(3), Exclusive: true}, map[model.WorkerID]int64{"empty": 1, "partly": 1}},
		{"none on a full worker", model.JobSpec{Tasks: 9, Size: cores(4)}, map[model.WorkerID]int64{"empty": 0, "partly": 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := map[model.WorkerID]int64{}
			for _, w := range c.s.Candidates(c.jobNeedingPermit(row.spec)) {
				got[w.Worker] = w.Room
			}
			assert.DeepEqual(t, got, row.want)
		})
	}
}

func TestGangWithExpiredPermitsAtTeamLimitIsNotOvertakenByItsTeam(t *testing.T) {
	for name, valid := range map[string]model.Time{"valid permits": 1000, "expired permits": 0} {
		t.Run(name, func(t *testing.T) {
			c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 5})
			c.workers(8, cores(4))
			c.job(model.JobSpec{Name: "running", Tasks: 2, Size: cores(1), Patience: hour})
			c.plan()
			gang := c.jobNeedingPermit(model.JobSpec{Policy: model.PolicyGang, Tasks: 4, Size: cores(2), Patience: model.Duration(time.Second)})
			c.now = c.now.Add(time.Minute)
			c.permit(gang, c.now+valid, "w000", "w001", "w002", "w003", "w004", "w005")
			c.job(model.JobSpec{Name: "small", Tasks: 3, Size: cores(1), Patience: hour})
			assert.Equal(t, len(c.plan().Placements), 0, "the gang needs what its team has left and more")
		})
	}
}

func TestWaitReasonsNameResourceLimitOfWholeGang(t *testing.T) {
	c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 100, MaxResources: cores(6)})
	c.workers(8, cores(4))
	gang := c.job(model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(2)})
	assert.Equal(t, len(c.plan().Placements), 2)
	second := c.job(model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(2)})
	assert.Equal(t, len(c.plan().Placements), 0)
	assert.Assert(t, len(c.s.WaitReasons(gang, c.now)) == 0)
	reasons := c.s.WaitReasons(second, c.now)
	assert.Assert(t, len(reasons) > 0 && reasons[0].Reason == waitLimit, "%v", reasons)
}

func TestWaitReasonsNameTheJobsThatComeFirst(t *testing.T) {
	c := newCell()
	c.workers(2, cores(4))
	c.job(model.JobSpec{Tasks: 2, Size: cores(3), Patience: hour})
	c.plan()
	gang := c.job(model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(4)})
	c.now = c.now.Add(time.Minute)
	c.plan()
	assert.Equal(t, c.s.Stats().Reservations, 1)
	waits := c.job(model.JobSpec{Tasks: 1, Size: cores(1), Patience: hour})
	details := map[string]string{}
	for _, w := range c.s.WaitReasons(waits, c.now) {
		details[w.Reason] = w.Detail
	}
	assert.Equal(t, details[waitReservation], "workers are reserved for other waiting jobs and have room for 2 tasks now: "+gang.String()+" (team a, 2 workers)")
	assert.Equal(t, details[waitQueue], "jobs of team a have an earlier promised start; the first is job "+gang.String()+", which no other job of the team may overtake")
}

// Guards against a job that missed its promised start and looks as if only older jobs came first.
func TestWaitReasonsNameTheMoveOfLateJob(t *testing.T) {
	c := newCell()
	c.s.opts.Lateness = lateness.Options{Shift: 30 * time.Second, Grace: 500 * time.Millisecond}
	c.workers(1, cores(4))
	c.job(model.JobSpec{Tasks: 1, Size: cores(4), Patience: hour})
	c.plan()
	spec := model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(2), Patience: model.Duration(2 * time.Second)}
	late := c.job(spec)
	assert.Equal(t, reasonNamed(c.s.WaitReasons(late, c.now), waitMoved), api.WhyNot{}, "it is in time")
	c.now = c.now.Add(3 * time.Second)
	later := c.job(spec)
	c.plan()
	assert.Equal(t, reasonNamed(c.s.WaitReasons(late, c.now), waitMoved), api.WhyNot{Reason: waitMoved, Count: 1,
		Detail: "jobs with a later promised start come first: this one missed its own by 1s and was moved back by 30s; it may reserve workers in 24s"})
	assert.Equal(t, reasonNamed(c.s.WaitReasons(later, c.now), waitMoved), api.WhyNot{}, "it is in time")
}

func reasonNamed(reasons []api.WhyNot, name string) api.WhyNot {
	for _, r := range reasons {
		if r.Reason == name {
			return r
		}
	}
	return api.WhyNot{}
}

func TestJobsWithoutRunningTaskAreListedByPromisedStart(t *testing.T) {
	c := newCell()
	c.workers(1, cores(4))
	running := c.job(model.JobSpec{Tasks: 1, Size: cores(3), Patience: hour})
	c.plan()
	c.s.Apply(TaskRunning{Task: model.TaskID{Job: running}, At: c.now})
	later := c.job(model.JobSpec{Tasks: 1, Size: cores(3), Patience: model.Duration(2 * time.Second)})
	sooner := c.job(model.JobSpec{Tasks: 1, Size: cores(3), Patience: model.Duration(time.Second)})
	assert.DeepEqual(t, c.s.NotRunning(c.now.Add(time.Minute)), []model.JobID{sooner, later})
	assert.Equal(t, len(c.s.NotRunning(c.now)), 0, "they are not late yet")
}

// Guards against the same behind an exclusive job whose tasks are on all workers.
func TestExclusiveJobThatIsOnAllWorkersDoesNotBlockOthers(t *testing.T) {
	c := newCell()
	c.workers(2, cores(4))
	spec := model.JobSpec{Tasks: 3, Size: cores(1), Exclusive: true, Patience: hour}
	first, second := c.job(spec), c.job(spec)
	perJob := map[model.JobID]int{}
	for _, p := range c.plan().Placements {
		perJob[p.Task.Job]++
	}
	assert.DeepEqual(t, perJob, map[model.JobID]int{first: 2, second: 2})
}

// Guards against a job that never starts on a worker with room behind one whose permitted workers are full.
func TestJobWhosePermittedWorkersAreFullDoesNotBlockOthers(t *testing.T) {
	for _, policy := range []model.Policy{model.PolicyBatch, model.PolicyGang} {
		t.Run(string(policy), func(t *testing.T) {
			c := newCell()
			c.workers(1, cores(4))
			c.job(model.JobSpec{Tasks: 1, Size: cores(4), Patience: hour})
			assert.Equal(t, len(c.plan().Placements), 1)
			c.worker("w001", "d0", "r0", cores(4), nil)
			spec := model.JobSpec{Tasks: 2, Size: cores(2), Policy: policy, Patience: hour}
			first, second := c.jobNeedingPermit(spec), c.jobNeedingPermit(spec)
			c.permit(first, c.now+1000, "w000")
			c.permit(second, c.now+1000, "w001")
			p := c.plan()
			assert.Equal(t, len(p.Placements), 2)
			assert.Equal(t, p.Placements[0].Task.Job, second)
		})
	}
}
