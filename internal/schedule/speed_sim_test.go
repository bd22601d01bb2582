package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// speedKind is one kind of work of a deployment whose workers differ in speed.
type speedKind struct {
	name         string
	run          time.Duration // at normal speed
	due          time.Duration // from the submission to the latest end that serves the caller
	fewest, most int32         // tasks
	policy       model.Policy
	load         float64 // part of the offered load
}

var speedKinds = []speedKind{
	{"quick", 850 * time.Millisecond, 2 * time.Second, 3, 6, model.PolicyBatch, 0.15},
	{"short", 1900 * time.Millisecond, 4500 * time.Millisecond, 3, 8, model.PolicyBatch, 0.2},
	{"gang", 1900 * time.Millisecond, 9 * time.Second, 8, 24, model.PolicyGang, 0.2},
	{"patient", 5300 * time.Millisecond, 2 * time.Minute, 10, 40, model.PolicyBatch, 0.45},
}

const (
	speedSimWorkers = 48
	speedSimCores   = 4
	speedSimLength  = 4 * time.Minute
	// speedSimWarmUp is left out of the results, since the speeds are not known yet.
	speedSimWarmUp = 40 * time.Second
)

// speedJob is the record of one job.
type speedJob struct {
	kind   *speedKind
	at     model.Time
	left   int32
	works  []float64 // of the tasks, relative to the run time of the kind
	sample speed.Sample
	ends   model.Time // of the slowest member of a gang
	placed int32
	slots  []int32 // workers of the members of a gang
}

// speedSim runs the load of a deployment a quarter of whose workers are slow. With learn, the
// scheduler gets the speeds that are estimated from the ends of tasks.
type speedSim struct {
	t         *testing.T
	s         *Scheduler
	learn     bool
	now       model.Time
	order     int
	events    simQueue
	speeds    []float64
	estimates []*speed.Estimate
	center    int64
	jobs      []*speedJob
	served    map[string]*[2]int // jobs that were in time, and all, by kind
	gangTime  time.Duration
	idle      int // plans that left a task waiting beside a worker with room
}

func speedSimSpeeds() (out []float64) {
	for i := range speedSimWorkers {
		out = append(out, []float64{0.55, 1.2, 1.2, 1.2}[i/6%4])
	}
	return out
}

func newSpeedSim(t *testing.T, seed uint64, load float64, learn bool, speeds []float64) *speedSim {
	c := &speedSim{t: t, s: New(Options{Seed: 1, KeepRunning: true}), learn: learn, now: 1_000_000, speeds: speeds, served: map[string]*[2]int{}}
	c.s.Apply(ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: 1 << 30}}})
	total := 0.0
	for i := range speeds {
		c.s.Apply(WorkerUp{Spec: model.WorkerSpec{
			ID: benchWorker(i), Capacity: cores(speedSimCores), Region: fmt.Sprint("r", i%6/3), FailureDomain: fmt.Sprint("d", i%6), Rack: fmt.Sprint(i % 12),
		}})
		c.estimates = append(c.estimates, &speed.Estimate{})
		total += speeds[i] * speedSimCores
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range speedKinds {
		k := &speedKinds[i]
		rate := load * k.load * total / (float64(k.fewest+k.most) / 2 * k.run.Seconds())
		for at := c.now; at < c.now.Add(speedSimLength); {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			j := &speedJob{kind: k, at: at}
			for range k.fewest + rng.Int32N(k.most-k.fewest+1) {
				w := math.Exp(0.22 * rng.NormFloat64())
				if rng.Float64() < 0.03 {
					w *= 7
				}
				j.works = append(j.works, w)
			}
			j.left = int32(len(j.works))
			c.schedule(at, func() { c.submit(j) })
		}
	}
	return c
}

func (c *speedSim) schedule(at model.Time, do func()) {
	c.order++
	heap.Push(&c.events, simEvent{at, c.order, do})
}

func (c *speedSim) submit(j *speedJob) {
	c.jobs = append(c.jobs, j)
	k := j.kind
	patience := k.due - k.run
	c.s.Apply(JobSubmitted{ID: model.JobID(len(c.jobs)), At: c.now, StartBy: c.now.Add(patience), Team: "a", Spec: model.JobSpec{
		Name: k.name, Team: "a", Policy: k.policy, Tasks: j.left, Size: cores(1), RunTime: model.Duration(k.run), Patience: model.Duration(patience),
	}})
}

func (c *speedSim) run() {
	for c.events.Len() > 0 {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.do()
		for c.events.Len() > 0 && c.events[0].at == c.now {
			heap.Pop(&c.events).(simEvent).do()
		}
		c.plan()
	}
}

func (c *speedSim) plan() {
	for {
		p := c.s.Plan(c.now, 1024)
		for _, e := range p.Placements {
			c.s.Apply(TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: c.now})
			c.s.Apply(TaskRunning{Task: e.Task, At: c.now})
			c.start(e)
		}
		if len(p.Placements) == 0 {
			break
		}
	}
	c.checkNoneIdles()
}

// checkNoneIdles counts the moments at which a single task waits while any worker that is not
// reserved has room for it.
func (c *speedSim) checkNoneIdles() {
	for _, j := range c.s.jobs {
		if j.ready == 0 || j.group.policy == gang {
			continue
		}
		for i := range c.s.workers {
			if w := &c.s.workers[i]; w.available() && j.group.size.Fits(w.free) {
				c.idle++
				return
			}
		}
	}
}

