package permit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// fakeScheduler has the same workers for every job.
type fakeScheduler struct {
	workers []model.WorkerID
	idle    map[model.JobID]bool
	limit   int // only queries about fewer workers can be sent; zero: all can
	choices int // calls of Candidates
}

func (s *fakeScheduler) Booked() []schedule.Booked { return nil }

func (s *fakeScheduler) CanSend(_ model.JobID, workers int) bool {
	return s.limit == 0 || workers < s.limit
}

func (s *fakeScheduler) Demand(id model.JobID) Demand {
	if s.idle[id] {
		return Demand{}
	}
	return Demand{Tasks: 1}
}

// Candidates returns workers with room for one task each.
func (s *fakeScheduler) Candidates(model.JobID) []schedule.Candidate {
	s.choices++
	out := make([]schedule.Candidate, len(s.workers))
	for i, w := range s.workers {
		out[i] = schedule.Candidate{Worker: w, Room: 1, FreeCPU: 1000}
	}
	return out
}

func newFakeScheduler(n int) *fakeScheduler {
	s := &fakeScheduler{idle: map[model.JobID]bool{}}
	for i := range n {
		s.workers = append(s.workers, model.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	return s
}

func adviceOf(valid time.Duration, workers ...model.WorkerID) *workerclient.Advice {
	advice := &workerclient.Advice{Valid: model.Duration(valid)}
	for _, w := range workers {
		advice.Permits = append(advice.Permits, workerclient.Permit{Worker: w, Token: "t-" + string(w)})
	}
	return advice
}

// sendQueries takes up to max due queries and marks them as sent.
func sendQueries(tracker *Tracker, now model.Time, scheduler Scheduler, max int) []Query {
	var out []Query
	tracker.EachDueQuery(now, scheduler, func(q Query) bool {
		tracker.MarkSent(&q)
		out = append(out, q)
		return len(out) < max
	})
	return out
}

func TestStepIsQueriedAgainBeforePermitsExpire(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(20)
	tracker.Add(1, workerclient.TaskName{Workflow: "f"}, lateness.Job{PromisedStart: 0})
	q := sendQueries(tracker, 1000, scheduler, 9)
	assert.Equal(t, len(q), 1)
	assert.Equal(t, len(q[0].Workers), 20)
	assert.Equal(t, len(sendQueries(tracker, 1001, scheduler, 9)), 0, "the query is in flight")
	tracker.ApplyAdvice(&q[0], adviceOf(2*time.Second, "w03", "w07"), 1100)
	assert.Equal(t, tracker.Token(1, "w03", 1200), "t-w03")
	assert.Equal(t, tracker.Token(1, "w04", 1200), "")
	assert.Equal(t, len(sendQueries(tracker, 2800, scheduler, 9)), 0, "permits are valid")
	assert.Equal(t, tracker.Token(1, "w03", 3099), "", "the permit would expire before the start arrives")
	again := sendQueries(tracker, 2900, scheduler, 9)
	assert.Equal(t, len(again), 1)
	assert.DeepEqual(t, again[0].Workers, []model.WorkerID{"w03", "w07"})
}

func TestJobWithoutPendingTasksIsNotQueried(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(4)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	scheduler.idle[1] = true
	assert.Equal(t, len(sendQueries(tracker, 1, scheduler, 9)), 0)
	scheduler.idle[1] = false
	tracker.Wake(1)
	q := sendQueries(tracker, 2, scheduler, 9)
	assert.Equal(t, len(q), 1)
	tracker.MarkFailed(&q[0], 2)
	tracker.Remove(1)
	assert.Equal(t, len(sendQueries(tracker, 1000, scheduler, 9)), 0)
}

// Guards against an examination of all workers at each check for a query that cannot be sent:
// under load this took three quarters of the leader's time for queries.
func TestWorkersOfUnsentQueryAreNotChosenAtEachCheck(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(20)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	check := func(now model.Time, take bool) (due int) {
		tracker.EachDueQuery(now, scheduler, func(q Query) bool {
			if due++; take {
				tracker.MarkSent(&q)
			}
			return true
		})
		return due
	}
	scheduler.limit = 20
	assert.Equal(t, check(1000, false), 1, "the size is not known yet")
	for now := model.Time(1020); now < 1500; now += 20 {
		assert.Equal(t, check(now, false), 0)
	}
	assert.Equal(t, scheduler.choices, 1)
	assert.Equal(t, check(1500, false), 1, "the query may be smaller by now")
	assert.Equal(t, check(1520, false), 0)
	scheduler.limit = 21
	assert.Equal(t, check(1540, true), 1, "it can be sent")
	assert.Equal(t, check(1560, true), 0, "it is in flight")
	assert.Equal(t, scheduler.choices, 3)
}

func TestFailedQueryIsRetried(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(4)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	q := sendQueries(tracker, 1000, scheduler, 9)
	tracker.MarkFailed(&q[0], 1500)
	assert.Equal(t, len(sendQueries(tracker, 1500, scheduler, 9)), 0)
	assert.Equal(t, len(sendQueries(tracker, 1500+model.Time(retryAfter.Milliseconds()), scheduler, 9)), 1)
}

// If no known worker may run the step, workers that register later are queried.
func TestNewWorkersAreQueried(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(2)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	q := sendQueries(tracker, 1000, scheduler, 9)
	tracker.ApplyAdvice(&q[0], adviceOf(2*time.Second), 1000)
	assert.Equal(t, len(sendQueries(tracker, 2000, scheduler, 9)), 0, "all known workers have been queried")
	scheduler.workers = append(scheduler.workers, "w99")
	again := sendQueries(tracker, 3000, scheduler, 9)
	assert.DeepEqual(t, again[0].Workers, []model.WorkerID{"w99"})
}

func TestRestartedWorkerIsQueriedAgain(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(1)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	q := sendQueries(tracker, 1000, scheduler, 9)
	tracker.ApplyAdvice(&q[0], adviceOf(time.Minute, "w00"), 1000)
	assert.DeepEqual(t, tracker.ForgetWorker("w00"), []model.JobID{1})
	assert.Equal(t, len(tracker.ForgetWorker("w00")), 0)
	assert.Equal(t, tracker.Token(1, "w00", 1001), "")
	assert.Equal(t, len(tracker.Permits(1)), 0)
	assert.Equal(t, len(sendQueries(tracker, 1001, scheduler, 9)), 1)
}

// Guards against a worker that is refused, or has a void permit, since it restarted while a query was in flight.
func TestResponseAboutEndedIncarnationCountsForNothing(t *testing.T) {
	rows := []struct {
		name      string
		permitted []model.WorkerID
	}{
		{"with a permit", []model.WorkerID{"w00", "w01"}},
		{"without a permit", []model.WorkerID{"w01"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tracker, scheduler := NewTracker(Options{}), newFakeScheduler(2)
			tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
			q := sendQueries(tracker, 1000, scheduler, 9)
			tracker.ForgetWorker("w00")
			tracker.ApplyAdvice(&q[0], adviceOf(time.Minute, row.permitted...), 1100)
			assert.Equal(t, tracker.Token(1, "w00", 1100), "")
			assert.Equal(t, tracker.Status(1, 1100).Queried, 1)
			scheduler.workers = scheduler.workers[:1]
			again := sendQueries(tracker, 1120, scheduler, 9)
			assert.Equal(t, len(again), 1)
			assert.DeepEqual(t, again[0].Workers, []model.WorkerID{"w00"})
			tracker.ApplyAdvice(&again[0], adviceOf(time.Minute, "w00"), 1200)
			assert.Equal(t, tracker.Token(1, "w00", 1200), "t-w00", "the later response is about the current incarnation")
		})
	}
}

func TestPermitsExpireAndCanBeInvalidated(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(3)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	q := sendQueries(tracker, 1000, scheduler, 9)
	tracker.ApplyAdvice(&q[0], adviceOf(2*time.Second, "w01"), 1000)
	assert.DeepEqual(t, tracker.Permits(1), []Grant{{Worker: "w01", Until: model.Time(1000).Add(2*time.Second - placementMargin)}})
	tracker.Invalidate(1, "w01")
	assert.Equal(t, len(tracker.Permits(1)), 0)
}

func TestOldestJobsAreQueriedFirst(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(3)
	for id := model.JobID(1); id <= 5; id++ {
		tracker.Add(id, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	}
	q := sendQueries(tracker, 1000, scheduler, 2)
	assert.Equal(t, len(q), 2)
	assert.Equal(t, q[0].Job, model.JobID(1))
	assert.Equal(t, q[1].Job, model.JobID(2))
}

func TestLateJobsAreQueriedAfterJobsDueUntilLateShift(t *testing.T) {
	for _, row := range []struct {
		name      string
		lateShift time.Duration
		want      []model.JobID
	}{
		{"all others are due before the shift ends", 10 * time.Second, []model.JobID{3, 5, 2, 1, 4}},
		{"one is due between the shifted deadlines", 8200 * time.Millisecond, []model.JobID{3, 5, 1, 2, 4}},
		{"without a shift by deadline", 0, []model.JobID{1, 4, 3, 5, 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			tracker, scheduler := NewTracker(Options{Lateness: lateness.Options{Shift: row.lateShift}}), newFakeScheduler(3)
			for id, by := range map[model.JobID]model.Time{1: 400, 2: 9000, 3: 1200, 4: 900, 5: 5000} {
				tracker.Add(id, workerclient.TaskName{}, lateness.Job{PromisedStart: by})
			}
			var order []model.JobID
			for _, q := range sendQueries(tracker, 1000, scheduler, 9) {
				order = append(order, q.Job)
			}
			assert.DeepEqual(t, order, row.want)
		})
	}
}

// Guards against head-of-line blocking after a change of the leader: twenty long
// queries wait when short ones arrive that need a response soon. No short query may
// go to an entry that a long one occupies.
func TestShortQueriesDoNotWaitForLongOnes(t *testing.T) {
	const longCost, shortCost = 500 * time.Millisecond, 10 * time.Millisecond
	tracker, scheduler, balancer := NewTracker(Options{}), newFakeScheduler(3), NewBalancer(0)
	entries := near("a", "b", "c", "d")
	cost := func(id model.JobID) time.Duration {
		if id <= 20 {
			return longCost
		}
		return shortCost
	}
	sent := map[model.JobID]string{}
	step := func(now model.Time) {
		tracker.EachDueQuery(now, scheduler, func(q Query) bool {
			if at, ok := balancer.Choose(entries, cost(q.Job), now); ok {
				balancer.Begin(at, cost(q.Job))
				tracker.MarkSent(&q)
				sent[q.Job] = at
			}
			return true
		})
	}
	for id := model.JobID(1); id <= 20; id++ {
		tracker.Add(id, workerclient.TaskName{}, lateness.Job{PromisedStart: 9000})
	}
	step(1000)
	assert.Equal(t, len(sent), 3, "long queries leave an entry to short ones")
	busy := map[string]bool{sent[1]: true, sent[2]: true, sent[3]: true}
	for id := model.JobID(21); id <= 30; id++ {
		tracker.Add(id, workerclient.TaskName{}, lateness.Job{PromisedStart: 1500})
	}
	step(1020)
	for id := model.JobID(21); id <= 30; id++ {
		assert.Assert(t, sent[id] != "" && !busy[sent[id]], "job %d was sent to %q", id, sent[id])
	}
}

func TestStatusCountsPermitsOfJob(t *testing.T) {
	const validFor = 2 * time.Second
	expiry := model.Time(1000).Add(validFor - placementMargin)
	answered := func(tracker *Tracker, workers ...model.WorkerID) {
		q := sendQueries(tracker, 1000, newFakeScheduler(4), 9)
		tracker.ApplyAdvice(&q[0], adviceOf(validFor, workers...), 1000)
	}
	rows := []struct {
		name    string
		prepare func(*Tracker)
		now     model.Time
		want    Status
	}{
		{"a job that was not queried has no permits", func(*Tracker) {}, 1000, Status{}},
		{"a query is in flight", func(tracker *Tracker) { sendQueries(tracker, 1000, newFakeScheduler(4), 9) }, 1000, Status{InFlight: true}},
		{"a failed query is not in flight", func(tracker *Tracker) {
			q := sendQueries(tracker, 1000, newFakeScheduler(4), 9)
			tracker.MarkFailed(&q[0], 1000)
		}, 1000, Status{}},
		{"some of the queried workers are allowed", func(tracker *Tracker) { answered(tracker, "w01", "w02") }, expiry - 1, Status{Known: 2, Valid: 2, Allowed: 2, Queried: 4}},
		{"no queried worker is allowed", func(tracker *Tracker) { answered(tracker) }, 1000, Status{Queried: 4}},
		{"permits have expired", func(tracker *Tracker) { answered(tracker, "w01", "w02") }, expiry, Status{Known: 2, Allowed: 2, Queried: 4}},
		{"a worker rejected its permit", func(tracker *Tracker) {
			answered(tracker, "w01", "w02")
			tracker.Invalidate(1, "w01")
		}, 1000, Status{Known: 1, Valid: 1, Allowed: 2, Queried: 4}},
		{"a permitted worker has restarted", func(tracker *Tracker) {
			answered(tracker, "w01", "w02")
			tracker.ForgetWorker("w01")
		}, 1000, Status{Known: 1, Valid: 1, Allowed: 1, Queried: 3}},
		{"a job that is not tracked has no permits", func(tracker *Tracker) { tracker.Remove(1) }, 1000, Status{}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tracker := NewTracker(Options{})
			tracker.Add(1, workerclient.TaskName{Workflow: "f"}, lateness.Job{PromisedStart: 0})
			row.prepare(tracker)
			assert.Equal(t, tracker.Status(1, row.now), row.want)
		})
	}
}
