package session

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Defaults of ReportBatcher.
const (
	DefaultReportDelay     = 50 * time.Millisecond
	DefaultReportBatchSize = 256 // workers in one call
)

// WorkerReports holds the reports of one worker in one session.
type WorkerReports struct {
	Worker  model.WorkerID `cbor:"1,keyasint"`
	Session uint64         `cbor:"2,keyasint"`
	Reports []api.Report   `cbor:"3,keyasint"`
}

// SendReports commits a batch. It returns one error or nil for each element, in
// order, or a single error if the whole batch failed.
type SendReports func(ctx context.Context, batch []WorkerReports) ([]error, error)

// ReportBatcher combines the reports of many workers into one call to the
// leader and one commit. Its Report method has the signature of
// Upstream.Report. It is safe for concurrent use.
type ReportBatcher struct {
	send     SendReports
	maxDelay time.Duration
	maxSize  int

	mu      sync.Mutex
	current *reportBatch
}

type reportBatch struct {
	reports []WorkerReports
	timer   *time.Timer
	done    chan struct{}
	errs    []error
	err     error
}

// NewReportBatcher returns a batcher that sends a batch after maxDelay, or
// earlier when maxSize workers have reported. Zero means the default.
func NewReportBatcher(send SendReports, maxDelay time.Duration, maxSize int) *ReportBatcher {
	setDefault(&maxDelay, DefaultReportDelay)
	setDefault(&maxSize, DefaultReportBatchSize)
	return &ReportBatcher{send: send, maxDelay: maxDelay, maxSize: maxSize}
}

// Report returns nil once the reports are committed, and DeadlineExceeded when
// ctx ends first. Successive calls for one worker keep their order: the second
// call is made after the first has returned, and so joins a later batch.
func (r *ReportBatcher) Report(ctx context.Context, worker model.WorkerID, session uint64, reports []api.Report) error {
	b, i := r.addToBatch(WorkerReports{Worker: worker, Session: session, Reports: reports})
	select {
	case <-b.done:
		return b.errorAt(i)
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "reports")
	}
}

func (r *ReportBatcher) addToBatch(w WorkerReports) (*reportBatch, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.current
	if b == nil {
		b = &reportBatch{done: make(chan struct{})}
		b.timer = time.AfterFunc(r.maxDelay, func() { r.flush(b) })
		r.current = b
	}
	b.reports = append(b.reports, w)
	i := len(b.reports) - 1
	if len(b.reports) >= r.maxSize {
		r.flushLocked(b)
	}
	return b, i
}

func (r *ReportBatcher) flush(b *reportBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushLocked(b)
}

// flushLocked closes the batch to further reports and sends it, once. r.mu is
// held.
func (r *ReportBatcher) flushLocked(b *reportBatch) {
	if r.current != b {
		return
	}
	r.current = nil
	b.timer.Stop()
	go r.commit(b)
}

// commit uses a timeout of its own, so that the end of one caller's context
// does not fail the others.
func (r *ReportBatcher) commit(b *reportBatch) {
	defer close(b.done)
	ctx, cancel := context.WithTimeout(context.Background(), upstreamTimeout)
	defer cancel()
	b.errs, b.err = r.send(ctx, b.reports)
	if b.err == nil && len(b.errs) != len(b.reports) {
		b.err = errkind.New(errkind.Internal, "the leader returned %d results for the reports of %d workers", len(b.errs), len(b.reports))
	}
}

func (b *reportBatch) errorAt(i int) error {
	if b.err != nil {
		return b.err
	}
	return b.errs[i]
}
