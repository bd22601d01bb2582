package permit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/model"
)

// fakeScheduler has the same workers for every job.
type fakeScheduler struct {
	workers []model.WorkerID
	idle    map[model.JobID]bool
}

func (c *fakeScheduler) HasPendingTasks(id model.JobID) bool     { return !c.idle[id] }
func (c *fakeScheduler) Candidates(model.JobID) []model.WorkerID { return c.workers }

func newFakeScheduler(n int) *fakeScheduler {
	c := &fakeScheduler{idle: map[model.JobID]bool{}}
	for i := range n {
		c.workers = append(c.workers, model.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	return c
}

func adviceOf(valid time.Duration, workers ...model.WorkerID) *courier.Advice {
	a := &courier.Advice{Valid: model.Duration(valid)}
	for _, w := range workers {
		a.Permits = append(a.Permits, courier.Permit{Worker: w, Token: "t-" + string(w)})
	}
	return a
}

// ask takes up to max questions.
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
	d, c := NewTracker(), newFakeScheduler(20)
	d.Add(1, courier.TaskName{Workflow: "f"}, 0)
	q := sendQueries(d, 1000, c, 9)
	assert.Equal(t, len(q), 1)
	assert.Equal(t, len(q[0].Workers), 20)
	assert.Equal(t, len(sendQueries(d, 1001, c, 9)), 0, "the question is on its way")
	d.ApplyAdvice(&q[0], adviceOf(2*time.Second, "w03", "w07"), 1100)
	assert.Equal(t, d.Token(1, "w03", 1200), "t-w03")
	assert.Equal(t, d.Token(1, "w04", 1200), "")
	assert.Equal(t, len(sendQueries(d, 2800, c, 9)), 0, "permits hold")
	assert.Equal(t, d.Token(1, "w03", 3099), "", "it would end before the start arrives")
	again := sendQueries(d, 2900, c, 9)
	assert.Equal(t, len(again), 1)
	assert.DeepEqual(t, again[0].Workers, []model.WorkerID{"w03", "w07"})
}

func TestJobWithoutPendingTasksIsNotQueried(t *testing.T) {
	d, c := NewTracker(), newFakeScheduler(4)
	d.Add(1, courier.TaskName{}, 0)
	c.idle[1] = true
	assert.Equal(t, len(sendQueries(d, 1, c, 9)), 0)
	c.idle[1] = false
	d.Remove(1)
	assert.Equal(t, len(sendQueries(d, 2, c, 9)), 0)
}

func TestFailedQueryIsRetried(t *testing.T) {
	d, c := NewTracker(), newFakeScheduler(4)
	d.Add(1, courier.TaskName{}, 0)
	q := sendQueries(d, 1000, c, 9)
	d.MarkFailed(&q[0], 1500)
	assert.Equal(t, len(sendQueries(d, 1500, c, 9)), 0)
	assert.Equal(t, len(sendQueries(d, 1500+model.Time(retryAfter.Milliseconds()), c, 9)), 1)
}

// Where nobody may run the step so far, workers that come later are asked about.
func TestNewWorkersAreQueried(t *testing.T) {
	d, c := NewTracker(), newFakeScheduler(2)
	d.Add(1, courier.TaskName{}, 0)
	q := sendQueries(d, 1000, c, 9)
	d.ApplyAdvice(&q[0], adviceOf(2*time.Second), 1000)
	assert.Equal(t, len(sendQueries(d, 2000, c, 9)), 0, "all that are known have been asked about")
	c.workers = append(c.workers, "w99")
	again := sendQueries(d, 3000, c, 9)
	assert.DeepEqual(t, again[0].Workers, []model.WorkerID{"w99"})
}

func TestRestartedWorkerIsQueriedAgain(t *testing.T) {
	d, c := NewTracker(), newFakeScheduler(1)
	d.Add(1, courier.TaskName{}, 0)
	q := sendQueries(d, 1000, c, 9)
	d.ApplyAdvice(&q[0], adviceOf(time.Minute, "w00"), 1000)
	d.ForgetWorker("w00")
	assert.Equal(t, d.Token(1, "w00", 1001), "")
	assert.Equal(t, len(d.Permits(1)), 0)
	assert.Equal(t, len(sendQueries(d, 1001, c, 9)), 1)
}

func TestPermitsExpireAndCanBeInvalidated(t *testing.T) {
	d, c := NewTracker(), newFakeScheduler(3)
	d.Add(1, courier.TaskName{}, 0)
	q := sendQueries(d, 1000, c, 9)
	d.ApplyAdvice(&q[0], adviceOf(2*time.Second, "w01"), 1000)
	assert.DeepEqual(t, d.Permits(1), []Grant{{Worker: "w01", Until: model.Time(1000).Add(2*time.Second - placementMargin)}})
	d.Invalidate(1, "w01")
	assert.Equal(t, len(d.Permits(1)), 0)
}

func TestOldestJobsAreQueriedFirst(t *testing.T) {
	d, c := NewTracker(), newFakeScheduler(3)
	for id := model.JobID(1); id <= 5; id++ {
		d.Add(id, courier.TaskName{}, 0)
	}
	q := sendQueries(d, 1000, c, 2)
	assert.Equal(t, len(q), 2)
	assert.Equal(t, q[0].Job, model.JobID(1))
	assert.Equal(t, q[1].Job, model.JobID(2))
}

func TestJobsThatCanStartInTimeAreQueriedFirst(t *testing.T) {
	d, c := NewTracker(), newFakeScheduler(3)
	for id, by := range map[model.JobID]model.Time{1: 400, 2: 9000, 3: 1200, 4: 900, 5: 5000} {
		d.Add(id, courier.TaskName{}, by)
	}
	var order []model.JobID
	for _, q := range sendQueries(d, 1000, c, 9) {
		order = append(order, q.Job)
	}
	assert.DeepEqual(t, order, []model.JobID{3, 5, 2, 1, 4})
}

// The load after a change of the leader: twenty long questions wait, and short
// ones come that have to be answered soon. None of these waits for a long one.
func TestShortQueriesDoNotWaitForLongOnes(t *testing.T) {
	const longCost, shortCost = 500 * time.Millisecond, 10 * time.Millisecond
	d, c, lines := NewTracker(), newFakeScheduler(3), NewBalancer()
	entries := []string{"a", "b", "c", "d"}
	cost := func(id model.JobID) time.Duration {
		if id <= 20 {
			return longCost
		}
		return shortCost
	}
	sent := map[model.JobID]string{}
	step := func(now model.Time) {
		d.EachDueQuery(now, c, func(q Query) bool {
			if at, ok := lines.Choose(entries, cost(q.Job), now); ok {
				lines.Begin(at, cost(q.Job))
				d.MarkSent(&q)
				sent[q.Job] = at
			}
			return true
		})
	}
	for id := model.JobID(1); id <= 20; id++ {
		d.Add(id, courier.TaskName{}, 9000)
	}
	step(1000)
	assert.Equal(t, len(sent), 2, "long ones take half of the entries")
	busy := map[string]bool{sent[1]: true, sent[2]: true}
	for id := model.JobID(21); id <= 30; id++ {
		d.Add(id, courier.TaskName{}, 1500)
	}
	step(1020)
	for id := model.JobID(21); id <= 30; id++ {
		assert.Assert(t, sent[id] != "" && !busy[sent[id]], "job %d at %q", id, sent[id])
	}
}
