package schedule

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/filbertmast/filbertmast/internal/model"
)

// scale is the size of a cell in a benchmark.
type scale struct {
	name    string
	workers int
	tasks   int // running tasks
	teams   int
}

var scales = []scale{
	{"today", 50, 900, 6},
	{"2200", 2_200, 43_000, 420},
	{"22000", 22_000, 430_000, 420},
}

const (
	benchServiceTasks = 50
	benchBatchTasks   = 10
	benchWaiting      = 20 // jobs per team that wait in a full cell
)

// bench is a cell of a given scale. A fifth of the tasks belong to services.
type bench struct {
	s       *Scheduler
	rng     *rand.Rand
	now     model.Time
	nextJob model.JobID
	scale   scale
	batch   []model.TaskID // running tasks of batch jobs
}

func benchTeam(i int) string { return fmt.Sprintf("team-%03d", i) }

func newBench(sc scale) *bench {
	b := &bench{s: New(Options{Seed: 1}), rng: rand.New(rand.NewPCG(1, 2)), now: 1_000_000, scale: sc}
	teams := make([]model.Team, sc.teams)
	for i := range teams {
		teams[i] = model.Team{Name: benchTeam(i), Share: int64(1 + i%5), MaxRunning: 1 << 40}
	}
	b.s.Apply(ConfigChanged{Teams: teams})
	for i := range sc.workers {
		rack := i / 8
		b.s.Apply(WorkerUp{Spec: model.WorkerSpec{
			ID: benchWorker(i), Capacity: model.Resources{CPU: 32_000, Memory: 65_536, Accelerators: 2},
			Region: fmt.Sprint("region-", rack%4), FailureDomain: fmt.Sprint("domain-", rack%9), Rack: fmt.Sprint("rack-", rack),
			Labels: model.Labels{"generation": fmt.Sprint(i % 4), "host": fmt.Sprint(i)},
		}})
	}
	b.fill()
	return b
}

func benchWorker(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%05d", i)) }

// fill starts the running tasks, assigning workers round-robin.
func (b *bench) fill() {
	at := 0
	for at < b.scale.tasks {
		spec := b.spec()
		if b.nextJob%25 == 0 {
			spec = model.JobSpec{Name: "service", Policy: model.PolicyService, Tasks: benchServiceTasks, Size: cores(1)}
		}
		id := b.submit(spec)
		for i := range spec.Tasks {
			task := model.TaskID{Job: id, Index: i}
			b.start(Placement{Task: task, Worker: benchWorker(at % b.scale.workers), Size: spec.Size}, spec.Policy)
			at++
		}
	}
}

func (b *bench) spec() model.JobSpec {
	return model.JobSpec{
		Name: fmt.Sprint("class-", b.rng.IntN(5)), Tasks: benchBatchTasks, Patience: model.Duration(time.Duration(1+b.rng.IntN(24)) * time.Hour),
		Size:     model.Resources{CPU: int64(1000 + 500*b.rng.IntN(3)), Memory: int64(2048 + 1024*b.rng.IntN(3))},
		Selector: []string{"", "", "generation in (1,2,3)", "generation!=0"}[b.rng.IntN(4)], Checkpointable: true,
	}
}

func (b *bench) submit(spec model.JobSpec) model.JobID {
	b.nextJob++
	team := benchTeam(b.rng.IntN(b.scale.teams))
	b.s.Apply(JobSubmitted{ID: b.nextJob, Spec: spec, Team: team, At: b.now, StartBy: b.now.Add(spec.Patience.Std())})
	return b.nextJob
}

func (b *bench) start(e Placement, p model.Policy) {
	b.s.Apply(TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: b.now})
	b.s.Apply(TaskRunning{Task: e.Task, At: b.now})
	if p != model.PolicyService {
		b.batch = append(b.batch, e.Task)
	}
}

// endOne ends a running batch task.
func (b *bench) endOne() {
	i := b.rng.IntN(len(b.batch))
	task := b.batch[i]
	b.batch[i] = b.batch[len(b.batch)-1]
	b.batch = b.batch[:len(b.batch)-1]
	b.s.Apply(TaskEnded{Task: task, Outcome: Succeeded, RanFor: time.Minute, Used: cores(1), At: b.now, Final: true})
}

// overfill fills the cell and leaves jobs of every team waiting.
func (b *bench) overfill() {
	for range b.scale.teams * benchWaiting {
		b.submit(b.spec())
	}
	for {
		p := b.s.Plan(b.now, 4096)
		for _, e := range p.Placements {
			b.start(e, model.PolicyBatch)
		}
		if len(p.Placements) == 0 {
			break
		}
	}
	for range b.scale.teams * benchWaiting {
		b.submit(b.spec())
	}
	b.s.Plan(b.now, 1)
}

// reportLatency reports quantiles of a latency histogram in microseconds.
func reportLatency(t *testing.B, h *hdrhistogram.Histogram) {
	t.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
	t.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
	t.ReportMetric(float64(h.ValueAtQuantile(99.9))/1e3, "p99.9-µs")
	t.ReportMetric(float64(h.Max())/1e3, "max-µs")
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }

// decide measures a plan of one placement and its application.
func (b *bench) decide(h *hdrhistogram.Histogram) {
	b.now++
	began := time.Now()
	p := b.s.Plan(b.now, 1)
	for _, e := range p.Placements {
		b.start(e, model.PolicyBatch)
	}
	_ = h.RecordValue(time.Since(began).Nanoseconds())
}

