package permit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/model"
)

// fakeCell has the same workers for every job.
type fakeCell struct {
	workers []model.WorkerID
	idle    map[model.JobID]bool
}

func (c *fakeCell) Waits(id model.JobID) bool               { return !c.idle[id] }
func (c *fakeCell) Candidates(model.JobID) []model.WorkerID { return c.workers }

func newFakeCell(n int) *fakeCell {
	c := &fakeCell{idle: map[model.JobID]bool{}}
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

func TestAStepIsAskedOnceAndAgainWhenItsPermitsEnd(t *testing.T) {
	d, c := NewDesk(), newFakeCell(20)
	d.Add(1, courier.TaskName{Workflow: "f"})
	q := d.Questions(1000, c, 9)
	assert.Equal(t, len(q), 1)
	assert.Equal(t, len(q[0].Workers), 20)
	assert.Equal(t, len(d.Questions(1001, c, 9)), 0, "the question is on its way")
	d.Answered(&q[0], adviceOf(2*time.Second, "w03", "w07"), 1100)
	assert.Equal(t, d.Token(1, "w03", 1200), "t-w03")
	assert.Equal(t, d.Token(1, "w04", 1200), "")
	assert.Equal(t, len(d.Questions(2800, c, 9)), 0, "permits hold")
	assert.Equal(t, d.Token(1, "w03", 3099), "", "it would end before the start arrives")
	again := d.Questions(2900, c, 9)
	assert.Equal(t, len(again), 1)
	assert.DeepEqual(t, again[0].Workers, []model.WorkerID{"w03", "w07"})
}

func TestNothingIsAskedForAJobThatDoesNotWait(t *testing.T) {
	d, c := NewDesk(), newFakeCell(4)
	d.Add(1, courier.TaskName{})
	c.idle[1] = true
	assert.Equal(t, len(d.Questions(1, c, 9)), 0)
	c.idle[1] = false
	d.Remove(1)
	assert.Equal(t, len(d.Questions(2, c, 9)), 0)
}

func TestAQuestionWithoutAnAnswerIsAskedAgain(t *testing.T) {
	d, c := NewDesk(), newFakeCell(4)
	d.Add(1, courier.TaskName{})
	q := d.Questions(1000, c, 9)
	d.Unanswered(&q[0], 1500)
	assert.Equal(t, len(d.Questions(1500, c, 9)), 0)
	assert.Equal(t, len(d.Questions(1500+model.Time(retryAfter.Milliseconds()), c, 9)), 1)
}

// Where nobody may run the step so far, workers that come later are asked about.
func TestNewWorkersAreAskedAbout(t *testing.T) {
	d, c := NewDesk(), newFakeCell(2)
	d.Add(1, courier.TaskName{})
	q := d.Questions(1000, c, 9)
	d.Answered(&q[0], adviceOf(2*time.Second), 1000)
	assert.Equal(t, len(d.Questions(2000, c, 9)), 0, "all that are known have been asked about")
	c.workers = append(c.workers, "w99")
	again := d.Questions(3000, c, 9)
	assert.DeepEqual(t, again[0].Workers, []model.WorkerID{"w99"})
}

func TestAWorkerThatStartsAnewIsAskedAboutAgain(t *testing.T) {
	d, c := NewDesk(), newFakeCell(1)
	d.Add(1, courier.TaskName{})
	q := d.Questions(1000, c, 9)
	d.Answered(&q[0], adviceOf(time.Minute, "w00"), 1000)
	d.Forget("w00")
	assert.Equal(t, d.Token(1, "w00", 1001), "")
	assert.Equal(t, len(d.Permits(1)), 0)
	assert.Equal(t, len(d.Questions(1001, c, 9)), 1)
}

func TestThePermitsOfAJobAreBoundedInTime(t *testing.T) {
	d, c := NewDesk(), newFakeCell(3)
	d.Add(1, courier.TaskName{})
	q := d.Questions(1000, c, 9)
	d.Answered(&q[0], adviceOf(2*time.Second, "w01"), 1000)
	assert.DeepEqual(t, d.Permits(1), []Held{{Worker: "w01", Until: model.Time(1000).Add(2*time.Second - spare)}})
	d.Void(1, "w01")
	assert.Equal(t, len(d.Permits(1)), 0)
}

func TestTheOldestJobsAreAskedForFirst(t *testing.T) {
	d, c := NewDesk(), newFakeCell(3)
	for id := model.JobID(1); id <= 5; id++ {
		d.Add(id, courier.TaskName{})
	}
	q := d.Questions(1000, c, 2)
	assert.Equal(t, len(q), 2)
	assert.Equal(t, q[0].Job, model.JobID(1))
	assert.Equal(t, q[1].Job, model.JobID(2))
}
