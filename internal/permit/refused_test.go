package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// queriesOver returns the queries that are due in a period, each of which is answered at once.
func queriesOver(tracker *Tracker, from model.Time, d time.Duration, scheduler Scheduler, answer func(*Query) *workerclient.Advice) (at []model.Time) {
	for now := from; now < from.Add(d); now += cellStep {
		for _, q := range sendQueries(tracker, now, scheduler, maxQueriesAtOnce) {
			at = append(at, now)
			tracker.ApplyAdvice(&q, answer(&q), now)
		}
	}
	return at
}

func refuseAll(*Query) *workerclient.Advice { return adviceOf(2 * time.Second) }

// Guards against a job that never starts in an idle cell because one response permitted no worker.
func TestJobWhoseWorkersWereAllRefusedIsQueriedAgain(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(20)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	q := sendQueries(tracker, 1000, scheduler, 1)
	tracker.ApplyAdvice(&q[0], adviceOf(2*time.Second), 1000)
	permitted := func(*Query) *workerclient.Advice { return adviceOf(2*time.Second, "w03") }
	asked := queriesOver(tracker, 1000, startLimit, scheduler, permitted)
	assert.Assert(t, len(asked) > 0, "no query in %s", startLimit)
	assert.Equal(t, tracker.Token(1, "w03", asked[0]), "t-w03")
}

// demandScheduler has the same demand for every job.
type demandScheduler struct {
	*fakeScheduler
	demand Demand
}

func (s demandScheduler) Demand(model.JobID) Demand { return s.demand }

// Guards against a job that never starts since the free room is less than twice what all of its tasks need.
func TestRefusedJobThatNeedsMostOfTheRoomIsQueriedAgain(t *testing.T) {
	for name, d := range map[string]Demand{"one by one": {Tasks: 100}, "together": {Tasks: 15, AllAtOnce: true}} {
		t.Run(name, func(t *testing.T) {
			tracker, scheduler := NewTracker(Options{}), demandScheduler{newFakeScheduler(20), d}
			tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
			q := sendQueries(tracker, 1000, scheduler, 1)
			tracker.ApplyAdvice(&q[0], adviceOf(2*time.Second), 1000)
			asked := queriesOver(tracker, 1000, startLimit, scheduler, refuseAll)
			assert.Assert(t, len(asked) > 0, "no query in %s", startLimit)
		})
	}
}

func TestChecksOfRefusedWorkersAreBoundedInRate(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(20)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	asked := queriesOver(tracker, 1000, time.Minute, scheduler, refuseAll)
	for i := range asked[1:] {
		gap := asked[i+1].Sub(asked[i])
		assert.Assert(t, gap >= firstRefusalCheck && gap <= maxUrgentRefusalCheck+cellStep*time.Millisecond, "query %d came %s after the one before", i+1, gap)
	}
	assert.Assert(t, len(asked) >= 40 && len(asked) <= 55, "%d queries a minute", len(asked))
}

func TestDelayBetweenChecksOfRefusedWorkersGrows(t *testing.T) {
	assert.Equal(t, refusalDelay(1, maxRefusalCheck), firstRefusalCheck)
	assert.Equal(t, refusalDelay(2, maxRefusalCheck), 2*firstRefusalCheck)
	assert.Equal(t, refusalDelay(50, maxRefusalCheck), maxRefusalCheck)
	assert.Equal(t, refusalDelay(2, maxUrgentRefusalCheck), maxUrgentRefusalCheck)
}

// Guards against queries that cannot help: in a full cell and while allowed workers have room.
func TestRefusedWorkersAreCheckedOnlyIfTheyHaveTheRoomThatIsMissing(t *testing.T) {
	refusedSet := func(workers int, room int64) candidateSet {
		return candidateSet{workers: workers, room: room, whenIdle: 4, queried: true}
	}
	allowedSet := func(room int64) candidateSet {
		return candidateSet{workers: 2, room: room, whenIdle: 4, queried: true, allowed: true}
	}
	rows := []struct {
		name string
		sets []candidateSet
		d    Demand
		want int
	}{
		{"no worker is allowed", []candidateSet{refusedSet(10, 4)}, Demand{Tasks: 5}, 10},
		{"refused workers are full", []candidateSet{refusedSet(10, 0)}, Demand{Tasks: 5}, 0},
		{"refused workers have less room than twice the tasks", []candidateSet{refusedSet(10, 1), allowedSet(0)}, Demand{Tasks: 6}, 0},
		{"they have less, and no worker is allowed", []candidateSet{refusedSet(10, 1)}, Demand{Tasks: 6}, 10},
		{"they have less than twice a gang, and no worker is allowed", []candidateSet{refusedSet(10, 1)}, Demand{Tasks: 6, AllAtOnce: true}, 10},
		{"they have less than a gang, and no worker is allowed", []candidateSet{refusedSet(10, 1)}, Demand{Tasks: 11, AllAtOnce: true}, 0},
		{"an allowed worker has room for a task", []candidateSet{refusedSet(10, 4), allowedSet(1)}, Demand{Tasks: 5}, 0},
		{"an allowed worker has no room for a task", []candidateSet{refusedSet(10, 4), allowedSet(0)}, Demand{Tasks: 5}, 10},
		{"a worker that was not queried about has room", []candidateSet{refusedSet(10, 4), freshSet(1, 1)}, Demand{Tasks: 5}, 0},
		{"allowed workers have room for some of a gang", []candidateSet{refusedSet(10, 4), allowedSet(2)}, Demand{Tasks: 5, AllAtOnce: true}, 10},
		{"allowed workers have room for a gang", []candidateSet{refusedSet(10, 4), allowedSet(3)}, Demand{Tasks: 5, AllAtOnce: true}, 0},
		{"more are refused than one query names", []candidateSet{refusedSet(300, 4)}, Demand{Tasks: 5}, MaxQueryWorkers},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			j, candidates := jobWith(row.sets)
			got := j.refusedToCheck(candidates, j.roomOn(candidates, optionsNow), row.d, optionsNow.Add(time.Minute))
			assert.Equal(t, len(got), row.want)
		})
	}
}

// Guards against endless queries about a worker that the policy service no longer permits.
func TestWorkerThatIsNoLongerPermittedCountsAsRefused(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(1)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	q := sendQueries(tracker, 1000, scheduler, 9)
	tracker.ApplyAdvice(&q[0], adviceOf(time.Second, "w00"), 1000)
	asked := queriesOver(tracker, 1000, 10*time.Second, scheduler, refuseAll)
	assert.Assert(t, len(asked) > 0 && len(asked) <= 9, "%d queries in 10 s", len(asked))
}
