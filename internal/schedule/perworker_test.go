package schedule

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Guards against work that may share workers, and never starts where there are more tasks than workers.
func TestTasksShareWorkersUpToTheirLimit(t *testing.T) {
	rows := []struct {
		name    string
		workers int
		spec    model.JobSpec
		want    int
	}{
		{"gang of more tasks than workers", 2, model.JobSpec{Policy: model.PolicyGang, Tasks: 4, MaxPerWorker: 2}, 4},
		{"gang beyond the limit on all workers", 2, model.JobSpec{Policy: model.PolicyGang, Tasks: 5, MaxPerWorker: 2}, 0},
		{"gang of 48 on 46 workers", 46, model.JobSpec{Policy: model.PolicyGang, Tasks: 48, MaxPerWorker: 4}, 48},
		{"tasks", 2, model.JobSpec{Tasks: 9, MaxPerWorker: 3}, 6},
		{"service", 3, model.JobSpec{Policy: model.PolicyService, Tasks: 9, MaxPerWorker: 2}, 6},
		{"exclusive", 3, model.JobSpec{Tasks: 9, Exclusive: true}, 3},
		{"no limit", 1, model.JobSpec{Tasks: 9}, 9},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCell()
			c.workers(row.workers, cores(16))
			row.spec.Size = cores(1)
			id := c.job(row.spec)
			on := map[model.WorkerID]int32{}
			placed := c.plan().Placements
			for _, p := range placed {
				on[p.Worker]++
			}
			assert.Equal(t, len(placed), row.want)
			for w, n := range on {
				assert.Assert(t, row.spec.PerWorker() == 0 || n <= row.spec.PerWorker(), "%d tasks on %s", n, w)
			}
			for _, at := range c.s.Candidates(id) {
				assert.Assert(t, row.spec.PerWorker() == 0 || at.Room+int64(on[at.Worker]) <= int64(row.spec.PerWorker()))
			}
			err := c.s.Check(&row.spec, nil)
			assert.Equal(t, err == nil, row.want > 0)
		})
	}
}
