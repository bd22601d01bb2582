package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

func (c *fakeLeader) evacuate(domain string, evacuated bool) {
	c.s.Apply(EvacuationChanged{Domain: domain, Evacuated: evacuated})
}

// runIn makes plans for half a minute, whenever the last one asks for it, and returns how many
// tasks they place or preempt in a failure domain.
func (c *fakeLeader) runIn(domain string) (n int) {
	in := func(id model.WorkerID) bool {
		w := &c.s.workers[c.s.workerByID[id]]
		return c.s.domains.byName[domain] == w.domain
	}
	for end := c.now.Add(30 * time.Second); c.now < end; {
		p := c.plan()
		for _, e := range p.Placements {
			if in(e.Worker) {
				n++
			}
		}
		for _, e := range p.Preemptions {
			if in(e.Worker) {
				n++
			}
		}
		if p.NextWake == 0 {
			break
		}
		c.now = max(p.NextWake, c.now+1)
	}
	return n
}

// Guards against each way in which a plan gives work to the workers of an evacuated domain, or
// stops work there for the sake of other work. Without the evacuation, each plan does.
func TestNoWorkIsGivenToEvacuatedDomain(t *testing.T) {
	cell := func() *fakeLeader {
		c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000}, model.Team{Name: "b", Share: 1, MaxRunning: 1000})
		c.worker("e1", "e", "r1", cores(4), model.Labels{"kind": "b"})
		c.worker("e2", "e", "r1", cores(4), nil)
		return c
	}
	placed := func(c *fakeLeader, spec model.JobSpec) *fakeLeader {
		c.job(spec)
		c.plan()
		return c
	}
	for _, row := range []struct {
		name   string
		domain string
		cell   func() *fakeLeader
	}{
		{"a task", "e", func() *fakeLeader {
			c := cell()
			c.job(model.JobSpec{Tasks: 1, Size: cores(1)})
			return c
		}},
		{"a service", "e", func() *fakeLeader {
			c := cell()
			c.job(model.JobSpec{Policy: model.PolicyService, Tasks: 2, Size: cores(1)})
			return c
		}},
		{"a gang", "e", func() *fakeLeader {
			c := cell()
			c.job(model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(4)})
			return c
		}},
		{"a task whose permit is valid", "e", func() *fakeLeader {
			c := cell()
			c.permit(c.jobNeedingPermit(model.JobSpec{Tasks: 1, Size: cores(1)}), c.now.Add(time.Hour), "e1", "e2")
			return c
		}},
		{"a worker that announces itself during the evacuation", "e", func() *fakeLeader {
			c := newCell()
			c.job(model.JobSpec{Tasks: 1, Size: cores(1)})
			return c
		}},
		{"a reserved worker", "e", func() *fakeLeader {
			c := placed(placed(cell(), model.JobSpec{Tasks: 2, Size: cores(4)}), model.JobSpec{Team: "b", Policy: model.PolicyGang, Tasks: 2, Size: cores(4)})
			for i := range int32(2) {
				c.end(model.TaskID{Job: 1, Index: i}, Succeeded, time.Second, true)
			}
			return c
		}},
		{"a booked worker", "e", func() *fakeLeader {
			c := cell()
			gang := c.jobNeedingPermit(model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(4)})
			c.permit(gang, c.now, "e1", "e2")
			c.plan()
			c.permit(gang, c.now+1000, "e1", "e2")
			return c
		}},
		{"a lent worker", "d0", func() *fakeLeader {
			c, _ := reservedCell(2)
			placed(c, model.JobSpec{Tasks: 1, Size: cores(1)})
			c.now = c.now.Add(DefaultMaxIdleWait)
			return c
		}},
		{"a reserved worker with time for a short task", "d0", func() *fakeLeader {
			c := newCell()
			c.workers(1, cores(4))
			for range 8 {
				for name, ran := range map[string]time.Duration{"quick": time.Minute, "slow": time.Hour} {
					id := c.job(model.JobSpec{Name: name, Tasks: 1, Size: cores(1)})
					c.plan()
					c.end(model.TaskID{Job: id}, Succeeded, ran, true)
				}
			}
			placed(placed(c, model.JobSpec{Name: "slow", Tasks: 3, Size: cores(1)}), model.JobSpec{Name: "whole", Tasks: 1, Size: cores(4)})
			c.now = c.now.Add(time.Minute)
			c.job(model.JobSpec{Name: "quick", Tasks: 1, Size: cores(1), Patience: hour})
			return c
		}},
		{"a worker on probation", "d0", func() *fakeLeader {
			c := greyCell(t, 1)
			c.job(model.JobSpec{Tasks: 1, Size: cores(1), Selector: "kind=b", MaxRestarts: 3})
			return c
		}},
		{"a worker that is kept for a suspect", "e", func() *fakeLeader {
			c := cell()
			c.suspects(1, model.JobSpec{Size: cores(1), Selector: "kind=b"})
			c.plan()
			c.job(model.JobSpec{Tasks: 1, Size: cores(1), Selector: "kind=b"})
			return c
		}},
		{"room of the tasks of others", "e", func() *fakeLeader {
			c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 1000}, model.Team{Name: "b", Share: 9, MaxRunning: 1000})
			c.worker("e1", "e", "r1", cores(4), model.Labels{"kind": "b"})
			placed(c, model.JobSpec{Tasks: 1, Size: cores(4), Patience: hour})
			c.worker("f1", "f", "r1", cores(16), nil)
			c.job(model.JobSpec{Team: "b", Tasks: 1, Size: cores(4), Selector: "kind=b"})
			return c
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			begin := func(evacuated bool) *fakeLeader {
				c := row.cell()
				c.evacuate(row.domain, evacuated)
				if len(c.s.workers) == 0 {
					c.worker("e1", "e", "r1", cores(4), nil)
				}
				return c
			}
			c := begin(false)
			assert.Assert(t, c.runIn(row.domain) > 0, "no work is given without an evacuation")
			c = begin(true)
			assert.Equal(t, c.runIn(row.domain), 0)
			assert.Equal(t, len(audit(c.s)), 0, "%v", audit(c.s))
		})
	}
}

