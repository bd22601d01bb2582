package permit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// candidateSet is a number of alike candidates.
type candidateSet struct {
	workers  int
	room     int64 // of each
	whenIdle int64 // of each, once it is idle
	queried  bool
	allowed  bool
	until    model.Time // end of the permits
	reserved bool
}

const optionsNow = model.Time(1000)

// jobWith returns a job and its candidates. Workers are named by the index of their
// set, then by number.
func jobWith(sets []candidateSet) (*jobPermits, []schedule.Candidate) {
	j := &jobPermits{workers: map[model.WorkerID]workerState{}}
	var candidates []schedule.Candidate
	for i, set := range sets {
		for n := range set.workers {
			w := model.WorkerID(fmt.Sprintf("%d-%03d", i, n))
			candidates = append(candidates, schedule.Candidate{Worker: w, Room: set.room, RoomWhenIdle: set.whenIdle, Reserved: set.reserved})
			if set.queried {
				j.workers[w] = workerState{allowed: set.allowed, until: set.until}
			}
		}
	}
	return j, candidates
}

// selected returns the workers that a job with the given candidates queries about.
func selected(sets []candidateSet, d Demand) []model.WorkerID {
	j, candidates := jobWith(sets)
	return j.selectWorkers(candidates, j.roomOn(candidates, optionsNow), d)
}

func validSet(workers int, room int64) candidateSet {
	return candidateSet{workers: workers, room: room, queried: true, allowed: true, until: optionsNow + 1}
}

func expiredSet(workers int, room int64) candidateSet {
	return candidateSet{workers: workers, room: room, queried: true, allowed: true, until: optionsNow}
}

func reservedSet(workers int, until model.Time) candidateSet {
	return candidateSet{workers: workers, queried: true, allowed: true, reserved: true, until: until}
}

func freshSet(workers int, room int64) candidateSet {
	return candidateSet{workers: workers, room: room}
}

func TestQueryIsDueOnlyIfItHelps(t *testing.T) {
	gang, batch := Demand{Tasks: 35, AllAtOnce: true}, Demand{Tasks: 35}
	for _, row := range []struct {
		name   string
		sets   []candidateSet
		demand Demand
		want   bool
	}{
		{"nothing is known yet", []candidateSet{freshSet(100, 2)}, gang, true},
		{"the permits have expired in a full cell", []candidateSet{expiredSet(40, 0)}, gang, false},
		{"the permits for reserved workers without room ended long ago", []candidateSet{reservedSet(18, optionsNow.Add(-reservedRenewal))}, gang, true},
		{"the permits for reserved workers without room have just ended", []candidateSet{reservedSet(18, optionsNow)}, gang, false},
		{"the permits for workers with room ended so long ago that the scheduler books none of them", []candidateSet{{workers: 40, room: 2, queried: true, allowed: true, until: optionsNow.Add(-schedule.PermitRenewal)}}, gang, true},
		{"too few allowed workers are known in a full cell", []candidateSet{{workers: 12, whenIdle: 2, queried: true, allowed: true}, freshSet(80, 0)}, gang, true},
		{"enough allowed workers are known in a full cell", []candidateSet{{workers: 40, whenIdle: 2, queried: true, allowed: true}, freshSet(80, 0)}, gang, false},
		{"the permits of a batch have expired in a full cell", []candidateSet{expiredSet(40, 0)}, batch, true},
		{"valid permits hold the gang", []candidateSet{validSet(18, 2), expiredSet(80, 2)}, gang, false},
		{"valid permits hold part of the gang, expired ones the rest, so that it is booked", []candidateSet{validSet(12, 2), expiredSet(80, 2)}, gang, false},
		{"expired permits hold the gang, so that it is booked", []candidateSet{expiredSet(80, 2)}, gang, false},
		{"valid permits hold part of the gang, workers not queried yet the rest", []candidateSet{validSet(12, 2), freshSet(80, 2)}, gang, true},
		{"all workers together do not hold the gang", []candidateSet{validSet(12, 2), expiredSet(5, 2), freshSet(80, 0)}, gang, false},
		{"valid permits hold part of a batch, expired ones a part", []candidateSet{validSet(12, 2), expiredSet(5, 1)}, batch, true},
		{"no worker without a permit has room for a batch", []candidateSet{validSet(12, 1), expiredSet(5, 0), freshSet(80, 0)}, batch, false},
		{"valid permits hold a batch", []candidateSet{validSet(40, 1), freshSet(80, 3)}, batch, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			j, candidates := jobWith(row.sets)
			assert.Equal(t, j.roomOn(candidates, optionsNow).queryHelps(row.demand), row.want)
		})
	}
}

