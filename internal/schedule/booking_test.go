package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
)

// bookedGang returns a cell of four workers, and a gang that needs three of them and is booked
// since its permits for the given workers have just ended.
func bookedGang(t *testing.T, allowed ...model.WorkerID) (*fakeLeader, model.JobID) {
	c := newCell()
	c.workers(4, cores(4))
	gang := c.jobNeedingPermit(model.JobSpec{Policy: model.PolicyGang, Tasks: 3, Size: cores(4)})
	c.permit(gang, c.now, allowed...)
	assert.Equal(t, len(c.plan().Placements), 0, "no permit is valid")
	assert.DeepEqual(t, bookedJobs(c), []model.JobID{gang})
	return c, gang
}

func bookedJobs(c *fakeLeader) (out []model.JobID) {
	for _, b := range c.s.Booked() {
		out = append(out, b.Job)
	}
	return out
}

// fills submits a job that fills the cell, and returns how many of its tasks are placed.
func fills(c *fakeLeader) int {
	c.job(model.JobSpec{Name: "fill", Tasks: 4, Size: cores(4)})
	return len(c.plan().Placements)
}

// Guards against room that others take while the permits of a gang are renewed.
func TestRoomOfGangIsBookedWhileItsPermitsAreRenewed(t *testing.T) {
	c, gang := bookedGang(t, "w000", "w001", "w002")
	assert.Equal(t, fills(c), 1, "one worker is not booked")
	valid := func(w model.WorkerID) Permit { return Permit{Worker: w, Until: c.now + 1000} }
	c.s.Apply(JobPermitsChanged{ID: gang, Permits: []Permit{valid("w000"), valid("w001"), {Worker: "w002", Until: c.now}}})
	assert.Equal(t, len(c.plan().Placements), 0, "a permit is missing")
	c.permit(gang, c.now+1000, "w000", "w001", "w002")
	placed := c.plan().Placements
	assert.Equal(t, len(placed), 3)
	for _, p := range placed {
		assert.Equal(t, p.Task.Job, gang)
	}
	assert.Equal(t, len(c.s.Booked()), 0)
}

// Guards against workers that stay empty while the policy service is silent.
func TestBookingLapsesAndIsMadeAgainAfterPause(t *testing.T) {
	c, gang := bookedGang(t, "w000", "w001", "w002")
	booked := c.now
	c.job(model.JobSpec{Name: "fill", Tasks: 4, Size: cores(4), Patience: hour})
	p := c.plan()
	assert.Equal(t, len(p.Placements), 1)
	for p = c.plan(); len(p.Placements) == 0; p = c.plan() {
		c.now = p.NextWake
	}
	assert.Equal(t, c.now, booked.Add(DefaultMaxIdleWait))
	assert.Equal(t, len(p.Placements), 3, "others get the room")
	assert.Equal(t, len(c.s.Booked()), 0)
	for _, e := range p.Placements {
		c.end(e.Task, Succeeded, 0, true)
	}
	c.plan()
	assert.Equal(t, len(c.s.Booked()), 0, "the gang pauses")
	c.now = c.now.Add(DefaultMaxIdleWait)
	c.plan()
	assert.DeepEqual(t, bookedJobs(c), []model.JobID{gang})
}

// Guards against gangs that book the same room in turn while the policy service answers none of them.
func TestRoomOfLapsedBookingIsNotBookedByOthersAtOnce(t *testing.T) {
	c, _ := bookedGang(t, "w000", "w001", "w002")
	second := c.jobNeedingPermit(model.JobSpec{Policy: model.PolicyGang, Tasks: 3, Size: cores(4), Patience: hour})
	c.permit(second, c.now, "w000", "w001", "w002")
	c.now = c.now.Add(DefaultMaxIdleWait)
	p := c.plan()
	assert.Equal(t, len(c.s.Booked()), 0)
	for c.now = p.NextWake; len(c.plan().Placements) == 0 && len(c.s.Booked()) == 0; c.now = p.NextWake {
		p = c.s.Plan(c.now, 1000)
	}
	assert.Equal(t, c.now, newCell().now.Add(2*DefaultMaxIdleWait))
}

func TestGangIsBookedAgainAtOnceAfterResponse(t *testing.T) {
	c, gang := bookedGang(t, "w000", "w001", "w002")
	c.now = c.now.Add(DefaultMaxIdleWait)
	c.plan()
	assert.Equal(t, len(c.s.Booked()), 0)
	c.workers(8, cores(4))
	c.permit(gang, c.now, "w004", "w005", "w006")
	c.plan()
	assert.DeepEqual(t, bookedJobs(c), []model.JobID{gang})
}

func TestGangIsBookedElsewhereIfWorkerIsRefused(t *testing.T) {
	c, gang := bookedGang(t, "w000", "w001", "w002", "w003")
	refused := c.s.workers[c.s.bookings[0].claims[0].slot].id
	ev := JobPermitsChanged{ID: gang}
	for _, w := range []model.WorkerID{"w000", "w001", "w002", "w003"} {
		ev.Permits = append(ev.Permits, Permit{Worker: w, Until: c.now, Refused: w == refused})
	}
	c.s.Apply(ev)
	c.plan()
	assert.Equal(t, len(c.s.bookings), 1)
	assert.Equal(t, c.s.bookings[0].claimed(c.s.workerByID[refused]), int64(0))
}

