package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// bookingScheduler has at most one booked job. All jobs are gangs of two tasks.
type bookingScheduler struct {
	*fakeScheduler
	on []model.WorkerID // booked workers of bookedID; nil: it is not booked
}

func (s *bookingScheduler) Booked() []schedule.Booked {
	if s.on == nil {
		return nil
	}
	return []schedule.Booked{{Job: bookedID, Workers: s.on}}
}

func (s *bookingScheduler) Demand(model.JobID) Demand { return Demand{Tasks: 2, AllAtOnce: true} }

const (
	bookedID = model.JobID(1)
	otherID  = model.JobID(2)
)

// bookedTracker returns a Tracker with a job that is late and booked on two workers, and one
// that is in time.
func bookedTracker() (*Tracker, *bookingScheduler) {
	tracker := NewTracker(Options{Lateness: lateness.Options{Shift: time.Minute}})
	tracker.Add(bookedID, workerclient.TaskName{}, lateness.Job{PromisedStart: 1000})
	tracker.Add(otherID, workerclient.TaskName{}, lateness.Job{PromisedStart: 9000})
	return tracker, &bookingScheduler{newFakeScheduler(4), []model.WorkerID{"w01", "w02"}}
}

func TestQueryOfLateBookedJobComesFirstAndNamesItsWorkers(t *testing.T) {
	tracker, scheduler := bookedTracker()
	sent := sendQueries(tracker, 2000, scheduler, 10)
	assert.Equal(t, len(sent), 2)
	assert.Equal(t, sent[0].Job, bookedID)
	assert.DeepEqual(t, sent[0].Workers, []model.WorkerID{"w01", "w02"})
	assert.Equal(t, sent[1].Job, otherID)
	assert.Equal(t, len(sendQueries(tracker, 2010, scheduler, 10)), 0, "the queries are in flight")
}

func TestBookedJobIsQueriedAboutPermitsThatEndBeforeTheResponse(t *testing.T) {
	tracker, scheduler := bookedTracker()
	sent := sendQueries(tracker, 2000, scheduler, 1)
	const took = 300
	tracker.ApplyAdvice(&sent[0], adviceOf(time.Second, "w01", "w02"), 2000+took)
	valid := model.Time(2000 + took).Add(time.Second - placementMargin)
	due := func(at model.Time) []model.WorkerID {
		var out []model.WorkerID
		tracker.EachDueQuery(at, scheduler, func(q Query) bool {
			if q.Job == bookedID {
				out = append(out, q.Workers...)
			}
			return true
		})
		return out
	}
	assert.Equal(t, len(due(valid-1)), 0, "all permits are valid")
	scheduler.on = append(scheduler.on, "w03")
	assert.DeepEqual(t, due(valid-took-1), []model.WorkerID{"w03"})
	assert.DeepEqual(t, due(valid-took), []model.WorkerID{"w01", "w02", "w03"})
}

// Guards against permits of which some have always ended, since each is renewed at a time of its own.
func TestPermitsOfBookedJobAreRenewedTogetherBesideQueryInFlight(t *testing.T) {
	tracker, scheduler := bookedTracker()
	scheduler.on = []model.WorkerID{"w01"}
	first := sendQueries(tracker, 2000, scheduler, 1)
	scheduler.on = []model.WorkerID{"w01", "w02"}
	second := sendQueries(tracker, 2100, scheduler, 1)
	assert.DeepEqual(t, second[0].Workers, []model.WorkerID{"w02"})
	tracker.ApplyAdvice(&first[0], adviceOf(time.Second, "w01"), 2300)
	tracker.ApplyAdvice(&second[0], adviceOf(time.Second, "w02"), 2400)
	scheduler.on = []model.WorkerID{"w00", "w01", "w02"}
	third := sendQueries(tracker, 2500, scheduler, 1)
	assert.DeepEqual(t, third[0].Workers, []model.WorkerID{"w00"})
	ended := model.Time(2300).Add(time.Second - placementMargin)
	fourth := sendQueries(tracker, ended, scheduler, 1)
	assert.DeepEqual(t, fourth[0].Workers, []model.WorkerID{"w01", "w02"})
}

func TestBookedJobIsQueriedAgainAfterFailure(t *testing.T) {
	tracker, scheduler := bookedTracker()
	sent := sendQueries(tracker, 2000, scheduler, 1)
	tracker.MarkFailed(&sent[0], 3000)
	at := model.Time(3000)
	assert.Equal(t, len(sendQueries(tracker, at.Add(retryAfter)-1, scheduler, 1)), 1, "that of the other job")
	again := sendQueries(tracker, at.Add(retryAfter), scheduler, 1)
	assert.DeepEqual(t, again[0].Workers, sent[0].Workers)
}

// Guards against a gang that is never queried about again after its booking lapsed beside a failed query.
func TestUnbookedGangIsQueriedAgainAfterFailure(t *testing.T) {
	tracker, scheduler := bookedTracker()
	sent := sendQueries(tracker, 2000, scheduler, 1)
	tracker.ApplyAdvice(&sent[0], adviceOf(time.Second, "w01", "w02"), 2300)
	sent = sendQueries(tracker, 4000, scheduler, 1)
	scheduler.on = nil
	tracker.MarkFailed(&sent[0], 5000)
	due := sendQueries(tracker, model.Time(5000).Add(retryAfter), scheduler, 10)
	assert.Equal(t, len(due), 2)
	assert.Equal(t, due[1].Job, bookedID, "it is late")
}