func TestQueryNamesWorkersThatHoldTheDemand(t *testing.T) {
	gang := Demand{Tasks: 35, AllAtOnce: true}
	reserved := candidateSet{workers: 20, queried: true, allowed: true, reserved: true}
	for _, row := range []struct {
		name string
		sets []candidateSet
		want []int // workers of each set
	}{
		{"allowed workers with half as much room again", []candidateSet{expiredSet(90, 2)}, []int{26}},
		{"workers with room before full ones", []candidateSet{expiredSet(40, 0), expiredSet(40, 2)}, []int{0, 26}},
		{"some allowed workers in a full cell", []candidateSet{expiredSet(90, 0)}, []int{minRenewalWorkers}},
		{"all reserved workers in a full cell", []candidateSet{reserved, expiredSet(90, 0)}, []int{20, 0}},
		{"allowed workers before those not queried yet", []candidateSet{expiredSet(90, 1), freshSet(90, 1)}, []int{52, 0}},
		{"workers not queried yet if the allowed ones do not hold the gang", []candidateSet{expiredSet(10, 2), freshSet(200, 1)}, []int{0, minFreshForGang}},
		{"as many not queried yet as probably hold the rest", []candidateSet{expiredSet(10, 2), {workers: 20, queried: true}, freshSet(200, 1)}, []int{0, 0, 96}},
		{"as many not queried yet as probably hold the gang several times once they are idle, in a full cell", []candidateSet{{workers: 400, whenIdle: 3}}, []int{reservableFactor * 35}},
		{"few others if the allowed ones do not hold the gang", []candidateSet{expiredSet(10, 2), freshSet(3, 9)}, []int{0, 3}},
		{"allowed workers if no others are left", []candidateSet{expiredSet(10, 2)}, []int{10}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := make([]int, len(row.sets))
			for _, w := range selected(row.sets, gang) {
				got[w[0]-'0']++
			}
			assert.DeepEqual(t, got, row.want)
		})
	}
}

func TestQueriesOfOneJobAreBounded(t *testing.T) {
	wide := Demand{Tasks: 10_000, AllAtOnce: true}
	assert.Equal(t, len(selected([]candidateSet{expiredSet(12_000, 1)}, wide)), maxQueriesAtOnce*MaxQueryWorkers)
	assert.Equal(t, len(selected([]candidateSet{freshSet(12_000, 1)}, wide)), maxQueriesAtOnce*MaxQueryWorkers)
	batch := Demand{Tasks: 10_000}
	assert.Equal(t, len(selected([]candidateSet{freshSet(12_000, 1)}, batch)), MaxQueryWorkers)
	assert.Equal(t, len(selected([]candidateSet{expiredSet(12_000, 1)}, batch)), MaxQueryWorkers)
}

func TestWorkersAreSplitAmongQueries(t *testing.T) {
	for workers, want := range map[int][]int{0: nil, 1: {1}, 100: {100}, 101: {51, 50}, 350: {88, 88, 87, 87}} {
		var got []int
		for _, q := range (&jobPermits{}).split(make([]model.WorkerID, workers)) {
			got = append(got, len(q.Workers))
		}
		assert.DeepEqual(t, got, want)
	}
}

func TestQueryNamesLeastContendedWorkers(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(2*minFreshWorkers)
	for id := range model.JobID(2) {
		tracker.Add(id+1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	}
	first := sendQueries(tracker, 1000, scheduler, 1)
	second := sendQueries(tracker, 1000, scheduler, 1)
	assert.Equal(t, len(second[0].Workers), minFreshWorkers)
	for _, w := range second[0].Workers {
		assert.Assert(t, !slices.Contains(first[0].Workers, w), "both queries name %s", w)
	}
	tracker.MarkFailed(&first[0], 1000)
	tracker.Remove(2)
	tracker.ApplyAdvice(&second[0], adviceOf(time.Second), 1000)
	assert.Equal(t, len(tracker.contended), 0, "no query is in flight")
}

// Guards against first queries of small gangs, and of tasks that start one by one, that take as
// long as those of large gangs.
func TestOnlyLargeGangsQueryManyWorkersAtFirst(t *testing.T) {
	assert.Equal(t, Demand{Tasks: manyTasks, AllAtOnce: true}.minFresh(), minFreshForGang)
	assert.Equal(t, Demand{Tasks: manyTasks - 1, AllAtOnce: true}.minFresh(), minFreshWorkers)
	assert.Equal(t, Demand{Tasks: 100}.minFresh(), minFreshWorkers)
}
