package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// groupKey is all that decides where a task of a job may go. Jobs with equal
// keys wait in one group: when the first finds no room, neither do the others.
type groupKey struct {
	team       int32
	selector   int32
	class      uint64 // learned together
	gang       int32  // tasks of a gang; zero for other policies
	policy     policy
	exclusive  bool
	repeatable bool
	checkpoint bool
	size       model.Resources // declared
}

// policy is the compact form of model.Policy.
type policy uint8

const (
	batch policy = iota
	gang
	service
)

func policyOf(p model.Policy) policy {
	switch p {
	case model.PolicyGang:
		return gang
	case model.PolicyService:
		return service
	}
	return batch
}

// group is a set of jobs with equal keys.
type group struct {
	groupKey
	jobs       []*job        // waiting, ordered by job.less; those without a ready task are skipped
	readyJobs  int32         // jobs that are queued and have a ready task
	unfinished int32         // jobs not done, waiting or not
	slot       int32         // position in the line of the team; -1 when no job is live
	cursor     int           // of the plan being made: first job not yet dealt with
	cursorPlan uint64        // for which cursor stands
	run        time.Duration // learned run time; zero when not trusted
	fit        *fitBound     // of sized

	fitFailure           FitFailure // why nothing of the group can run; its Err is nil when it can
	fitFailureVersion    uint32
	fitFailureUnreported bool   // a job may not know of misfit
	fitCellVersion       uint64 // change of the cell at which misfit was worked out
	taskSize             model.Resources
	sizeCellVersion      uint64     // change of the cell at which sized was worked out
	sizeCountsVersion    uint64     // counts of the workers then
	fitCountsVersion     uint64     // counts of the workers at which misfit was worked out
	searchAfter          model.Time // no search for work to preempt before this
	reserveAfter         model.Time // no reservation before this
}

// add queues j.
func (g *group) add(j *job) {
	j.queued = true
	at, _ := slices.BinarySearchFunc(g.jobs, j, compareJobs)
	g.jobs = slices.Insert(g.jobs, at, j)
}

func compareJobs(a, b *job) int {
	switch {
	case a.less(b):
		return -1
	case b.less(a):
		return 1
	}
	return 0
}

// compactSlack is how many dead entries a queue may hold beyond its live ones.
const compactSlack = 16

// trim drops jobs without a ready task: the first ones always, the others once
// they outnumber those with one.
func (g *group) trim() {
	for len(g.jobs) > 0 && g.jobs[0].ready == 0 {
		g.jobs[0].queued = false
		g.jobs[0] = nil
		g.jobs = g.jobs[1:]
	}
	if len(g.jobs) <= 2*int(g.readyJobs)+compactSlack {
		return
	}
	g.jobs = slices.DeleteFunc(g.jobs, func(j *job) bool {
		j.queued = j.ready > 0
		return !j.queued
	})
}

// head returns the first waiting job from the cursor on, or nil.
func (g *group) head() *job {
	for g.cursor < len(g.jobs) {
		if j := g.jobs[g.cursor]; j.startable() {
			return j
		}
		g.cursor++
	}
	return nil
}