// Guards against a reservation or a booking that outlasts the begin of an evacuation.
func TestEvacuationEndsReservationsAndBookings(t *testing.T) {
	c, _ := reservedCell(2)
	assert.Equal(t, c.s.Stats().Reservations, 1)
	c.evacuate("d0", true)
	assert.Equal(t, c.s.Stats().Reservations, 0)

	c, _ = bookedGang(t, "w000", "w001", "w002")
	c.evacuate("d0", true)
	assert.Equal(t, len(c.s.Booked()), 0, "the policy service is not queried for it")
}

// Guards against queries to the policy service about workers that may be given no task.
func TestEvacuatedWorkersAreNoCandidates(t *testing.T) {
	c := newCell()
	c.worker("e1", "e", "r1", cores(4), nil)
	c.worker("f1", "f", "r1", cores(4), nil)
	id := c.jobNeedingPermit(model.JobSpec{Tasks: 1, Size: cores(1)})
	c.evacuate("e", true)
	var names []model.WorkerID
	for _, w := range c.s.Candidates(id) {
		names = append(names, w.Worker)
	}
	assert.DeepEqual(t, names, []model.WorkerID{"f1"})
	c.evacuate("e", false)
	assert.Equal(t, len(c.s.Candidates(id)), 2)
}

// Guards against shares of, and room on, workers that nobody may use.
func TestEvacuatedDomainContributesNoCapacity(t *testing.T) {
	c := newCell()
	c.worker("e1", "e", "r1", cores(4), nil)
	c.worker("f1", "f", "r1", cores(4), nil)
	c.job(model.JobSpec{Tasks: 2, Size: cores(1), Exclusive: true})
	c.plan()
	all := c.s.Stats()
	assert.Equal(t, all.Total, cores(8))
	c.evacuate("e", true)
	st := c.s.Stats()
	assert.Equal(t, st.Total, cores(4))
	assert.Equal(t, st.Reserved, cores(1), "what runs there is not reserved elsewhere")
	assert.Equal(t, st.Workers, int64(2))
	p := planner{s: c.s, now: c.now}
	p.countUse()
	assert.Equal(t, p.lending.classes[0], classUse{cores(1), cores(4)})
	c.worker("e2", "e", "r1", cores(8), nil)
	assert.Equal(t, c.s.Stats().Total, cores(4))
	c.evacuate("e", false)
	assert.Equal(t, c.s.Stats().Total, cores(16))
}

