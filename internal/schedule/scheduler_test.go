package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// fakeLeader feeds events to a Scheduler and applies its plans, as the leader
// does.
type fakeLeader struct {
	s       *Scheduler
	now     model.Time
	nextJob model.JobID
}

func newCell(teams ...model.Team) *fakeLeader {
	c := &fakeLeader{s: New(Options{Seed: 1}), now: 1_000_000}
	if len(teams) == 0 {
		teams = []model.Team{{Name: "a", Share: 1, MaxRunning: 1000}}
	}
	c.s.Apply(ConfigChanged{Teams: teams})
	return c
}

func (c *fakeLeader) worker(id, domain, rack string, size model.Resources, labels model.Labels) {
	c.s.Apply(WorkerUp{Spec: model.WorkerSpec{
		ID: model.WorkerID(id), Capacity: size, Region: domain[:1], FailureDomain: domain, Rack: rack, Labels: labels,
	}})
}

func (c *fakeLeader) workers(n int, size model.Resources) {
	for i := range n {
		c.worker(fmt.Sprintf("w%03d", i), fmt.Sprintf("d%d", i/8%3), fmt.Sprintf("r%d", i/8), size, nil)
	}
}

// job submits a job and returns its ID. It belongs to team "a" unless the spec
// names another.
func (c *fakeLeader) job(spec model.JobSpec) model.JobID {
	c.nextJob++
	if spec.Team == "" {
		spec.Team = "a"
	}
	if spec.Name == "" {
		spec.Name = "job"
	}
	c.s.Apply(JobSubmitted{ID: c.nextJob, Spec: spec, Team: spec.Team, At: c.now, StartBy: c.now.Add(spec.Patience.Std())})
	return c.nextJob
}

// plan makes a plan and applies it.
func (c *fakeLeader) plan() Plan {
	p := c.s.Plan(c.now, 1000)
	for _, e := range p.Preemptions {
		c.s.Apply(TaskStopping{Task: e.Task})
	}
	for _, e := range p.Placements {
		c.s.Apply(TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: c.now})
		c.s.Apply(TaskRunning{Task: e.Task, At: c.now})
	}
	return p
}

func (c *fakeLeader) end(id model.TaskID, o Outcome, ran time.Duration, final bool) {
	c.s.Apply(TaskEnded{Task: id, Outcome: o, RanFor: ran, At: c.now, Final: final})
}

func cores(n int64) model.Resources { return model.Resources{CPU: n * 1000, Memory: n * 2048} }

func TestPlanPlacesEachTaskOnceWithoutApplyingIt(t *testing.T) {
	c := newCell()
	c.workers(2, cores(4))
	id := c.job(model.JobSpec{Tasks: 3, Size: cores(2)})
	p := c.s.Plan(c.now, 10)
	assert.Equal(t, len(p.Placements), 3)
	assert.Equal(t, c.s.Stats().Running, int64(0))
	assert.Equal(t, c.s.Stats().Waiting, int64(3))
	assert.DeepEqual(t, c.s.Plan(c.now, 10), p)
	c.plan()
	assert.Equal(t, c.s.Stats().Running, int64(3))
	assert.Equal(t, len(c.plan().Placements), 0)
	c.end(model.TaskID{Job: id}, Succeeded, time.Second, true)
	assert.Equal(t, c.s.Stats().Running, int64(2))
}

func TestTeamLimitCountsRequestPermits(t *testing.T) {
	c := newCell(model.Team{Name: "a", Share: 1, MaxRunning: 5})
	c.workers(4, cores(16))
	c.s.Apply(RequestPermitsChanged{Team: "a", Permits: 2})
	c.job(model.JobSpec{Tasks: 10, Size: cores(1)})
	assert.Equal(t, len(c.plan().Placements), 3)
	assert.Equal(t, len(c.plan().Placements), 0)
}