// start schedules the end of a task. The members of a gang wait for each other.
func (c *speedSim) start(e Placement) {
	j := c.jobs[e.Task.Job-1]
	slot := c.s.workerByID[e.Worker]
	took := func(work float64) time.Duration {
		return time.Duration(work * float64(j.kind.run) / c.speeds[slot])
	}
	if j.kind.policy != model.PolicyGang {
		ran := took(j.works[e.Task.Index])
		c.schedule(c.now.Add(ran), func() { c.end(j, e, slot, ran) })
		return
	}
	j.placed++
	j.slots = append(j.slots, slot)
	j.ends = max(j.ends, c.now.Add(took(1)))
	if j.placed < int32(len(j.works)) {
		return
	}
	began := c.now
	c.schedule(j.ends, func() {
		for i := range j.works {
			c.end(j, Placement{Task: model.TaskID{Job: e.Task.Job, Index: int32(i)}}, j.slots[i], c.now.Sub(began))
		}
		c.gangTime += c.now.Sub(began)
	})
}

func (c *speedSim) end(j *speedJob, e Placement, slot int32, ran time.Duration) {
	c.s.Apply(TaskEnded{Task: e.Task, Outcome: Succeeded, RanFor: ran, At: c.now, Final: true})
	if c.learn && j.kind.policy != model.PolicyGang && ran >= speed.MinRun {
		r := speed.Run{Worker: slot, Length: speed.LogOf(ran.Milliseconds())}
		c.center += j.sample.Add(r, speed.Log(c.center/int64(len(c.speeds))), func(r *speed.Run) *speed.Estimate { return c.estimates[r.Worker] })
		for i, e := range c.estimates {
			if e.Publish() {
				c.s.Apply(WorkerSpeedChanged{Worker: benchWorker(i), Permille: e.PublishedPermille()})
			}
		}
	}
	j.left--
	if j.left > 0 || j.at < model.Time(1_000_000).Add(speedSimWarmUp) {
		return
	}
	of := c.served[j.kind.name]
	if of == nil {
		of = new([2]int)
		c.served[j.kind.name] = of
	}
	if c.now <= j.at.Add(j.kind.due) {
		of[0]++
	}
	of[1]++
}

// share returns the part of the jobs of a kind that were in time.
func (c *speedSim) share(kind string) float64 {
	of := c.served[kind]
	return float64(of[0]) / float64(of[1])
}

// playSpeeds returns the parts of the jobs of each kind that were in time, the mean over some
// draws of the load, and the time that gangs ran.
func playSpeeds(t *testing.T, load float64, learn bool, speeds []float64) (inTime map[string]float64, gangs time.Duration) {
	const draws = 4
	inTime = map[string]float64{}
	for seed := range uint64(draws) {
		c := newSpeedSim(t, seed, load, learn, speeds)
		c.run()
		assert.Equal(t, c.idle, 0, "a task waits beside a worker with room")
		assert.Equal(t, len(c.s.jobs), 0)
		gangs += c.gangTime
		for i := range speedKinds {
			inTime[speedKinds[i].name] += c.share(speedKinds[i].name) / draws
		}
	}
	return inTime, gangs
}

// TestLearnedSpeedsServeCallersBetter guards against speeds that are known and of no use to
// callers: of the load of a deployment with slow workers, more work is in time than without
// speeds, and gangs run for less time. Near the capacity of the cell gangs wait for room, and
// their part in time differs by a tenth between draws of the load.
func TestLearnedSpeedsServeCallersBetter(t *testing.T) {
	rows := []struct {
		load   float64
		better map[string]float64 // least gain, by kind; below zero: largest loss
	}{
		{0.5, map[string]float64{"quick": 0.08, "short": 0.1, "gang": 0, "patient": -0.01}},
		{0.65, map[string]float64{"quick": 0.04, "short": 0.05, "gang": 0, "patient": -0.01}},
		{0.8, map[string]float64{"quick": -0.02, "short": -0.02, "gang": -0.1, "patient": 0.03}},
	}
	for _, tt := range rows {
		without, slower := playSpeeds(t, tt.load, false, speedSimSpeeds())
		with, faster := playSpeeds(t, tt.load, true, speedSimSpeeds())
		t.Logf("load %.2f: without speeds %v, gangs %s; with speeds %v, gangs %s", tt.load, without, slower, with, faster)
		assert.Assert(t, faster < slower, "gangs run for %s, without speeds for %s", faster, slower)
		for kind, gain := range tt.better {
			assert.Assert(t, with[kind] >= without[kind]+gain, "load %.2f, %s: %.3f, without speeds %.3f", tt.load, kind, with[kind], without[kind])
		}
	}
}

// TestLearningEqualSpeedsChangesLittle guards against harm in a cell whose workers do not
// differ: the noise of the estimates must not direct work.
func TestLearningEqualSpeedsChangesLittle(t *testing.T) {
	equal := make([]float64, speedSimWorkers)
	for i := range equal {
		equal[i] = 1
	}
	without, _ := playSpeeds(t, 0.6, false, equal)
	with, _ := playSpeeds(t, 0.6, true, equal)
	t.Logf("without speeds %v, with speeds %v", without, with)
	for kind, share := range without {
		assert.Assert(t, with[kind] > share-0.03, "%s: %.3f, without speeds %.3f", kind, with[kind], share)
	}
}
