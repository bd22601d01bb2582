package exchange

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// maxReportsInFlight bounds the proposed batches of reports that are not committed yet.
const maxReportsInFlight = 2

// ReportQueue collects what workers report until it is committed. E is what the caller
// keeps of an ended attempt until then.
type ReportQueue[E any] struct {
	next     ReportBatch[E]
	inFlight int                  // batches that are proposed and not committed yet
	ending   map[model.TaskID]int // reports of an end that are not committed yet, by task
}

// ReportBatch is proposed as one command.
type ReportBatch[E any] struct {
	Reports []state.WorkerReport
	Ends    []E // whose reports the batch holds
}

// NewReportQueue returns an empty ReportQueue.
func NewReportQueue[E any]() ReportQueue[E] {
	return ReportQueue[E]{ending: map[model.TaskID]int{}}
}

// Add adds a report of a worker's session to the next batch.
func (q *ReportQueue[E]) Add(worker model.WorkerID, session uint64, r api.Report) {
	last := len(q.next.Reports) - 1
	if last < 0 || q.next.Reports[last].Worker != worker || q.next.Reports[last].Session != session {
		q.next.Reports = append(q.next.Reports, state.WorkerReport{Worker: worker, Session: session})
		last++
	}
	q.next.Reports[last].Reports = append(q.next.Reports[last].Reports, r)
	if r.State.Ends() {
		q.ending[r.Task]++
	}
}

// AddEnd adds an ended attempt to the next batch, which holds its report.
func (q *ReportQueue[E]) AddEnd(e E) { q.next.Ends = append(q.next.Ends, e) }

// Take returns the next batch, or false if it is empty or must wait. The caller must
// call Done for it.
func (q *ReportQueue[E]) Take() (ReportBatch[E], bool) {
	if !q.Waits() {
		return ReportBatch[E]{}, false
	}
	b := q.next
	q.next = ReportBatch[E]{}
	q.inFlight++
	return b, true
}

// Waits reports whether Take would return a batch.
func (q *ReportQueue[E]) Waits() bool {
	return q.inFlight < maxReportsInFlight && len(q.next.Reports) > 0
}

// Done records that the proposal of a batch was committed or has failed.
func (q *ReportQueue[E]) Done(b *ReportBatch[E]) {
	q.inFlight--
	for i := range b.Reports {
		for _, r := range b.Reports[i].Reports {
			if r.State.Ends() {
				q.removeEnding(r.Task)
			}
		}
	}
}

func (q *ReportQueue[E]) removeEnding(id model.TaskID) {
	if q.ending[id]--; q.ending[id] <= 0 {
		delete(q.ending, id)
	}
}

// IsEnding reports whether the end of a task's attempt is about to be committed.
func (q *ReportQueue[E]) IsEnding(id model.TaskID) bool { return q.ending[id] > 0 }
