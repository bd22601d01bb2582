package schedule

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/usage"
)

// pastOf returns the event that sets the past use of teams, in cores.
func pastOf(cpu map[string]int64) PastUseChanged {
	e := PastUseChanged{HalfLife: time.Hour}
	for _, team := range []string{"a", "b", "c"} {
		if used, ok := cpu[team]; ok {
			e.Teams = append(e.Teams, TeamPastUse{Team: team, Average: cores(used)})
		}
	}
	return e
}

// Guards against a wrong order between teams a and b, which wait for the only free worker of
// four. The job of team a has the earlier promised start, so that it goes first if nothing
// else counts. Team c runs on the other workers.
func TestPastUseOrdersTeams(t *testing.T) {
	teams := func(a, b int64) ConfigChanged {
		return ConfigChanged{Teams: []model.Team{{Name: "a", Share: a, MaxRunning: 1000}, {Name: "b", Share: b, MaxRunning: 1000}, {Name: "c", Share: 1, MaxRunning: 1000}}}
	}
	processorsAndMemory := PastUseChanged{HalfLife: time.Hour, Teams: []TeamPastUse{
		{Team: "a", Average: model.Resources{CPU: 4000}}, {Team: "b", Average: model.Resources{Memory: 16_384}}}}
	rows := []struct {
		name   string
		events []Event
		heldBy string        // the team that runs on two of the other workers; "": c
		late   time.Duration // lateness of the job of team a; zero: neither is late
		want   string
	}{
		{"no past use is known", nil, "", 0, "a"},
		{"past use is not considered", []Event{PastUseChanged{Teams: pastOf(map[string]int64{"a": 8}).Teams}}, "", 0, "a"},
		{"past use was disabled", []Event{pastOf(map[string]int64{"a": 8}), PastUseChanged{}}, "", 0, "a"},
		{"the older job's team has used more", []Event{pastOf(map[string]int64{"a": 8, "b": 4})}, "", 0, "b"},
		{"both have used as much", []Event{pastOf(map[string]int64{"a": 8, "b": 8})}, "", 0, "a"},
		{"both have used as much of their shares", []Event{teams(3, 1), pastOf(map[string]int64{"a": 9, "b": 3})}, "", 0, "a"},
		{"the other team is new and not listed", []Event{pastOf(map[string]int64{"a": 1})}, "", 0, "b"},
		{"the other team was idle for long", []Event{pastOf(map[string]int64{"a": 1, "b": 0})}, "", 0, "b"},
		{"the other team holds more than one share now", []Event{pastOf(map[string]int64{"a": 1000})}, "b", 0, "a"},
		{"a later event replaces the first", []Event{pastOf(map[string]int64{"b": 1}), pastOf(map[string]int64{"a": 1})}, "", 0, "b"},
		{"lateness outweighs any past use", []Event{pastOf(map[string]int64{"a": 1 << 40})}, "", DefaultAgeingSpan, "a"},
		{"less lateness than past use", []Event{pastOf(map[string]int64{"a": 1 << 40})}, "", DefaultAgeingSpan - 2*DefaultPressingSlack, "b"},
		{"the share was raised", []Event{pastOf(map[string]int64{"a": 8, "b": 4}), teams(3, 1)}, "", 0, "a"},
		{"the share was lowered", []Event{pastOf(map[string]int64{"a": 8, "b": 8}), teams(1, 2)}, "", 0, "b"},
		{"the team was removed and declared again", []Event{pastOf(map[string]int64{"a": 8, "b": 4}), ConfigChanged{Teams: teams(1, 1).Teams[1:]}, teams(1, 1)}, "", 0, "b"},
		{"only memory was used", []Event{PastUseChanged{HalfLife: time.Hour, Teams: []TeamPastUse{{Team: "a", Average: model.Resources{Memory: 4096}}}}}, "", 0, "b"},
		{"b has used a larger part of the memory than a of the processors", []Event{processorsAndMemory}, "", 0, "a"},
		{"that, until a worker with more memory joins", []Event{processorsAndMemory, WorkerUp{Spec: model.WorkerSpec{ID: "large", Capacity: model.Resources{CPU: 1, Memory: 1 << 20}}}}, "", 0, "b"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCell(teams(1, 1).Teams...)
			c.workers(4, cores(4))
			c.job(model.JobSpec{Team: "c", Tasks: 1, Size: cores(4), Patience: hour})
			c.job(model.JobSpec{Team: cmp.Or(row.heldBy, "c"), Tasks: 2, Size: cores(4), Patience: hour})
			assert.Equal(t, len(c.plan().Placements), 3)
			startBy := c.now.Add(time.Hour)
			if row.late > 0 {
				startBy = c.now.Add(-row.late)
			}
			waiting := map[model.JobID]string{100: "a", 101: "b"}
			c.s.Apply(JobSubmitted{ID: 100, Spec: model.JobSpec{Tasks: 1, Size: cores(4)}, Team: "a", At: startBy.Add(-time.Hour), StartBy: startBy})
			c.s.Apply(JobSubmitted{ID: 101, Spec: model.JobSpec{Tasks: 1, Size: cores(4)}, Team: "b", At: c.now, StartBy: c.now.Add(2 * time.Hour)})
			for _, e := range row.events {
				c.s.Plan(c.now, 0) // computes the terms, which the event must make it compute again
				c.s.Apply(e)
			}
			p := c.s.Plan(c.now, 1000)
			assert.Equal(t, len(p.Placements), 1)
			assert.Equal(t, waiting[p.Placements[0].Task.Job], row.want)
		})
	}
}

