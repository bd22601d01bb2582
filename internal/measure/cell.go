package measure

import (
	"fmt"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

const (
	regions        = 4
	failureDomains = 9
	workersPerRack = 8
	keysPerTeam    = 2
	maxRunning     = 1_000_000 // tasks per team; higher than any measured load
)

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func queueName(i int) string { return fmt.Sprintf("queue-%03d", i) }

func keyName(team, i int) string { return fmt.Sprintf("key-%d-%d", team, i) }

func workerName(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%05d", i)) }

// Declarations returns a configuration of the given number of teams, each with
// one queue, one service and two keys. The seed determines which team gets a
// different share, so that two seeds give different configurations.
func Declarations(teams, seed int) model.Declarations {
	var d model.Declarations
	for i := range teams {
		name := teamName(i)
		d.Teams = append(d.Teams, model.Team{Name: name, Share: int64(1 + i%5), MaxRunning: maxRunning})
		d.Queues = append(d.Queues, model.Queue{Name: queueName(i), Workspace: fmt.Sprint("workspace-", i%6), Team: name})
		d.Services = append(d.Services, model.Service{Name: fmt.Sprintf("service-%03d", i), Workspace: fmt.Sprint("workspace-", i%6)})
		for k := range keysPerTeam {
			d.Keys = append(d.Keys, model.Key{Digest: declare.DigestKey(keyName(i, k)), Team: name})
		}
	}
	if teams > 0 {
		d.Teams[seed%teams].Share = int64(10 + seed)
	}
	d.Prices = []model.PricePoint{{Patience: 0, MicroUnits: 100}, {Patience: model.Duration(time.Hour), MicroUnits: 10}}
	return d
}

// workerSpec returns the specification of worker i. Workers are spread over
// racks, failure domains and regions as in the deployment that is planned for.
func workerSpec(i int, capacity model.Resources) model.WorkerSpec {
	rack := i / workersPerRack
	return model.WorkerSpec{
		ID:            workerName(i),
		Capacity:      capacity,
		Region:        fmt.Sprint("region-", rack%failureDomains%regions),
		FailureDomain: fmt.Sprint("domain-", rack%failureDomains),
		Rack:          fmt.Sprint("rack-", rack),
		Labels:        model.Labels{"generation": fmt.Sprint(i % 4)},
	}
}

// taskSize is the resources that one task reserves.
var taskSize = model.Resources{CPU: 1000, Memory: 1024}

// cell is a state machine and a scheduler to which commands are applied
// directly, without a replicated log.
type cell struct {
	machine *state.Machine
	sched   *schedule.Scheduler // nil until buildScheduler
	index   uint64
}

const cellTerm = 1

func newCell() *cell {
	return &cell{machine: state.New(state.Options{})}
}

// apply applies one command as if it had been committed.
func (c *cell) apply(cmd *state.Command) state.Result {
	c.index++
	cmd.At = model.Time(1_000_000 + c.index)
	r, _ := c.machine.Apply(c.index, cellTerm, cmd)
	if r.Err != nil {
		panic(r.Err) // this package builds the commands, so a refusal is a bug in it
	}
	return r
}

func (c *cell) declare(teams int) {
	version, _, _ := c.machine.Config()
	c.apply(&state.Command{Declare: &state.Declare{
		Base: version, ApplyID: fmt.Sprint("apply-", c.index), Declarations: Declarations(teams, 0)}})
}

// addWorkers announces n workers, each with capacity for tasksEach tasks.
func (c *cell) addWorkers(n, tasksEach int) {
	room := model.Resources{CPU: taskSize.CPU * int64(tasksEach), Memory: taskSize.Memory * int64(tasksEach)}
	for i := range n {
		c.apply(&state.Command{Announce: &state.Announce{Spec: workerSpec(i, room)}})
	}
}

// submit submits a job with the given policy.
func (c *cell) submit(team, tasks int, policy model.Policy) model.JobID {
	spec := model.JobSpec{
		Name:           fmt.Sprint("class-", c.index%5),
		Team:           teamName(team),
		Queue:          queueName(team),
		Policy:         policy,
		Tasks:          int32(tasks),
		Size:           taskSize,
		RunTime:        model.Duration(time.Minute),
		Patience:       model.Duration(time.Hour),
		Checkpointable: policy == model.PolicyBatch,
	}
	key := fmt.Sprintf("00000000-0000-4000-8000-%012d", c.index)
	return c.apply(&state.Command{Submit: &state.Submit{Spec: spec, IdempotencyKey: key}}).Job
}

// startTasks places every task of a job, round-robin over the workers beginning
// with worker at, and reports them as started.
func (c *cell) startTasks(job model.JobID, tasks, workers, at int) {
	place := &state.Place{}
	for i := range tasks {
		place.Placements = append(place.Placements, state.Placement{
			Task: model.TaskID{Job: job, Index: int32(i)}, Worker: workerName((at + i) % workers), Size: taskSize})
	}
	c.apply(&state.Command{Place: place})
	fence := model.Fence{Term: cellTerm, Index: c.index}
	report := &state.Report{}
	for _, p := range place.Placements {
		report.Reports = append(report.Reports, state.WorkerReport{
			Worker:  p.Worker,
			Session: c.machine.Worker(p.Worker).Session,
			Reports: []api.Report{{Task: p.Task, Fence: fence, State: api.ReportStarted}},
		})
	}
	c.apply(&state.Command{Report: report})
}

// succeedTasks reports every task of a running job as succeeded.
func (c *cell) succeedTasks(job model.JobID) {
	report := &state.Report{}
	tasks := c.machine.Job(job).Tasks
	for i := range tasks {
		t := &tasks[i]
		worker := c.machine.Worker(c.machine.TaskWorker(t))
		report.Reports = append(report.Reports, state.WorkerReport{
			Worker:  worker.Spec.ID,
			Session: worker.Session,
			Reports: []api.Report{{Task: model.TaskID{Job: job, Index: int32(i)}, Fence: t.Fence, State: api.ReportSucceeded}},
		})
	}
	c.apply(&state.Command{Report: report})
}

// buildScheduler builds the scheduler of a new leader from the machine's state.
func (c *cell) buildScheduler() {
	c.sched = schedule.New(schedule.Options{Seed: 1})
	c.machine.Replay(func(ev state.Event) { applyEvent(c.sched, ev) })
}

// applyEvent translates a replayed event of the state machine for the scheduler.
func applyEvent(s *schedule.Scheduler, ev state.Event) {
	switch e := ev.(type) {
	case state.ConfigChanged:
		d := e.Declarations
		s.Apply(schedule.ConfigChanged{Teams: d.Teams, Queues: e.ServedQueues(), Prices: d.Prices})
	case state.WorkerChanged:
		s.Apply(schedule.WorkerUp{Spec: e.Spec, Mode: e.Mode})
	case state.JobSubmitted:
		j := e.Job
		s.Apply(schedule.JobSubmitted{ID: j.ID, Spec: j.Spec, Team: j.Team, At: j.Submitted, StartBy: j.StartBy, Price: j.Price})
	case state.TaskChanged:
		applyTaskEvent(s, &e)
	}
}

func applyTaskEvent(s *schedule.Scheduler, e *state.TaskChanged) {
	switch e.To {
	case model.TaskStarting:
		s.Apply(schedule.TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: e.At})
	case model.TaskRunning:
		s.Apply(schedule.TaskRunning{Task: e.Task, At: e.At})
	}
}
