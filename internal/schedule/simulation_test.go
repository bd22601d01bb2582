package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// jobKind is one kind of job in a workload.
type jobKind struct {
	spec         model.JobSpec
	minTasks     int
	maxTasks     int
	loadFraction float64 // part of the offered load
}

// workload describes the workers and jobs of one of the two current users.
type workload struct {
	name  string
	size  model.Resources // size of a worker
	kinds []jobKind
}

func minutes(n int) model.Duration { return model.Duration(time.Duration(n) * time.Minute) }
func seconds(n int) model.Duration { return model.Duration(time.Duration(n) * time.Second) }

var workloads = []workload{
	{"workshop", cores(16), []jobKind{
		{model.JobSpec{Name: "timber", Size: cores(2), RunTime: minutes(2), Patience: 24 * hour, Checkpointable: true, MaxRestarts: 50}, 4, 20, 0.63},
		{model.JobSpec{Name: "frame", Size: cores(1), RunTime: seconds(30), Patience: hour, NotRepeatable: true}, 1, 4, 0.15},
		{model.JobSpec{Name: "row", Size: cores(4), RunTime: minutes(1), Patience: minutes(30), Policy: model.PolicyGang, MaxRestarts: 50}, 8, 8, 0.2},
		{model.JobSpec{Name: "leg", Size: cores(1), RunTime: seconds(5), Patience: seconds(2), MaxRestarts: 50}, 1, 1, 0.01},
	}},
	{"rota", cores(32), []jobKind{
		{model.JobSpec{Name: "season", Size: cores(2), RunTime: minutes(1), Patience: hour, Checkpointable: true, MaxRestarts: 50}, 8, 30, 0.82},
		{model.JobSpec{Name: "coast", Size: cores(4), RunTime: minutes(2), Patience: 2 * hour, Policy: model.PolicyGang, MaxRestarts: 50}, 16, 16, 0.15},
		{model.JobSpec{Name: "reshuffle", Size: cores(2), RunTime: seconds(10), Patience: seconds(1), MaxRestarts: 50}, 1, 3, 0.02},
		{model.JobSpec{Name: "page", Size: cores(1), RunTime: seconds(3), Patience: seconds(2), NotRepeatable: true}, 1, 1, 0.01},
	}},
}

const (
	simWorkers      = 50
	simLength       = 20 * time.Minute
	simSeed         = 11
	sampleInterval  = 30 * time.Second
	cancelInterval  = 5 * time.Minute
	minPlanInterval = 50 * time.Millisecond // shortest time between plans without an event
)

var simShares = []int64{1, 1, 2, 3, 5, 8}

// actualUse is the actual resource usage and run time of a class of jobs.
type actualUse struct {
	cpu int64 // in percent of the declared size
	run float64
}

// simEvent is one event of a simulation.
type simEvent struct {
	at    model.Time
	order int
	do    func()
}

type simQueue []simEvent

func (a simQueue) Len() int { return len(a) }
func (a simQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a simQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *simQueue) Push(v any)   { *a = append(*a, v.(simEvent)) }
func (a *simQueue) Pop() any {
	v := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return v
}

// simJob is the record of one job in a simulation.
type simJob struct {
	spec      model.JobSpec
	actualUse actualUse
	at        model.Time
	started   model.Time
	failed    bool
	left      int32 // tasks that are not done
	fails     map[int32]int32
	runs      map[int32]*simRun
}

type simRun struct {
	since     model.Time
	size      model.Resources
	remaining time.Duration // run time left at full speed when it started
	worker    model.WorkerID
}

// simulation runs one policy on one sequence of events.
type simulation struct {
	workload   workload
	s          policyUnderTest
	rng        *rand.Rand
	now        model.Time
	events     simQueue
	order      int
	jobs       []*simJob
	remaining  map[model.TaskID]time.Duration // run time left at the last checkpoint
	badWorkers map[model.WorkerID]bool
	actualUses map[string]actualUse
	planTime   time.Duration
	placed     int
	stops      int
	useful     float64 // core-seconds of tasks that succeeded
	shareError float64
	samples    float64
}

