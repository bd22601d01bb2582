package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Guards against a gang that can never start beside a service of its team and stops all other jobs of the team.
func TestGangThatFitsItsLimitOnlyWithoutServiceStopsNoOtherJob(t *testing.T) {
	c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000, MaxResources: model.Resources{CPU: 40_000}})
	c.workers(8, cores(16))
	c.job(model.JobSpec{Name: "lasts", Policy: model.PolicyService, Tasks: 1, Size: cores(10)})
	assert.Equal(t, len(c.plan().Placements), 1)
	c.job(model.JobSpec{Name: "gang", Policy: model.PolicyGang, Tasks: 5, Size: cores(7)})
	assert.Equal(t, len(c.plan().Placements), 0)
	c.now = c.now.Add(34 * time.Second)
	c.job(model.JobSpec{Name: "small", Tasks: 20, Size: cores(1)})
	assert.Equal(t, len(c.plan().Placements), 20)
}

// busyTeam is a cell in which team a always has small tasks to start, and a gang that fits
// the limit of the team only alone.
type busyTeam struct {
	*fakeLeader
	ends      map[model.TaskID]model.Time
	run       map[model.JobID]time.Duration // longest of the tasks of a job; those of other jobs never end
	gang      model.JobID
	firstHeld model.Time // when the gang came
	started   bool       // the gang has started
	stretch   time.Duration
	longest   time.Duration // longest time for which a small task could not start although the limit allowed it
	tooLong   time.Duration // longest excess of such a time over LimitHold and half of the time before it
}

const (
	busyStep     = 250 * time.Millisecond
	busyMaxCores = 8
	busyOffsets  = 11 // different run times of small tasks
)

func newBusyTeam(workers int, run time.Duration) *busyTeam {
	limit := model.Resources{CPU: busyMaxCores * 1000}
	c := &busyTeam{
		fakeLeader: newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000, MaxResources: limit}, model.Team{Name: "b", Share: 1, MaxRunning: 1000}),
		ends:       map[model.TaskID]model.Time{}, run: map[model.JobID]time.Duration{},
	}
	c.workers(workers, cores(4))
	c.run[c.job(model.JobSpec{Name: "small", Tasks: 10_000, Size: cores(1), Patience: 24 * hour})] = run
	return c
}

func (c *busyTeam) submitGang(run time.Duration) {
	c.gang = c.job(model.JobSpec{Name: "gang", Policy: model.PolicyGang, Tasks: 2, Size: cores(busyMaxCores / 2)})
	c.run[c.gang] = run
	c.firstHeld = c.now
}

// step ends the tasks that are due, makes a plan and lets busyStep pass.
func (c *busyTeam) step() {
	for _, id := range sortedKeys(c.ends, compareTasks) {
		if c.ends[id] <= c.now {
			delete(c.ends, id)
			c.end(id, Succeeded, c.run[id.Job], true)
		}
	}
	for _, p := range c.plan().Placements {
		if run := c.run[p.Task.Job]; run > 0 {
			shorter := run / 2 * time.Duration(p.Task.Index%busyOffsets) / busyOffsets // so that they do not end together
			c.ends[p.Task] = c.now.Add(run - shorter)
		}
		c.started = c.started || p.Task.Job == c.gang
	}
	c.stretch += busyStep
	if c.started || !c.s.team("a").allows(1, cores(1)) {
		c.stretch = 0
	}
	c.now = c.now.Add(busyStep)
	c.longest = max(c.longest, c.stretch)
	c.tooLong = max(c.tooLong, c.stretch-DefaultLimitHold-(c.now.Sub(c.firstHeld)-c.stretch)/2)
}

// Guards against a gang that its busy team starves, and against a gang that holds the others up for longer than its bound.
func TestGangThatFitsItsLimitOnlyAloneStartsWithinItsBound(t *testing.T) {
	rows := []struct {
		name    string
		workers int
		others  int32 // tasks of another team in the cell, of the same run time
		run     time.Duration
		bound   int // of the start of the gang, in run times
	}{
		{"tasks end within the first turn", 4, 0, 3 * time.Second, 1},
		{"tasks take several turns", 4, 0, 20 * time.Second, 5},
		{"tasks take minutes", 4, 0, 3 * time.Minute, 5},
		{"another team takes the room, too", 2, 400, 20 * time.Second, 15},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newBusyTeam(row.workers, row.run)
			if row.others > 0 {
				c.run[c.job(model.JobSpec{Team: "b", Name: "other", Tasks: row.others, Size: cores(1), Patience: hour})] = row.run
			}
			for range 8 {
				c.step()
			}
			c.submitGang(row.run)
			for !c.started && c.now.Sub(c.firstHeld) < 30*row.run {
				c.step()
			}
			took := c.now.Sub(c.firstHeld)
			assert.Assert(t, c.started && took <= time.Duration(row.bound)*row.run+2*busyStep, "started: %t, after %s", c.started, took)
			bound := max(DefaultLimitHold, 2*row.run) + 2*busyStep
			assert.Assert(t, c.longest <= bound, "others waited for %s with room, more than %s", c.longest, bound)
		})
	}
}

