package schedule

import (
	"testing"

	"github.com/filbertmast/filbertmast/internal/model"
)

const cancelledJobs = 10_000

// BenchmarkCancelWave cancels many waiting jobs of ten tasks in one event.
func BenchmarkCancelWave(t *testing.B) {
	for _, sc := range scales {
		t.Run(sc.name, func(t *testing.B) {
			b := newBench(sc)
			ids := make([]model.JobID, cancelledJobs)
			t.ResetTimer()
			for range t.N {
				t.StopTimer()
				for i := range ids {
					ids[i] = b.submit(b.spec())
				}
				t.StartTimer()
				b.s.Apply(JobsCancelled{IDs: ids})
			}
			t.ReportMetric(float64(t.Elapsed().Nanoseconds())/float64(t.N*cancelledJobs), "ns/job")
		})
	}
}

// BenchmarkRackLoss loses the eight workers of a rack and places their batch tasks
// again in one plan.
func BenchmarkRackLoss(t *testing.B) {
	for _, sc := range scales {
		t.Run(sc.name, func(t *testing.B) {
			b := newBench(sc)
			lost := 0
			t.ResetTimer()
			for i := range t.N {
				lost += b.loseRack(i % (sc.workers / 8))
				b.now++
				for _, e := range b.s.Plan(b.now, 1024).Placements {
					b.s.Apply(TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: b.now})
				}
			}
			t.ReportMetric(float64(t.Elapsed().Microseconds())/float64(lost), "µs/task")
		})
	}
}

// loseRack marks the workers of a rack as lost, has them return without tasks, and
// returns the number of tasks lost.
func (b *bench) loseRack(rack int) (lost int) {
	for i := rack * 8; i < rack*8+8; i++ {
		id := benchWorker(i)
		b.s.Apply(WorkerModeChanged{Worker: id, Mode: model.WorkerLost, At: b.now})
		for _, r := range sortedTasks(b.s.workers[b.s.workerByID[id]].tasks) {
			lost++
			b.s.Apply(TaskEnded{Task: model.TaskID{Job: r.job.id, Index: r.index}, Outcome: Lost, At: b.now})
		}
		b.s.Apply(WorkerModeChanged{Worker: id, Mode: model.WorkerOpen, At: b.now})
	}
	return lost
}