// Guards against work that is failed or rejected since it can run only in an evacuated domain, and
// against one that waits after its end.
func TestWorkForEvacuatedDomainWaits(t *testing.T) {
	c := newCell()
	c.worker("e1", "e", "r1", cores(8), model.Labels{"kind": "b"})
	c.worker("f1", "f", "r1", cores(4), nil)
	c.evacuate("e", true)
	spec := model.JobSpec{Name: "j", Team: "a", Tasks: 1, Size: cores(8), Selector: "kind=b"}
	assert.NilError(t, c.s.Check(&spec, nil))
	id := c.job(spec)
	for range 10 {
		p := c.plan()
		assert.Equal(t, len(p.Placements)+len(p.Failures)+len(p.NeverFits), 0)
		c.now = c.now.Add(time.Minute)
	}
	reasons := c.s.WaitReasons(id, c.now)
	assert.Assert(t, slices.ContainsFunc(reasons, func(r api.WhyNot) bool { return r.Reason == waitEvacuated && r.Count == 1 }), "%v", reasons)
	c.evacuate("e", false)
	assert.Equal(t, len(c.plan().Placements), 1, "its worker counts as open again at once")
}

// Guards against a running task that is stopped by an evacuation, and against one that is
// restarted where it ran.
func TestRunningTaskOfEvacuatedDomainRunsOnAndRestartsElsewhere(t *testing.T) {
	c := newCell()
	c.worker("e1", "e", "r1", cores(4), nil)
	gang := c.job(model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(1)})
	batch := c.job(model.JobSpec{Tasks: 1, Size: cores(1)})
	assert.Equal(t, len(c.plan().Placements), 3)
	c.worker("f1", "f", "r1", cores(4), nil)
	c.evacuate("e", true)
	p := c.plan()
	assert.Equal(t, len(p.Preemptions)+len(p.Placements), 0)
	c.end(model.TaskID{Job: batch}, Lost, time.Second, false)
	for i := range int32(2) {
		c.end(model.TaskID{Job: gang, Index: i}, Lost, time.Second, false)
	}
	placed := c.plan().Placements
	assert.Equal(t, len(placed), 3)
	for _, e := range placed {
		assert.Equal(t, e.Worker, model.WorkerID("f1"))
	}
}

// Guards against starts and failures while all domains are evacuated.
func TestNothingStartsOrFailsWhileAllDomainsAreEvacuated(t *testing.T) {
	c := newCell()
	c.workers(24, cores(4))
	c.job(model.JobSpec{Policy: model.PolicyService, Tasks: 10, Size: cores(1)})
	c.job(model.JobSpec{Policy: model.PolicyGang, Lasting: true, Tasks: 4, Size: cores(1)})
	assert.Equal(t, len(c.plan().Placements), 14)
	for i := range 3 {
		c.evacuate(fmt.Sprint("d", i), true)
	}
	c.job(model.JobSpec{Tasks: 3, Size: cores(1)})
	for range 10 {
		p := c.plan()
		assert.Equal(t, len(p.Placements)+len(p.Preemptions)+len(p.Failures), 0)
		c.now = c.now.Add(10 * time.Second)
	}
	assert.Equal(t, c.s.Stats().Total, model.Resources{})
}

// moveAll plans, ends what is stopped and starts it again, until a plan stops nothing. It returns
// the largest number of tasks that one plan stopped, and how many were stopped.
func (c *fakeLeader) moveAll(t *testing.T) (most, n int) {
	t.Helper()
	for range 100 {
		p := c.plan()
		for _, e := range p.Preemptions {
			assert.Equal(t, e.Reason, ReasonEvacuation)
			c.end(e.Task, Preempted, time.Second, false)
		}
		most, n = max(most, len(p.Preemptions)), n+len(p.Preemptions)
		if len(p.Preemptions)+len(p.Placements) == 0 {
			return most, n
		}
	}
	t.Fatal("the plans do not cease to move tasks")
	return most, n
}