// Guards against a gang that waits for a task that never ends and stops all other jobs of its team for as long.
func TestGangHeldUpByItsLimitForGoodStopsItsTeamInTurnsOnly(t *testing.T) {
	const run = 2 * time.Second
	c := newBusyTeam(4, run)
	stuck := c.job(model.JobSpec{Name: "stuck", Tasks: 1, Size: cores(1)})
	c.step()
	c.submitGang(run)
	for range 20 * time.Minute / busyStep {
		c.step()
	}
	assert.Equal(t, c.s.jobs[stuck].running, int32(1))
	assert.Assert(t, !c.started, "the limit has no room for the gang")
	assert.Assert(t, c.tooLong <= 2*busyStep, "others waited for %s with room, %s too long", c.longest, c.tooLong)
	assert.Equal(t, len(audit(c.s)), 0)
}

// callersWait is how long a job that could run may have nothing running before callers take it for lost.
const callersWait = 3 * time.Second

// idleTeam is a cell in which team a uses a quarter of its limit, and a gang of the team fits the limit only alone.
func idleTeam() *fakeLeader {
	c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000, MaxResources: model.Resources{CPU: 40_000}})
	c.workers(8, cores(16))
	c.job(model.JobSpec{Name: "long", Tasks: 1, Size: cores(10)})
	c.plan()
	c.job(model.JobSpec{Name: "gang", Policy: model.PolicyGang, Tasks: 5, Size: cores(7)})
	c.plan()
	return c
}

// Guards against a team that stands still while the limits hold up one of its gangs, although most of them is unused.
func TestGangHeldUpByItsLimitKeepsNoIdleJobWaitingForLong(t *testing.T) {
	for _, row := range []struct {
		name        string
		after, over time.Duration // from the gang to the first job, and from that to the last
	}{
		{"at once", 50 * time.Second, 0},
		{"a little earlier", 34 * time.Second, 0},
		{"one by one", 96 * time.Second, 5 * time.Second},
		{"one by one, later", 104 * time.Second, 5 * time.Second},
		{"one by one, last", 112 * time.Second, 5 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			const jobs = 20
			c := idleTeam()
			from := c.now
			submitted := map[model.JobID]model.Time{}
			started := 0
			for c.now.Sub(from) < row.after+row.over+2*callersWait {
				due := row.after + row.over*time.Duration(len(submitted))/jobs
				for ; len(submitted) < jobs && c.now.Sub(from) >= due; due = row.after + row.over*time.Duration(len(submitted))/jobs {
					submitted[c.job(model.JobSpec{Name: "small", Tasks: 1, Size: cores(1)})] = c.now
				}
				for _, p := range c.plan().Placements {
					started++
					waited := c.now.Sub(submitted[p.Task.Job])
					assert.Assert(t, waited < callersWait, "%s has waited for %s", p.Task.Job, waited)
				}
				c.now = c.now.Add(100 * time.Millisecond)
			}
			assert.Equal(t, started, jobs)
		})
	}
}

// Guards against a turn that keeps the jobs of a team waiting although the work that runs is known to outlast it.
func TestTurnThatRunningWorkOutlastsIsLeftOut(t *testing.T) {
	c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000, MaxResources: model.Resources{CPU: 40_000}})
	c.workers(8, cores(16))
	for range 8 {
		id := c.job(model.JobSpec{Name: "long", Tasks: 1, Size: cores(1)})
		c.plan()
		c.end(model.TaskID{Job: id}, Succeeded, 400*time.Second, true)
	}
	c.job(model.JobSpec{Name: "long", Tasks: 2, Size: cores(12)})
	assert.Equal(t, len(c.plan().Placements), 2)
	c.job(model.JobSpec{Name: "gang", Policy: model.PolicyGang, Tasks: 5, Size: cores(7)})
	c.plan()
	c.now = c.now.Add(10 * time.Second)
	c.job(model.JobSpec{Name: "small", Tasks: 16, Size: cores(1)})
	assert.Equal(t, len(c.plan().Placements), 16)
}

// Guards against a gang that small jobs of its team starve in turn, since they always use some of its limit.
func TestGangIsNotStarvedByShortJobsOfItsTeam(t *testing.T) {
	const run = time.Second
	c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000, MaxResources: model.Resources{CPU: 40_000}})
	c.workers(8, cores(16))
	ends := map[model.TaskID]model.Time{}
	var gang model.JobID
	for step := range 300 {
		for _, id := range sortedKeys(ends, compareTasks) {
			if ends[id] <= c.now {
				delete(ends, id)
				c.end(id, Succeeded, run, true)
			}
		}
		c.job(model.JobSpec{Name: "small", Tasks: 1, Size: cores(1)})
		if step == 50 {
			gang = c.job(model.JobSpec{Name: "gang", Policy: model.PolicyGang, Tasks: 5, Size: cores(7)})
		}
		for _, p := range c.plan().Placements {
			if p.Task.Job == gang {
				return
			}
			ends[p.Task] = c.now.Add(run)
		}
		c.now = c.now.Add(100 * time.Millisecond)
	}
	t.Error("the gang has not started")
}

// Guards against a turn that goes on after its job was cancelled, for another job that the limits hold up.
func TestTurnEndsWithItsJob(t *testing.T) {
	c := idleTeam()
	first := c.nextJob
	c.job(model.JobSpec{Name: "next", Policy: model.PolicyGang, Tasks: 5, Size: cores(7)})
	c.job(model.JobSpec{Name: "small", Tasks: 4, Size: cores(1)})
	c.now = c.now.Add(time.Second)
	assert.Equal(t, len(c.plan().Placements), 0)
	c.s.Apply(JobsCancelled{IDs: []model.JobID{first}})
	assert.Equal(t, len(c.plan().Placements), 4)
}
