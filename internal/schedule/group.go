package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// groupKey holds all that determines where a task of a job may run. Jobs with
// equal keys wait in one group: when the first one does not fit, neither do the
// others, but for those with permits of their own or a limit of tasks per worker.
type groupKey struct {
	team        int32
	queue       string
	jobSelector string // over worker labels
	class       uint64 // jobs of a class share learned sizes and run times
	gang        int32  // number of tasks; zero for other policies
	policy      policy
	lasting     bool  // a gang that does not end by itself
	perWorker   int32 // tasks of a job that may be on one worker; zero: any number
	repeatable  bool
	checkpoint  bool
	size        model.Resources // declared
}

// lasts reports whether the tasks do not end by themselves.
func (k *groupKey) lasts() bool { return k.policy == service || k.lasting }

// policy is a compact form of model.Policy.
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
	selector      int32         // conjunction of the queue's selector and that of the job
	queueSelector string        // the queue's, as it is part of selector
	jobs          []*job        // ordered by job.less; jobs without a ready task are skipped
	readyJobs     int32         // queued jobs with a ready task
	unfinished    int32         // jobs that are not finished, waiting or not
	slot          int32         // position in the queue of the team; -1 when no job has a ready task
	cursor        int           // first job that the current plan has not handled yet
	cursorPlan    uint64        // plan that cursor belongs to
	runTime       time.Duration // learned run time at normal speed; zero if there are too few observations
	fit           *fitBound     // bound for taskSize

	fitFailure           FitFailure // why no task of the group can run; its Err is nil if they can
	fitFailureVersion    uint32
	fitFailureUnreported bool            // fitFailure may not have been reported for some job
	fitCellVersion       uint64          // cellVersion for which fitFailure was determined
	taskSize             model.Resources // declared size, or raised to the learned one
	sizeCellVersion      uint64          // cellVersion for which taskSize was determined
	sizeCountsVersion    uint64          // countsVersion for which taskSize was determined
	fitCountsVersion     uint64          // countsVersion for which fitFailure was determined
	searchAfter          model.Time      // earliest next search for tasks to preempt
	reserveAfter         model.Time      // earliest next attempt to reserve workers
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

// compactSlack is the number of jobs without ready tasks that group.jobs may hold
// in addition to as many as there are with ready tasks.
const compactSlack = 16

// trim removes jobs without a ready task from the front of the queue, and from the
// rest once they outnumber the others by more than compactSlack.
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

// head returns the first startable job from the cursor on, or nil.
func (g *group) head() *job {
	for g.cursor < len(g.jobs) {
		if j := g.jobs[g.cursor]; j.startable() {
			return j
		}
		g.cursor++
	}
	return nil
}