func newSimulation(w workload, s policyUnderTest) *simulation {
	c := &simulation{
		workload: w, s: s, rng: rand.New(rand.NewPCG(simSeed, 1)), now: 1_000_000,
		remaining: map[model.TaskID]time.Duration{}, badWorkers: map[model.WorkerID]bool{}, actualUses: map[string]actualUse{},
	}
	var teams []model.Team
	for i, share := range simShares {
		teams = append(teams, model.Team{Name: benchTeam(i), Share: share, MaxRunning: 1 << 30})
	}
	s.Apply(ConfigChanged{Teams: teams})
	for i := range simWorkers {
		id := benchWorker(i)
		c.badWorkers[id] = i%20 == 7
		s.Apply(WorkerUp{Spec: model.WorkerSpec{ID: id, Capacity: w.size, Region: fmt.Sprint("r", i/8%3/2), FailureDomain: fmt.Sprint("d", i/8%3), Rack: fmt.Sprint(i / 8)}})
	}
	c.scheduleEvents()
	return c
}

func (c *simulation) at(t model.Time, do func()) {
	c.order++
	heap.Push(&c.events, simEvent{t, c.order, do})
}

// scheduleEvents draws all submissions, bulk cancellations and samples. The
// offered load equals the capacity of the cell, and twice that in the middle
// third.
func (c *simulation) scheduleEvents() {
	capacity := float64(simWorkers) * float64(c.workload.size.CPU) / 1000
	end := c.now.Add(simLength)
	for _, k := range c.workload.kinds {
		for team := range simShares {
			tr := actualUse{cpu: []int64{25, 100, 100, 100, 400}[c.rng.IntN(5)], run: math.Pow(10, 2*c.rng.Float64()-1)}
			c.actualUses[k.spec.Name+benchTeam(team)] = tr
			mean := float64(k.minTasks+k.maxTasks) / 2 * float64(k.spec.Size.CPU) / 1000 * float64(tr.cpu) / 100 * k.spec.RunTime.Std().Seconds() * tr.run
			rate := k.loadFraction * capacity / float64(len(simShares)) / mean
			for t := c.now; t < end; {
				load := 1.0
				if third := simLength / 3; t > c.now.Add(third) && t < c.now.Add(2*third) {
					load = 2.0
				}
				t = t.Add(time.Duration(c.rng.ExpFloat64() / (rate * load) * float64(time.Second)))
				tasks := int32(k.minTasks + c.rng.IntN(k.maxTasks-k.minTasks+1))
				c.at(t, func() { c.submit(k, team, tasks, tr) })
			}
		}
	}
	for t := c.now.Add(cancelInterval); t < end; t = t.Add(cancelInterval) {
		c.at(t, c.cancelWaiting)
	}
	for t := c.now.Add(sampleInterval); t < end; t = t.Add(sampleInterval) {
		c.at(t, c.sampleShares)
	}
}

func (c *simulation) submit(k jobKind, team int, tasks int32, tr actualUse) {
	spec := k.spec
	spec.Team, spec.Tasks = benchTeam(team), tasks
	c.jobs = append(c.jobs, &simJob{spec: spec, actualUse: tr, at: c.now, left: tasks, fails: map[int32]int32{}, runs: map[int32]*simRun{}})
	c.s.Apply(JobSubmitted{ID: model.JobID(len(c.jobs)), Spec: spec, Team: spec.Team, At: c.now, StartBy: c.now.Add(spec.Patience.Std())})
}

// cancelWaiting cancels a third of the patient jobs that have not started.
func (c *simulation) cancelWaiting() {
	var ids []model.JobID
	for i, j := range c.jobs {
		if j.started == 0 && i%3 == 0 && j.spec.Patience >= hour {
			ids = append(ids, model.JobID(i+1))
			j.started, j.left = -1, 0
		}
	}
	c.s.Apply(JobsCancelled{IDs: ids})
}

func (c *simulation) run() {
	end := c.now.Add(simLength)
	wake := model.Time(0)
	for len(c.events) > 0 {
		next := c.events[0].at
		if wake != 0 && wake < next {
			next = wake
		}
		if next >= end {
			return
		}
		c.now = next
		for len(c.events) > 0 && c.events[0].at <= c.now {
			heap.Pop(&c.events).(simEvent).do()
		}
		wake = c.plan()
	}
}

func (c *simulation) plan() model.Time {
	began := time.Now()
	p := c.s.Plan(c.now, 256)
	c.planTime += time.Since(began)
	for _, e := range p.Preemptions {
		c.s.Apply(TaskStopping{Task: e.Task})
		c.stops++
		c.at(c.now.Add(100*time.Millisecond), func() { c.stop(e.Task, e.Checkpoint, Preempted) })
	}
	for _, e := range p.Stops {
		c.stops++
		c.at(c.now.Add(100*time.Millisecond), func() { c.stop(e.Task, false, Stopped) })
	}
	for _, e := range p.Placements {
		began := time.Now()
		c.s.Apply(TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: c.now})
		c.planTime += time.Since(began)
		c.start(e)
	}
	for _, f := range p.Failures {
		c.fail(f)
	}
	if p.NextWake == 0 {
		return 0
	}
	return max(p.NextWake, c.now.Add(minPlanInterval))
}

