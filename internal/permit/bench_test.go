package permit

import (
	"testing"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const benchmarkWorkers = 350

// BenchmarkFirstQuery selects the workers of the first query of a job.
func BenchmarkFirstQuery(b *testing.B) {
	c := newPermitCell(b, benchmarkWorkers)
	c.submitGang(35, half, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		c.tracker.jobs[gangID].dueQueries(c.now, c)
	}
}

// BenchmarkRecheck examines a job whose valid permits do not hold its tasks, and for
// which no query helps.
func BenchmarkRecheck(b *testing.B) {
	c := newPermitCell(b, benchmarkWorkers)
	c.submit(fillerID, model.JobSpec{Name: "filler", Tasks: benchmarkWorkers, Size: whole, Patience: model.Duration(time.Hour)}, false)
	c.step()
	c.submitGang(35, half, time.Second)
	q := c.tracker.jobs[gangID].dueQueries(c.now, c)
	c.tracker.MarkSent(&q[0])
	c.answer(&q[0])
	b.ReportAllocs()
	for b.Loop() {
		c.tracker.jobs[gangID].nextQuery = 0
		c.tracker.jobs[gangID].dueQueries(c.now, c)
	}
}

// BenchmarkEachDueQueryOfPlacedJobs looks for due queries among jobs whose tasks are
// all placed.
func BenchmarkEachDueQueryOfPlacedJobs(b *testing.B) {
	const jobs = 1000
	c := newPermitCell(b, benchmarkWorkers)
	for id := range model.JobID(jobs) {
		c.tracker.Add(id+1, workerclient.TaskName{}, lateness.Job{PromisedStart: c.now})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.tracker.EachDueQuery(c.now, c, func(Query) bool { return true })
	}
}