// BenchmarkDecisionWithRoom places tasks of new jobs in a cell with some free
// capacity.
func BenchmarkDecisionWithRoom(t *testing.B) {
	for _, sc := range scales {
		t.Run(sc.name, func(t *testing.B) {
			b := newBench(sc)
			h := newHistogram()
			t.ResetTimer()
			for i := range t.N {
				if i%benchBatchTasks == 0 {
					b.submit(b.spec())
				}
				b.endOne()
				b.decide(h)
			}
			reportLatency(t, h)
		})
	}
}

// BenchmarkDecisionWhenFull places one task as another ends, in a full cell where
// every team has waiting jobs.
func BenchmarkDecisionWhenFull(t *testing.B) {
	for _, sc := range scales {
		t.Run(sc.name, func(t *testing.B) {
			b := newBench(sc)
			b.overfill()
			h := newHistogram()
			t.ResetTimer()
			for range t.N {
				b.endOne()
				b.submit(b.spec())
				b.decide(h)
			}
			reportLatency(t, h)
		})
	}
}

// BenchmarkDecisionWhenFullWithPastUse is the same with past use of every team, which is
// renewed before every hundredth plan.
func BenchmarkDecisionWhenFullWithPastUse(t *testing.B) {
	for _, sc := range scales {
		t.Run(sc.name, func(t *testing.B) {
			b := newBench(sc)
			b.overfill()
			e := PastUseChanged{HalfLife: time.Hour}
			for i := range sc.teams {
				e.Teams = append(e.Teams, TeamPastUse{Team: benchTeam(i), Average: cores(int64(b.rng.IntN(1000)))})
			}
			h := newHistogram()
			t.ResetTimer()
			for i := range t.N {
				b.endOne()
				b.submit(b.spec())
				if i%100 == 0 {
					b.s.Apply(e)
				}
				b.decide(h)
			}
			reportLatency(t, h)
		})
	}
}

// BenchmarkPastUseChanged renews the past use of every team and computes the terms.
func BenchmarkPastUseChanged(t *testing.B) {
	b := newBench(scales[1])
	e := PastUseChanged{HalfLife: time.Hour}
	for i := range b.scale.teams {
		e.Teams = append(e.Teams, TeamPastUse{Team: benchTeam(i), Average: cores(int64(b.rng.IntN(1000)))})
	}
	t.ResetTimer()
	for range t.N {
		b.s.Apply(e)
		b.s.updatePastTerms()
	}
}

// BenchmarkDecisionByPolicy places whole jobs of each policy in a cell with free
// capacity, or preempts tasks for a job that does not fit. One decision is the
// plan of one job and its application.
func BenchmarkDecisionByPolicy(t *testing.B) {
	for _, sc := range scales {
		for _, spec := range []model.JobSpec{
			{Name: "gang", Policy: model.PolicyGang, Tasks: 16, Size: cores(2), Patience: hour},
			{Name: "service", Policy: model.PolicyService, Tasks: 9, Size: cores(1), Patience: hour},
			{Name: "exclusive", Policy: model.PolicyBatch, Tasks: 9, Size: cores(1), Exclusive: true, Patience: hour},
			{Name: "urgent", Policy: model.PolicyBatch, Tasks: 1, Size: cores(30)},
		} {
			t.Run(sc.name+"/"+spec.Name, func(t *testing.B) {
				b := newBench(sc)
				h := newHistogram()
				t.ResetTimer()
				for range t.N {
					b.decideJob(h, spec)
				}
				reportLatency(t, h)
			})
		}
	}
}

// decideJob measures the plan of one job and its application, and then removes the
// job.
func (b *bench) decideJob(h *hdrhistogram.Histogram, spec model.JobSpec) {
	b.now++
	id := b.submit(spec)
	began := time.Now()
	p := b.s.Plan(b.now, int(spec.Tasks))
	for _, e := range p.Placements {
		b.s.Apply(TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: b.now})
	}
	_ = h.RecordValue(time.Since(began).Nanoseconds())
	b.s.Apply(JobsCancelled{IDs: []model.JobID{id}})
	for _, e := range p.Placements {
		b.s.Apply(TaskEnded{Task: e.Task, Outcome: Stopped, At: b.now, Final: true})
	}
}

// BenchmarkPlacements measures plans of 256 placements and their application.
func BenchmarkPlacements(t *testing.B) {
	for _, sc := range scales {
		t.Run(sc.name, func(t *testing.B) {
			b := newBench(sc)
			placed := 0
			t.ResetTimer()
			for range t.N {
				t.StopTimer()
				for range 256 {
					b.endOne()
				}
				for range 26 {
					b.submit(b.spec())
				}
				b.now++
				t.StartTimer()
				p := b.s.Plan(b.now, 256)
				for _, e := range p.Placements {
					b.start(e, model.PolicyBatch)
				}
				placed += len(p.Placements)
			}
			t.ReportMetric(float64(placed)/t.Elapsed().Seconds(), "placements/s")
		})
	}
}

// BenchmarkMemory reports the heap size of a Scheduler per running task.
func BenchmarkMemory(t *testing.B) {
	for _, sc := range scales[1:] {
		t.Run(sc.name, func(t *testing.B) {
			for range t.N {
				before := heapBytes()
				b := newBench(sc)
				b.batch = nil
				after := heapBytes()
				t.ReportMetric(float64(after-before)/float64(b.s.Stats().Running), "B/task")
				runtime.KeepAlive(b)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