func (c *simulation) fail(f Failure) {
	j := c.jobs[f.Job-1]
	j.failed = true
	for i := range j.spec.Tasks {
		if f.Task == WholeJob || f.Task == i {
			c.s.Apply(TaskEnded{Task: model.TaskID{Job: f.Job, Index: i}, Outcome: Failed, At: c.now, Final: true})
		}
	}
}

// start runs a task. It fails after one second on a bad worker, and runs longer if
// it uses more than is reserved.
func (c *simulation) start(e Placement) {
	j := c.jobs[e.Task.Job-1]
	if j.started == 0 {
		j.started = c.now
	}
	c.placed++
	c.s.Apply(TaskRunning{Task: e.Task, At: c.now})
	remaining, resumed := c.remaining[e.Task]
	if !resumed {
		remaining = time.Duration(j.spec.RunTime.Std().Seconds() * j.actualUse.run * float64(time.Second))
	}
	r := &simRun{since: c.now, size: e.Size, remaining: remaining, worker: e.Worker}
	j.runs[e.Task.Index] = r
	if c.badWorkers[e.Worker] {
		c.at(c.now.Add(time.Second), func() { c.end(e.Task, r, Failed) })
		return
	}
	c.at(c.now.Add(time.Duration(float64(remaining)*c.slowdown(j, r))), func() { c.end(e.Task, r, Succeeded) })
	for _, after := range []time.Duration{10 * time.Second, 50 * time.Second} {
		c.at(c.now.Add(after), func() { c.report(e.Task, r) })
	}
}

func (c *simulation) usage(j *simJob) model.Resources {
	used := j.spec.Size
	used.CPU = used.CPU * j.actualUse.cpu / 100
	return used
}

func (c *simulation) slowdown(j *simJob, r *simRun) float64 {
	return max(1, float64(c.usage(j).CPU)/float64(r.size.CPU))
}

func (c *simulation) report(id model.TaskID, r *simRun) {
	j := c.jobs[id.Job-1]
	if j.runs[id.Index] == r {
		c.s.Apply(TaskUsageReported{Task: id, Used: c.usage(j), At: c.now})
	}
}

func (c *simulation) stop(id model.TaskID, checkpoint bool, o Outcome) {
	j := c.jobs[id.Job-1]
	r := j.runs[id.Index]
	if r == nil {
		return
	}
	if checkpoint {
		c.remaining[id] = r.remaining - time.Duration(float64(c.now.Sub(r.since))/c.slowdown(j, r))
	}
	c.end(id, r, o)
}

func (c *simulation) end(id model.TaskID, r *simRun, o Outcome) {
	j := c.jobs[id.Job-1]
	if j.runs[id.Index] != r {
		return
	}
	delete(j.runs, id.Index)
	final := o == Succeeded || j.spec.NotRepeatable
	if o == Failed {
		j.fails[id.Index]++
		final = final || j.fails[id.Index] > j.spec.MaxRestarts
	}
	j.failed = j.failed || final && o != Succeeded
	if o == Succeeded {
		c.useful += j.spec.RunTime.Std().Seconds() * j.actualUse.run * float64(c.usage(j).CPU) / 1000
	}
	if final {
		j.left--
	}
	c.s.Apply(TaskEnded{Task: id, Outcome: o, RanFor: c.now.Sub(r.since), Used: c.usage(j), At: c.now, Final: final})
}

// BenchmarkPolicies compares the Scheduler with simple policies on the same
// sequence of events: waiting time by patience, utilization, planning cost and
// distance from the fair shares.
func BenchmarkPolicies(t *testing.B) {
	for _, d := range workloads {
		for _, p := range []struct {
			name string
			make func() policyUnderTest
		}{
			{"filbertmast", func() policyUnderTest { return New(Options{Seed: 1}) }},
			{"fifo-first-fit", func() policyUnderTest { return newBaseline(false, bySubmission) }},
			{"strict-priority", func() policyUnderTest { return newBaseline(false, byPatience) }},
			{"equal-split", func() policyUnderTest { return newBaseline(true, bySubmission) }},
		} {
			t.Run(d.name+"/"+p.name, func(t *testing.B) {
				for range t.N {
					c := newSimulation(d, p.make())
					c.run()
					c.reportTo(t)
				}
			})
		}
	}
}
