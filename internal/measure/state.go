package measure

import (
	"bytes"
	"runtime"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Sizes at which the state is measured. The last of each is that of the planned
// deployment.
var (
	taskSizes   = []int{25_000, 50_000, 100_000, 200_000, 430_000}
	workerSizes = []int{2_750, 5_500, 11_000, 22_000}
	jobSizes    = []int{12_125, 24_250, 48_500, 97_000}
	endedSizes  = []int{50_000, 100_000, 200_000, 400_000}
	teamSizes   = []int{52, 105, 210, 420}
)

const (
	stateWorkers   = 22_000 // workers that run the measured tasks
	stateTeams     = 420
	tasksPerBatch  = 10
	tasksPerServed = 50
	tasksPerEnded  = 100
	serviceEvery   = 21 // one job in 21 is a service; these run a fifth of the tasks
)

// State measures the memory of the replicated state and of a leader's scheduler,
// the size of a snapshot, and the time to encode a snapshot and to replay the
// state into the scheduler.
func State() *Report {
	r := newReport("state")
	for _, n := range taskSizes {
		r.measureCell("task", n, func(c *cell) {
			c.declare(stateTeams)
			c.addWorkers(stateWorkers, taskSizes[len(taskSizes)-1]/stateWorkers+tasksPerServed)
			c.fill(n)
		})
	}
	for _, n := range workerSizes {
		r.measureCell("worker", n, func(c *cell) {
			c.declare(stateTeams)
			c.addWorkers(n, 1)
		})
	}
	for _, n := range jobSizes {
		r.measureCell("waiting job", n, func(c *cell) {
			c.declare(stateTeams)
			for i := range n {
				c.submit(i%stateTeams, 1, model.PolicyBatch)
			}
		})
	}
	for _, n := range endedSizes {
		r.measureCell("ended task", n, func(c *cell) {
			c.declare(stateTeams)
			c.addWorkers(stateWorkers, tasksPerEnded)
			for at := 0; at < n; at += tasksPerEnded {
				id := c.submit(at/tasksPerEnded%stateTeams, tasksPerEnded, model.PolicyBatch)
				c.startTasks(id, tasksPerEnded, stateWorkers, at)
				c.succeedTasks(id)
			}
		})
	}
	for _, n := range teamSizes {
		r.measureCell("team", n, func(c *cell) { c.declare(n) })
	}
	r.fitSeries()
	return r
}

// fill starts at least n tasks of batch jobs and services.
func (c *cell) fill(n int) {
	for at, job := 0, 0; at < n; job++ {
		tasks, policy := tasksPerBatch, model.PolicyBatch
		if job%serviceEvery == 0 {
			tasks, policy = tasksPerServed, model.PolicyService
		}
		id := c.submit(job%stateTeams, tasks, policy)
		c.startTasks(id, tasks, stateWorkers, at)
		at += tasks
	}
}

// measureCell builds a cell of size n and adds a point to each series by what.
func (r *Report) measureCell(what string, n int, build func(*cell)) {
	x := float64(n)
	before := heapBytes()
	c := newCell()
	build(c)
	built := heapBytes()
	r.add("machine heap by "+what, "B", what, x, float64(built)-float64(before))

	r.add("replay time by "+what, "ms", what, x, medianMillis(c.buildScheduler))
	r.add("scheduler heap by "+what, "B", what, x, float64(heapBytes())-float64(built))

	var size int
	encode := func() { size = c.snapshot() }
	r.add("snapshot encoding time by "+what, "ms", what, x, medianMillis(encode))
	r.add("snapshot size by "+what, "B", what, x, float64(size))
	runtime.KeepAlive(c)
}

// snapshot encodes a snapshot as the control goroutine does and returns its size
// in bytes.
func (c *cell) snapshot() int {
	var buf bytes.Buffer
	if err := c.machine.WriteSnapshot(&buf); err != nil {
		panic(err) // writes to a buffer do not fail
	}
	return buf.Len()
}

// timingRuns is the number of runs of which medianMillis returns the median.
const timingRuns = 5

func medianMillis(fn func()) float64 {
	var took []time.Duration
	for range timingRuns {
		began := time.Now()
		fn()
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return millis(took[timingRuns/2])
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// heapBytes returns the size of the live heap. It collects garbage twice, so that
// objects kept alive by finalizers are freed as well.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
