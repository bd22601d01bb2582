package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
)

func TestPlanDoesNotDependOnEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []Event
		for i := range 12 {
			d := rapid.IntRange(0, 2).Draw(t, "domain")
			events = append(events, WorkerUp{Spec: model.WorkerSpec{
				ID: model.WorkerID(fmt.Sprint("w", i)), Capacity: cores(int64(4 * rapid.IntRange(1, 2).Draw(t, "cores"))),
				FailureDomain: fmt.Sprint("d", d), Rack: fmt.Sprint("r", rapid.IntRange(0, 1).Draw(t, "rack")),
			}})
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			spec := model.JobSpec{
				Name: "x", Tasks: int32(rapid.IntRange(1, 5).Draw(t, "tasks")), Size: cores(int64(rapid.IntRange(1, 4).Draw(t, "size"))),
				Policy: rapid.SampledFrom([]model.Policy{model.PolicyBatch, model.PolicyGang, model.PolicyService}).Draw(t, "policy"),
			}
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			events = append(events, JobSubmitted{ID: model.JobID(i + 1), Spec: spec, Team: team, At: 1, StartBy: model.Time(1 + i%3)})
		}
		build := func(events []Event) string {
			s := New(Options{Seed: 3})
			s.Apply(ConfigChanged{Teams: twoTeams()})
			for _, ev := range events {
				s.Apply(ev)
			}
			return fmt.Sprintf("%v", s.Plan(10, 100))
		}
		want := build(events)
		assert.Equal(t, build(rapid.Permutation(events).Draw(t, "order")), want)
	})
}

// startRecorder drives a cell in which every task ends after the run time of its
// job, and records when each job starts.
type startRecorder struct {
	*fakeLeader
	ends    map[model.TaskID]model.Time
	run     map[model.JobID]time.Duration
	started map[model.JobID]model.Time
	startBy map[model.JobID]model.Time
}

func (c *startRecorder) submit(spec model.JobSpec, run time.Duration) {
	id := c.job(spec)
	c.run[id] = run
	c.startBy[id] = c.now.Add(spec.Patience.Std())
}

func (c *startRecorder) step() {
	p := c.plan()
	for _, e := range p.Preemptions {
		delete(c.ends, e.Task)
		c.end(e.Task, Preempted, time.Second, false)
	}
	for _, e := range p.Placements {
		c.ends[e.Task] = c.now.Add(c.run[e.Task.Job])
		if _, ok := c.started[e.Task.Job]; !ok {
			c.started[e.Task.Job] = c.now
		}
	}
	next := p.NextWake
	for _, at := range c.ends {
		next = earlier(next, at)
	}
	c.now = max(c.now+1, min(next, c.now.Add(time.Second)))
	for _, task := range sortedKeys(c.ends, compareTasks) {
		if c.ends[task] <= c.now {
			delete(c.ends, task)
			c.end(task, Succeeded, c.run[task.Job], true)
		}
	}
}

// Checks the bound derived in scheduling.md: only jobs with a promised start
// earlier than startBy plus the ageing span times the largest load can start
// before a job, and each of them delays it by at most one longest run time.
func TestEveryFeasibleJobStartsWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkStartBounds(t, 0, func(*Scheduler) {}) })
}

// Checks the bound with past use, which is larger by the ageing span times the largest term.
func TestEveryFeasibleJobStartsWithinItsBoundWithPastUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := PastUseChanged{HalfLife: time.Hour}
		for _, team := range []string{"a", "b"} {
			e.Teams = append(e.Teams, TeamPastUse{Team: team, Average: cores(rapid.SampledFrom([]int64{0, 1, 10, 1 << 40}).Draw(t, "past"))})
		}
		checkStartBounds(t, 1, func(s *Scheduler) { s.Apply(e) })
	})
}

// checkStartBounds checks the bound with the largest load raised by maxTerm. It calls each
// before every plan.
func checkStartBounds(t *rapid.T, maxTerm int, each func(*Scheduler)) {
	const longest = 20 * time.Second
	span := 10 * time.Second
	c := &startRecorder{newCell(twoTeams()...), map[model.TaskID]model.Time{}, map[model.JobID]time.Duration{}, map[model.JobID]model.Time{}, map[model.JobID]model.Time{}}
	c.s = New(Options{Seed: 1, AgeingSpan: span})
	c.s.Apply(ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: 8}, {Name: "b", Share: 3, MaxRunning: 100}}})
	c.workers(rapid.IntRange(2, 4).Draw(t, "workers"), cores(4))
	c.submit(model.JobSpec{Name: "gang", Policy: model.PolicyGang, Tasks: 2, Size: cores(4)}, longest)
	c.submit(model.JobSpec{Name: "large", Tasks: 1, Size: cores(4), Patience: model.Duration(5 * time.Second)}, longest)
	until := c.now.Add(2*time.Minute + time.Duration(maxTerm)*span)
	for c.now < until {
		if rapid.IntRange(0, 2).Draw(t, "submit") > 0 {
			c.submit(model.JobSpec{
				Name: "small", Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Tasks: 1, Size: cores(1),
				Patience: model.Duration(time.Duration(rapid.IntRange(0, 30).Draw(t, "patience")) * time.Second),
			}, time.Duration(rapid.IntRange(1, 20).Draw(t, "run"))*time.Second)
		}
		each(c.s)
		c.step()
	}
	maxLoad := 4 + maxTerm // sum of shares over the smallest share, and the term
	for id, by := range c.startBy {
		at, ok := c.started[id]
		if !ok {
			at = c.now
		}
		horizon := by.Add(span * time.Duration(maxLoad))
		earlier := 0
		for o, oby := range c.startBy {
			if o != id && oby <= horizon && (c.started[o] == 0 || c.started[o] >= by) {
				earlier++
			}
		}
		bound := horizon.Add(longest * time.Duration(earlier+DefaultMaxReservations+1))
		assert.Assert(t, at <= bound, "job %s with promised start %d started at %d, after the bound %d", id, by, at, bound)
	}
	for _, id := range []model.JobID{1, 2} {
		assert.Assert(t, c.started[id] != 0, "job %s never started", id)
	}
}

func TestEqualEventsGiveEqualPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newCell(twoTeams()...), newCell(twoTeams()...)
		size := int64(rapid.IntRange(1, 3).Draw(t, "size"))
		for _, c := range []*fakeLeader{a, b} {
			c.workers(6, cores(4))
			c.job(model.JobSpec{Tasks: 9, Size: cores(size), Patience: hour, Checkpointable: true})
		}
		for range 5 {
			assert.DeepEqual(t, a.plan(), b.plan())
			for _, c := range []*fakeLeader{a, b} {
				c.now = c.now.Add(time.Minute)
				c.job(model.JobSpec{Team: "b", Tasks: 3, Size: cores(1)})
			}
		}
		assert.Assert(t, slices.Equal(audit(a.s), nil))
	})
}