// Guards against a service that stays in an evacuated domain, or of which more is down than a
// drain may stop.
func TestServiceIsMovedOutOfEvacuatedDomainAFewTasksAtATime(t *testing.T) {
	c := newCell()
	for i := range 4 {
		c.worker(fmt.Sprint("e", i), "e", "r1", cores(8), nil)
	}
	service := c.job(model.JobSpec{Policy: model.PolicyService, Tasks: 20, Size: cores(1)})
	assert.Equal(t, len(c.plan().Placements), 20)
	c.worker("f1", "f", "r1", cores(32), nil)
	c.evacuate("e", true)
	most, n := c.moveAll(t)
	assert.Equal(t, most, 2, "a tenth at a time")
	assert.Equal(t, n, 20)
	for i := range c.s.jobs[service].tasks {
		assert.Equal(t, c.s.workers[c.s.jobs[service].tasks[i].worker].id, model.WorkerID("f1"))
	}
}

// Guards against tasks that are stopped although they have room nowhere else: they would be down
// until the end of the evacuation.
func TestTasksThatLastStayInEvacuatedDomainWithoutRoomElsewhere(t *testing.T) {
	for _, row := range []struct {
		name string
		spec model.JobSpec
		room int64 // in cores, elsewhere
		want int   // tasks that are moved
	}{
		{"a service without room", model.JobSpec{Policy: model.PolicyService, Tasks: 4, Size: cores(2)}, 1, 0},
		{"a service with room for a part", model.JobSpec{Policy: model.PolicyService, Tasks: 4, Size: cores(2)}, 5, 2},
		{"a gang with room for a part", model.JobSpec{Policy: model.PolicyGang, Lasting: true, Tasks: 4, Size: cores(2)}, 7, 0},
		{"a gang with room for all", model.JobSpec{Policy: model.PolicyGang, Lasting: true, Tasks: 4, Size: cores(2)}, 8, 4},
		{"a gang with room for one member on each worker", model.JobSpec{Policy: model.PolicyGang, Lasting: true, Tasks: 2, Size: cores(2), MaxPerWorker: 1}, 8, 0},
		{"a gang that is not repeatable", model.JobSpec{Policy: model.PolicyGang, Lasting: true, NotRepeatable: true, Tasks: 2, Size: cores(2)}, 8, 0},
		{"a gang that ends by itself", model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(2)}, 8, 0},
		{"work that matches no other worker", model.JobSpec{Policy: model.PolicyService, Tasks: 2, Size: cores(1), Selector: "kind=b"}, 8, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCell()
			for i := range 2 {
				c.worker(fmt.Sprint("e", i), "e", "r1", cores(4), model.Labels{"kind": "b"})
			}
			id := c.job(row.spec)
			assert.Equal(t, len(c.plan().Placements), int(row.spec.Tasks))
			c.worker("f1", "f", "r1", cores(row.room), nil)
			c.evacuate("e", true)
			_, n := c.moveAll(t)
			assert.Equal(t, n, row.want)
			assert.Equal(t, c.s.jobs[id].running, row.spec.Tasks)
		})
	}
}

// Guards against two gangs that are stopped for the same room, of which one would then be down.
func TestGangsAreMovedOutOfEvacuatedDomainOneAtATime(t *testing.T) {
	c := newCell()
	c.worker("e1", "e", "r1", cores(8), nil)
	for range 2 {
		c.job(model.JobSpec{Policy: model.PolicyGang, Lasting: true, Tasks: 2, Size: cores(2)})
	}
	assert.Equal(t, len(c.plan().Placements), 4)
	c.worker("f1", "f", "r1", cores(4), nil)
	c.evacuate("e", true)
	_, n := c.moveAll(t)
	assert.Equal(t, n, 2, "there is room for one")
	assert.Equal(t, c.s.Stats().Running, int64(4))
}

// Guards against a gang with members in two domains whose own room in the open one is not counted.
func TestGangIsMovedIntoTheRoomOfItsOtherMembers(t *testing.T) {
	c := newCell()
	c.worker("e1", "e", "r1", cores(2), nil)
	c.worker("f1", "f", "r1", cores(4), nil)
	gang := c.job(model.JobSpec{Policy: model.PolicyGang, Lasting: true, Tasks: 3, Size: cores(2)})
	assert.Equal(t, len(c.plan().Placements), 3)
	c.worker("f2", "f", "r1", cores(2), nil)
	c.evacuate("e", true)
	_, n := c.moveAll(t)
	assert.Equal(t, n, 3)
	assert.Equal(t, c.s.jobs[gang].running, int32(3))
}
