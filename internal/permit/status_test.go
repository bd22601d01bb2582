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

// Guards against a gang whose permits end one after the other and that looks as if it had no room.
func TestRoomTellsExpiredPermitsFromMissingRoom(t *testing.T) {
	tracker, scheduler := NewTracker(Options{}), newFakeScheduler(4)
	tracker.Add(1, workerclient.TaskName{}, lateness.Job{PromisedStart: 0})
	apply := func(q Query, at int64, valid time.Duration, answer ...int) {
		tracker.MarkSent(&q)
		advice := adviceOf(valid)
		for _, i := range answer {
			advice.Permits = append(advice.Permits, workerclient.Permit{Worker: scheduler.workers[i], Token: "t"})
		}
		tracker.ApplyAdvice(&q, advice, model.Time(at))
	}
	apply(Query{Job: 1, Workers: scheduler.workers[:1]}, 1000, time.Second, 0)
	apply(Query{Job: 1, Workers: scheduler.workers[1:3]}, 2000, time.Second, 1)
	candidates := []schedule.Candidate{{Worker: "w00", Room: 3}, {Worker: "w01", Room: 2}, {Worker: "w02", Room: 5}, {Worker: "w03", Room: 7}}
	assert.Equal(t, tracker.Room(1, candidates, 1500), Room{Valid: 5, Allowed: 5, Unqueried: 7})
	assert.Equal(t, tracker.Room(1, candidates, 2100), Room{Valid: 2, Allowed: 5, Unqueried: 7}, "the permit for w00 has ended, w02 was refused")
	assert.Equal(t, tracker.Room(2, candidates, 2100), Room{}, "the job is unknown")
}

func TestPositionCountsTheJobsThatOvertakeALateOne(t *testing.T) {
	tracker := NewTracker(Options{Lateness: lateness.Options{Shift: 30 * time.Second, Grace: 500 * time.Millisecond}})
	for id, startBy := range map[int64]int64{1: 10_000, 2: 9_000, 3: 39_000, 4: 41_000} {
		tracker.Add(model.JobID(id), workerclient.TaskName{}, lateness.Job{PromisedStart: model.Time(startBy)})
	}
	assert.Equal(t, tracker.Position(1, 9_000), Position{Ahead: 1})
	assert.Equal(t, tracker.Position(1, 10_501), Position{Ahead: 2, Overtaken: 1}, "it is late, and job 3 comes first")
	assert.Equal(t, tracker.Position(3, 10_501), Position{Ahead: 1})
	assert.Equal(t, tracker.Position(9, 10_501), Position{}, "the job is unknown")
}