// Guards against a term that is not bounded, does not grow, or overflows.
func TestPastTermGrowsWithinItsBound(t *testing.T) {
	rows := []struct{ load, want int64 }{
		{0, 0}, {ppm / 2, ppm / 3}, {ppm, ppm / 2}, {3 * ppm, 3 * ppm / 4}, {9 * ppm, 9 * ppm / 10}, {maxPastLoad, ppm - 1}, {math.MaxInt64, ppm - 1},
	}
	for _, row := range rows {
		assert.Equal(t, pastTerm(row.load), row.want, "load %d", row.load)
	}
}

// Guards against a sum beyond 64 bits: a team that is not declared has the largest load while
// its tasks run, and would come before all others.
func TestTeamWithoutShareStaysLast(t *testing.T) {
	c := newCell(twoTeams()...)
	c.workers(2, cores(4))
	c.job(model.JobSpec{Team: "a", Tasks: 1, Size: cores(4)})
	assert.Equal(t, len(c.plan().Placements), 1)
	c.s.Apply(ConfigChanged{Teams: []model.Team{{Name: "b", Share: 1, MaxRunning: 1000}}})
	c.s.Apply(pastOf(map[string]int64{"a": model.MaxResource / 1000, "b": model.MaxResource / 1000}))
	c.s.updatePastTerms()
	p := planner{s: c.s, now: c.now}
	a, b := p.key(c.s.team("a"), c.now.Add(time.Hour)), p.key(c.s.team("b"), c.now.Add(time.Hour))
	assert.Equal(t, a, int64(math.MaxInt64))
	assert.Assert(t, b >= 0 && b < ppm, "%d", b)
}

// pastSimulation runs teams that all want the whole cell of 100 cores, with tasks of one core
// and 20 to 60 s, and records past use as the state does.
type pastSimulation struct {
	*fakeLeader
	halfLife model.Duration // zero: off
	past     map[string]*usage.Average
	ends     map[model.TaskID]model.Time
	teamOf   map[model.JobID]string
	ended    int
}

const simulationStep = 5 * time.Second

func newPastSimulation(halfLife model.Duration, teams ...model.Team) *pastSimulation {
	c := &pastSimulation{fakeLeader: newCell(teams...), halfLife: halfLife, past: map[string]*usage.Average{},
		ends: map[model.TaskID]model.Time{}, teamOf: map[model.JobID]string{}}
	c.workers(25, cores(4))
	for _, team := range teams {
		c.past[team.Name] = &usage.Average{At: c.now}
	}
	return c
}

// step lets the given teams demand the whole cell for one step.
func (c *pastSimulation) step(demand ...string) {
	e := PastUseChanged{HalfLife: c.halfLife.Std()}
	for team, average := range c.past {
		use, _ := c.s.Team(team)
		if c.halfLife != 0 {
			average.Advance(c.now, use.Reserved, c.halfLife)
			e.Teams = append(e.Teams, TeamPastUse{Team: team, Average: average.Resources()})
		}
	}
	for _, task := range sortedKeys(c.ends, compareTasks) {
		if c.ends[task] <= c.now {
			delete(c.ends, task)
			c.end(task, Succeeded, time.Minute, true)
		}
	}
	c.s.Apply(e)
	for _, team := range demand {
		id := c.job(model.JobSpec{Team: team, Tasks: 100, Size: cores(1), Patience: 24 * hour})
		c.teamOf[id] = team
	}
	for _, p := range c.plan().Placements {
		c.ended++
		c.ends[p.Task] = c.now.Add(time.Duration(20+c.ended*7919%41) * time.Second)
	}
	var waiting []model.JobID
	for id := range c.teamOf {
		waiting = append(waiting, id)
		delete(c.teamOf, id)
	}
	c.s.Apply(JobsCancelled{IDs: waiting})
	c.now = c.now.Add(simulationStep)
}

// run returns the average use of a team in cores while the given teams demand the cell.
func (c *pastSimulation) run(d time.Duration, team string, demand ...string) float64 {
	sum, steps := 0.0, int(d/simulationStep)
	for range steps {
		c.step(demand...)
		use, _ := c.s.Team(team)
		sum += float64(use.Reserved.CPU) / 1000
	}
	return sum / float64(steps)
}

// assertBetween checks a number of cores.
func assertBetween(t *testing.T, what string, got, low, high float64) {
	t.Helper()
	t.Logf("%s: %.1f cores", what, got)
	assert.Assert(t, got >= low && got <= high, "%s: %.1f is not from %.1f to %.1f", what, got, low, high)
}