func TestBookingEndsWithWhatItRestsOn(t *testing.T) {
	for name, end := range map[string]func(c *fakeLeader, gang model.JobID){
		"the job is cancelled": func(c *fakeLeader, gang model.JobID) { c.s.Apply(JobsCancelled{IDs: []model.JobID{gang}}) },
		"a task has failed for good": func(c *fakeLeader, gang model.JobID) {
			c.s.Apply(TaskEnded{Task: model.TaskID{Job: gang}, Final: true})
		},
		"a worker is lost": func(c *fakeLeader, _ model.JobID) {
			c.s.Apply(WorkerModeChanged{Worker: "w001", Mode: model.WorkerLost})
		},
		"a worker is removed":         func(c *fakeLeader, _ model.JobID) { c.s.Apply(WorkersRemoved{Workers: []model.WorkerID{"w001"}}) },
		"a worker does not respond":   func(c *fakeLeader, _ model.JobID) { c.s.Apply(WorkerResponsivenessChanged{Worker: "w001"}) },
		"a worker has restarted":      func(c *fakeLeader, gang model.JobID) { c.permit(gang, c.now, "w000", "w002") },
		"what has ended still runs":   func(c *fakeLeader, _ model.JobID) { c.s.Apply(EndingChanged{Worker: "w001", Size: cores(1)}) },
		"the limit of the team falls": func(c *fakeLeader, _ model.JobID) { c.s.Apply(RequestPermitsChanged{Team: "a", Permits: 998}) },
	} {
		t.Run(name, func(t *testing.T) {
			c, gang := bookedGang(t, "w000", "w001", "w002")
			first := c.s.bookings[0]
			end(c, gang)
			c.plan()
			for _, b := range c.s.bookings {
				assert.Assert(t, b != first)
			}
			assert.Equal(t, len(audit(c.s)), 0, "%v", audit(c.s))
		})
	}
}

// Guards against a reservation that keeps others from reserving once its job has its room.
func TestReservationEndsWithBooking(t *testing.T) {
	c := newCell()
	c.workers(2, cores(4))
	c.job(model.JobSpec{Name: "fill", Tasks: 2, Size: cores(4)})
	running := c.plan().Placements
	gang := c.jobNeedingPermit(model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(4)})
	c.permit(gang, c.now, "w000", "w001")
	c.plan()
	assert.Equal(t, c.s.Stats().Reservations, 1)
	for _, p := range running {
		c.end(p.Task, Succeeded, 0, true)
	}
	c.plan()
	assert.DeepEqual(t, bookedJobs(c), []model.JobID{gang})
	assert.Equal(t, c.s.Stats().Reservations, 0)
}

func TestBookedRoomIsCandidateOfItsJobOnly(t *testing.T) {
	c, gang := bookedGang(t, "w000", "w001", "w002")
	other := c.jobNeedingPermit(model.JobSpec{Tasks: 1, Size: cores(4)})
	for id, want := range map[model.JobID]Candidate{
		gang:  {Worker: "w001", Room: 1},
		other: {Worker: "w001"},
	} {
		for _, got := range c.s.Candidates(id) {
			if got.Worker == want.Worker {
				assert.DeepEqual(t, Candidate{Worker: got.Worker, Room: got.Room}, want)
			}
		}
	}
}

func TestWaitReasonsTellBooking(t *testing.T) {
	c, gang := bookedGang(t, "w000", "w001", "w002")
	other := c.job(model.JobSpec{Tasks: 2, Size: cores(4)})
	booked := func(id model.JobID, reason string) (out []api.WhyNot) {
		for _, w := range c.s.WaitReasons(id, c.now.Add(time.Second)) {
			if w.Reason == reason {
				out = append(out, w)
			}
		}
		return out
	}
	assert.DeepEqual(t, booked(gang, waitBooked), []api.WhyNot{{Reason: waitBooked, Count: 3, Detail: "workers are booked for the gang for another 1s at most, while the permits for them are renewed"}})
	assert.DeepEqual(t, booked(other, waitOthersBooked), []api.WhyNot{{Reason: waitOthersBooked, Count: 3, Detail: "workers have room that is booked for gangs whose permits are being renewed"}})
}

// Guards against room that late gangs book before those that can still start in time know their permits.
func TestLateGangBooksNoRoomThatGangsInTimeNeed(t *testing.T) {
	const grace, shift = 500 * time.Millisecond, 30 * time.Second
	spec := model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(4), Patience: model.Duration(time.Second)}
	for _, row := range []struct {
		name   string
		inTime int32 // tasks of a gang that can still start in time
		waits  time.Duration
		fill   int32 // tasks that fill a worker each
		booked int
	}{
		{"the room holds both", 2, 2 * time.Second, 4, 1},
		{"the room holds one of them", 3, 2 * time.Second, 4, 0},
		{"the cell is mostly idle", 3, 2 * time.Second, 3, 1},
		{"no other gang waits", 0, 2 * time.Second, 4, 1},
		{"its turn has come", 3, shift, 4, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCell()
			c.s.opts.Lateness = lateness.Options{Shift: shift, Grace: grace}
			c.workers(8, cores(4))
			c.job(model.JobSpec{Name: "fill", Tasks: row.fill, Size: cores(4)})
			c.plan()
			late := c.jobNeedingPermit(spec)
			c.now = c.now.Add(row.waits)
			c.permit(late, c.now, "w000", "w001", "w002", "w003", "w004", "w005", "w006", "w007")
			if row.inTime > 0 {
				in := spec
				in.Tasks, in.Patience = row.inTime, model.Duration(time.Minute)
				c.jobNeedingPermit(in)
			}
			c.plan()
			assert.Equal(t, len(bookedJobs(c)), row.booked)
		})
	}
}
