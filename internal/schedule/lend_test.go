package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// reservedCell is a cell of 8 workers with 16 cores each, all reserved for a gang of team b that waits for work of team a of the given size on each worker.
func reservedCell(size int64) (c *fakeLeader, gang model.JobID) {
	c = newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000}, model.Team{Name: "b", Share: 1, MaxRunning: 1000})
	c.workers(8, cores(16))
	c.job(model.JobSpec{Name: "long", Tasks: 8, Size: cores(size), Exclusive: true})
	c.plan()
	gang = c.job(model.JobSpec{Team: "b", Name: "gang", Policy: model.PolicyGang, Tasks: 8, Size: cores(15)})
	c.plan()
	c.now = c.now.Add(43 * time.Second)
	return c, gang
}

// Guards against a cell that stands still for a gang which waits for long work.
func TestReservationBehindLongWorkKeepsNoIdleJobWaitingForLong(t *testing.T) {
	for _, row := range []struct {
		name string
		jobs int
		spec model.JobSpec
		want int // tasks that start in time
	}{
		{"small jobs", 10, model.JobSpec{Tasks: 1, Size: cores(1)}, 10},
		{"a small gang", 1, model.JobSpec{Policy: model.PolicyGang, Tasks: 4, Size: cores(10)}, 4},
		{"a service", 1, model.JobSpec{Policy: model.PolicyService, Tasks: 3, Size: cores(1)}, 3},
		{"jobs of one class with several tasks", 3, model.JobSpec{Tasks: 2, Size: cores(1)}, 3},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, _ := reservedCell(2)
			assert.Equal(t, c.s.Stats().Reservations, 1)
			for range row.jobs {
				c.job(row.spec)
			}
			started := 0
			for from := c.now; c.now.Sub(from) < callersWait; c.now = c.now.Add(100 * time.Millisecond) {
				started += len(c.plan().Placements)
			}
			assert.Equal(t, started, row.want)
			assert.Equal(t, len(audit(c.s)), 0)
		})
	}
}

// Guards against a reservation that others use up: one whose workers are mostly in use keeps them.
func TestReservationOfBusyWorkersLendsNothing(t *testing.T) {
	c, _ := reservedCell(8)
	c.job(model.JobSpec{Name: "small", Tasks: 1, Size: cores(1)})
	for range 100 {
		assert.Equal(t, len(c.plan().Placements), 0)
		c.now = c.now.Add(100 * time.Millisecond)
	}
}

// Guards against a gang that short jobs starve, since they are lent its workers again and again.
func TestGangIsNotStarvedByShortJobsThatBorrowItsWorkers(t *testing.T) {
	const run, gangWaits = time.Second, 5 * time.Second
	c, gang := reservedCell(2)
	ends := map[model.TaskID]model.Time{}
	for i := range int32(8) {
		ends[model.TaskID{Job: 1, Index: i}] = c.now.Add(20 * time.Second)
	}
	var idle model.Time // when the long work has ended
	for range 600 {
		for _, id := range sortedKeys(ends, compareTasks) {
			if ends[id] <= c.now {
				delete(ends, id)
				c.end(id, Succeeded, run, true)
				if id.Job == 1 {
					idle = c.now
				}
			}
		}
		c.job(model.JobSpec{Name: "small", Tasks: 1, Size: cores(1)})
		for _, p := range c.plan().Placements {
			if p.Task.Job == gang {
				assert.Assert(t, c.now.Sub(idle) <= gangWaits, "the gang has waited for %s", c.now.Sub(idle))
				return
			}
			ends[p.Task] = c.now.Add(run)
		}
		c.now = c.now.Add(100 * time.Millisecond)
	}
	t.Error("the gang has not started")
}

// Guards against workers that stay reserved for a gang although a service has borrowed one of them for good.
func TestReservationEndsOnceServiceHasBorrowedItsRoom(t *testing.T) {
	c, gang := reservedCell(2)
	c.job(model.JobSpec{Name: "service", Policy: model.PolicyService, Tasks: 1, Size: cores(2)})
	c.plan()
	c.now = c.now.Add(DefaultMaxIdleWait)
	assert.Equal(t, len(c.plan().Placements), 1)
	c.plan()
	assert.Equal(t, c.s.Stats().Reservations, 0, "no worker beside the service holds a task of gang %s", gang)
}

// Guards against permits that are asked for no worker which may be lent.
func TestCandidatesOfIdleJobIncludeWorkersThatAreLent(t *testing.T) {
	c, _ := reservedCell(2)
	room := func() (n int64) {
		for _, w := range c.s.Candidates(c.jobNeedingPermit(model.JobSpec{Tasks: 1, Size: cores(1)})) {
			n += w.Room
		}
		return n
	}
	assert.Equal(t, room(), int64(8*14))
	c, _ = reservedCell(8)
	assert.Equal(t, room(), int64(0))
}