func TestGangIsPlacedWholeInOneRackOrNotAtAll(t *testing.T) {
	c := newCell()
	c.workers(24, cores(4))
	c.job(model.JobSpec{Tasks: 25, Policy: model.PolicyGang, Size: cores(4)})
	c.job(model.JobSpec{Tasks: 8, Policy: model.PolicyGang, Size: cores(4)})
	p := c.plan()
	assert.Equal(t, len(p.Placements), 8)
	racks := map[int32]bool{}
	for _, e := range p.Placements {
		racks[c.s.workers[c.s.workerByID[e.Worker]].rack] = true
	}
	assert.Equal(t, len(racks), 1)
}

func TestServiceIsSpreadOverFailureDomains(t *testing.T) {
	c := newCell()
	c.workers(24, cores(16))
	c.job(model.JobSpec{Tasks: 6, Policy: model.PolicyService, Size: cores(1)})
	domains := map[int32]int{}
	for _, e := range c.plan().Placements {
		domains[c.s.workers[c.s.workerByID[e.Worker]].domain]++
	}
	assert.DeepEqual(t, domains, map[int32]int{0: 2, 1: 2, 2: 2})
}

func TestCheckNamesTheClosestWorkerAndTheMissingAmount(t *testing.T) {
	c := newCell()
	big := model.JobSpec{Tasks: 1, Size: cores(20)}
	assert.NilError(t, c.s.Check(&big, nil))
	c.worker("small", "d0", "r0", cores(8), nil)
	c.worker("large", "d0", "r0", cores(16), model.Labels{"disk": "ssd"})
	err := c.s.Check(&big, nil)
	assert.Equal(t, errkind.Of(err), errkind.NeverFits)
	assert.ErrorContains(t, err, "large")
	err = c.s.Check(&model.JobSpec{Tasks: 1, Size: cores(1), Selector: "disk=hdd"}, nil)
	assert.Equal(t, errkind.Of(err), errkind.NoMatchingWorker)
	assert.NilError(t, c.s.Check(&model.JobSpec{Tasks: 1, Size: cores(16), Selector: "disk=ssd"}, nil))
}

// Guards against a refusal of jobs as matching no worker while the only worker is replaced.
func TestJobIsNotRefusedWhileOnlyWorkerLeaves(t *testing.T) {
	c := newCell()
	c.worker("w0", "d0", "r0", cores(4), nil)
	c.s.Apply(WorkerModeChanged{Worker: "w0", Mode: model.WorkerLeaving, At: c.now})
	small := model.JobSpec{Tasks: 1, Size: cores(1)}
	assert.NilError(t, c.s.Check(&small, nil))
	c.job(small)
	assert.Equal(t, len(c.plan().NeverFits), 0)
	c.worker("w1", "d0", "r0", cores(4), nil)
	assert.Equal(t, len(c.plan().Placements), 1)
}

// Guards against a report that names a worker as the closest that has shrunk since.
func TestFitFailureNamesClosestWorkerByCurrentCapacity(t *testing.T) {
	c := newCell()
	for id, n := range map[string]int64{"w0": 4, "w1": 4, "w2": 1} {
		c.worker(id, "d0", "r0", cores(n), nil)
	}
	big := model.JobSpec{Tasks: 1, Size: cores(8)}
	c.job(big)
	failures := c.plan().NeverFits
	assert.Equal(t, len(failures), 1)
	assert.Equal(t, failures[0].Closest, model.WorkerID("w0"))
	c.worker("w0", "d0", "r0", cores(1), nil)
	failures = c.plan().NeverFits
	assert.Equal(t, len(failures), 1, "the closest worker is another one")
	assert.Equal(t, failures[0].Closest, model.WorkerID("w1"))
}

// Guards against a report that a gang fits nowhere with an earlier number of matching workers.
func TestFitFailureNamesCurrentNumberOfWorkers(t *testing.T) {
	c := newCell()
	c.worker("w0", "d0", "r0", cores(4), nil)
	gang := model.JobSpec{Policy: model.PolicyGang, Tasks: 2, Size: cores(4)}
	c.job(gang)
	c.plan()
	c.worker("w1", "d0", "r0", cores(1), nil)
	c.plan()
	c.job(gang)
	failures := c.plan().NeverFits
	assert.Equal(t, len(failures), 1)
	assert.ErrorContains(t, failures[0].Err, "on the 2 matching workers")
}
