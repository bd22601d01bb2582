package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func keepingCell(o Options) *cell {
	o.Seed, o.KeepRunning = 1, true
	c := newCell()
	c.s = New(o)
	c.s.Apply(ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: 1000}}})
	return c
}

func TestOnlyWorkThatLosesNothingMakesRoomForAGang(t *testing.T) {
	const patient, due = model.Duration(20 * time.Second), model.Duration(time.Second)
	rows := []struct {
		name   string
		filler model.JobSpec
		yields bool
	}{
		{"it saves and has time", model.JobSpec{Patience: patient, Checkpointable: true}, true},
		{"it would lose its work", model.JobSpec{Patience: patient}, false},
		{"it would be late", model.JobSpec{Patience: due, Checkpointable: true}, false},
		{"it may not run twice", model.JobSpec{Patience: patient, Checkpointable: true, NotRepeatable: true}, false},
		{"it is a gang itself", model.JobSpec{Patience: patient, Checkpointable: true, Policy: model.PolicyGang}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := keepingCell(Options{})
			c.workers(2, cores(4))
			row.filler.Tasks, row.filler.Size = 8, cores(1)
			c.job(row.filler)
			assert.Equal(t, len(c.plan().Placements), 8)
			want := c.job(model.JobSpec{Tasks: 2, Size: cores(2), Policy: model.PolicyGang, Patience: due})
			p := c.plan()
			if !row.yields {
				assert.Equal(t, len(p.Preemptions), 0)
				return
			}
			assert.Equal(t, len(p.Preemptions), 4, "no more than the gang needs")
			for _, v := range p.Preemptions {
				assert.Equal(t, v.For, want)
				c.end(v.Task, Preempted, time.Second, false)
			}
			placed := c.plan().Placements
			assert.Equal(t, len(placed), 2)
			assert.Equal(t, placed[0].Task.Job, want)
		})
	}
}

// The load: a cell that is kept full by small patient work, and each second a
// gang of large tasks that has to start within three. Callers get their gangs in
// time, and the small work ends in time all the same.
func TestGangsStartInTimeInACellFullOfSmallPatientWork(t *testing.T) {
	without, with := playGangs(false), playGangs(true)
	t.Logf("in time of 20 gangs and 100 small jobs: %+v without yielding, %+v with", without, with)
	assert.Assert(t, with.gangs >= 18)
	assert.Assert(t, with.gangs > without.gangs)
	assert.Assert(t, with.small >= without.small*9/10)
}

// inTime counts the jobs that ended within their work of their promised start.
type inTime struct{ gangs, small int }

// played is one task of the load.
type played struct {
	left    model.Time // work to do
	from    model.Time // when it was started last; zero: it does not run
	stopped model.Time // when a stop takes effect; zero: it was not told to stop
}

// playGangs plays the load, with small work that saves or not, in steps of 100 ms.
func playGangs(saves bool) (n inTime) {
	const (
		step, stopTakes      = 100, 500
		smallWork, gangWork  = 5400, 600
		smallPatience        = 12_000
		gangPatience, inLoad = 3000, 200
	)
	c := keepingCell(Options{MaxHolds: 2, PressingSlack: 4 * time.Second})
	c.workers(4, cores(8))
	tasks := map[model.TaskID]*played{}
	limit := map[model.JobID]model.Time{}
	submit := func(spec model.JobSpec, work, patience model.Time) {
		spec.Patience = model.Duration(time.Duration(patience) * time.Millisecond)
		id := c.job(spec)
		limit[id] = c.now + patience + work
		for i := range spec.Tasks {
			tasks[model.TaskID{Job: id, Index: i}] = &played{left: work}
		}
	}
	count := func(id model.TaskID) {
		switch {
		case c.now > limit[id.Job] || id.Index > 0:
		case c.s.jobs[id.Job] != nil && c.s.jobs[id.Job].group.policy == gang:
			n.gangs++
		default:
			n.small++
		}
	}
	advance := func(id model.TaskID, l *played) {
		switch {
		case l.from == 0:
		case l.stopped != 0 && c.now >= l.stopped:
			l.left -= l.stopped - stopTakes - l.from
			l.from, l.stopped = 0, 0
			c.end(id, Preempted, time.Second, false)
		case l.stopped == 0 && c.now >= l.from+l.left:
			count(id)
			c.end(id, Succeeded, time.Duration(l.left)*time.Millisecond, true)
			delete(tasks, id)
		}
	}
	for i := range 2 * inLoad {
		c.now += step
		for _, id := range sortedKeys(tasks, compareTasks) {
			advance(id, tasks[id])
		}
		if i < inLoad && i%2 == 0 {
			submit(model.JobSpec{Tasks: 1, Size: cores(1), Checkpointable: saves}, smallWork, smallPatience)
		}
		if i < inLoad && i%10 == 0 {
			submit(model.JobSpec{Tasks: 2, Size: cores(5), Policy: model.PolicyGang}, gangWork, gangPatience)
		}
		p := c.plan()
		for _, v := range p.Preemptions {
			tasks[v.Task].stopped = c.now + stopTakes
		}
		for _, e := range p.Placements {
			tasks[e.Task].from = c.now
		}
	}
	return n
}