// fourTeams have a quarter of the cell each.
func fourTeams() []model.Team {
	var out []model.Team
	for _, name := range []string{"a", "b", "c", "d"} {
		out = append(out, model.Team{Name: name, Share: 1, MaxRunning: 1000})
	}
	return out
}

// Team a has used four times its share for an hour, alone, and then competes with team b at
// equal demand. Guards against past use without effect, against one that does not fade, and
// against an effect beyond its bound of one share, here 25 cores between the two.
func TestTeamThatUsedFourTimesItsShareYieldsForATime(t *testing.T) {
	off := newPastSimulation(0, fourTeams()...)
	assertBetween(t, "off: a alone", off.run(time.Hour, "a", "a"), 99, 100)
	off.run(2*time.Minute, "a", "a", "b")
	assertBetween(t, "off: a beside b", off.run(28*time.Minute, "a", "a", "b"), 49, 51)

	on := newPastSimulation(hour/2, fourTeams()...)
	assertBetween(t, "on: a alone", on.run(time.Hour, "a", "a"), 99, 100)
	on.run(2*time.Minute, "a", "a", "b")
	assertBetween(t, "on: a beside b in the first half-life", on.run(28*time.Minute, "a", "a", "b"), 37.5, 46)
	assertBetween(t, "in the second half-life", on.run(30*time.Minute, "a", "a", "b"), 42, 49.5)
	on.run(2*time.Hour, "a", "a", "b")
	assertBetween(t, "after six half-lives", on.run(30*time.Minute, "a", "a", "b"), 49, 51)
}

// Team d is new to a cell in which the others use their shares and more. Guards against a new
// team that holds the cell: it gets less than twice its share, and the others keep most of theirs.
func TestNewTeamGetsLessThanTwiceItsShare(t *testing.T) {
	c := newPastSimulation(hour/2, fourTeams()...)
	c.run(3*time.Hour, "a", "a", "b", "c")
	c.run(2*time.Minute, "d", "a", "b", "c", "d")
	assertBetween(t, "the new team in the first 10 minutes", c.run(10*time.Minute, "d", "a", "b", "c", "d"), 28, 43.75)
	assertBetween(t, "another team", c.run(time.Minute, "a", "a", "b", "c", "d"), 18.75, 25)
	c.run(3*time.Hour, "d", "a", "b", "c", "d")
	assertBetween(t, "the new team later", c.run(10*time.Minute, "d", "a", "b", "c", "d"), 24, 26)
}

// A team with nearly all shares returns after a day. Guards against others that get nothing
// for a half-life: they keep a part of their shares at any time.
func TestIdleTeamWithMostSharesLeavesRoomToOthers(t *testing.T) {
	c := newPastSimulation(hour, model.Team{Name: "a", Share: 1, MaxRunning: 1000}, model.Team{Name: "b", Share: 4, MaxRunning: 1000})
	c.run(6*time.Hour, "a", "a")
	c.run(2*time.Minute, "a", "a", "b")
	assertBetween(t, "the small team in the first 10 minutes", c.run(10*time.Minute, "a", "a", "b"), 4, 12)
	c.run(4*time.Hour, "a", "a", "b")
	assertBetween(t, "the small team later", c.run(10*time.Minute, "a", "a", "b"), 17, 21)
}

// Guards against why that does not tell that past use decides.
func TestWhyNamesPastUse(t *testing.T) {
	c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000}, model.Team{Name: "b", Share: 1, MaxRunning: 1000}, model.Team{Name: "c", Share: 2, MaxRunning: 1000})
	c.workers(1, cores(4))
	c.job(model.JobSpec{Team: "c", Tasks: 1, Size: cores(4), Patience: hour})
	c.plan()
	a := c.job(model.JobSpec{Team: "a", Tasks: 1, Size: cores(4), Patience: hour})
	b := c.job(model.JobSpec{Team: "b", Tasks: 1, Size: cores(4), Patience: hour})
	reason := func(id model.JobID, name string) api.WhyNot {
		for _, r := range c.s.WaitReasons(id, c.now) {
			if r.Reason == name {
				return r
			}
		}
		return api.WhyNot{}
	}
	assert.Equal(t, reason(a, waitPastUse).Count, int64(0))
	assert.Assert(t, !strings.Contains(reason(a, waitShare).Detail, "on average"))
	c.s.Apply(pastOf(map[string]int64{"a": 3}))
	assert.DeepEqual(t, reason(a, waitPastUse), api.WhyNot{Reason: waitPastUse, Count: 1,
		Detail: "teams come first because of past use; team a has used 300% of its share on average, with a half-life of 1h0m0s"})
	assert.Equal(t, reason(b, waitPastUse).Count, int64(0))
	assert.Equal(t, reason(a, waitShare).Detail, "workers have too little free capacity; team a uses 0% of its share and has used 300% of it on average, with a half-life of 1h0m0s")
	load, known := c.s.PastLoad("a")
	assert.Equal(t, fmt.Sprint(load, known), fmt.Sprint(3*ppm, true))
}
