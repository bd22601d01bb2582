package permit

import (
	"testing"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const benchmarkWorkers = 350

// BenchmarkFirstQuery selects the workers of the first query of a job.
func BenchmarkFirstQuery(b *testing.B) {
	c := newPermitCell(b, benchmarkWorkers)
	c.submitGang(35, half, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		c.tracker.dueQueries(gangID, c.now, c)
	}
}

// BenchmarkRecheck examines a job whose valid permits do not hold its tasks, and for
// which no query helps.
func BenchmarkRecheck(b *testing.B) {
	c := newPermitCell(b, benchmarkWorkers)
	c.submit(fillerID, model.JobSpec{Name: "filler", Tasks: benchmarkWorkers, Size: whole, Patience: model.Duration(time.Hour)}, false)
	c.step()
	c.submitGang(35, half, time.Second)
	q := c.tracker.dueQueries(gangID, c.now, c)
	c.tracker.MarkSent(&q[0])
	c.answer(&q[0])
	b.ReportAllocs()
	for b.Loop() {
		c.tracker.jobs[gangID].nextQuery = 0
		c.tracker.dueQueries(gangID, c.now, c)
	}
}
