package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

const (
	// fullRetry is the time between tries to write to a full disk.
	fullRetry = 500 * time.Millisecond
	// maxGroupBytes bounds what is written with one sync, beyond the first job.
	maxGroupBytes = 8 << 20
	// maxJobs bounds what waits while the disk is full. Beyond it answers that
	// write nothing are dropped, as a network may drop them.
	maxJobs = 4096
)

// job is one batch of the core on its way to disk, or a step that must come
// between two batches.
type job struct {
	batch  storage.Batch
	mark   raft.Mark
	marked bool
	after  []Message
	step   func() error
}

// writer makes batches durable in order, all that wait with one sync.
type writer struct {
	n    *Node
	mu   sync.Mutex
	cond *sync.Cond
	jobs []job

	begun atomic.Int64 // when the write that runs now began; 0: none runs
	in    *incoming    // a snapshot that is being received; owned by run
}

func newWriter(n *Node) *writer {
	w := &writer{n: n}
	w.cond = sync.NewCond(&w.mu)
	return w
}

func (w *writer) add(j job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.jobs) >= maxJobs && !j.marked {
		w.n.metrics.dropped.Inc()
		return
	}
	w.jobs = append(w.jobs, j)
	w.cond.Signal()
}

func (w *writer) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cond.Broadcast()
}

func (w *writer) closed() bool {
	select {
	case <-w.n.stop:
		return true
	default:
		return false
	}
}

// take waits for jobs and returns those that may share a sync.
func (w *writer) take() []job {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.jobs) == 0 && !w.closed() {
		w.cond.Wait()
	}
	if w.closed() || len(w.jobs) == 0 {
		return nil
	}
	n, size := 1, batchBytes(w.jobs[0].batch)
	for n < len(w.jobs) && w.joins(n) {
		size += batchBytes(w.jobs[n].batch)
		if size > maxGroupBytes {
			break
		}
		n++
	}
	group := w.jobs[:n:n]
	w.jobs = w.jobs[n:]
	return group
}

// joins reports whether job i may share a sync with those before it.
func (w *writer) joins(i int) bool {
	return w.jobs[0].step == nil && w.jobs[i].step == nil && w.jobs[i].batch.Reset == nil
}

func batchBytes(b storage.Batch) int {
	size := 0
	for _, e := range b.Entries {
		size += len(e.Data)
	}
	return size
}

func (w *writer) run() {
	defer w.n.loops.Done()
	for {
		group := w.take()
		if group == nil {
			return
		}
		if err := w.write(group); err != nil {
			if !w.closed() {
				w.n.fail(err)
			}
			return
		}
	}
}

func (w *writer) write(group []job) error {
	if step := group[0].step; step != nil {
		return step()
	}
	if joined, any := joinJobs(group); any {
		if err := w.append(joined); err != nil {
			return err
		}
	}
	for _, j := range group {
		w.n.sendAll(j.after)
		if j.marked {
			w.n.inbox.addMark(j.mark)
		}
	}
	return nil
}

func joinJobs(group []job) (storage.Batch, bool) {
	var out storage.Batch
	any := false
	for _, j := range group {
		any = any || j.marked
		if j.batch.Reset != nil {
			out.Reset = j.batch.Reset
		}
		out.Entries = append(out.Entries, j.batch.Entries...)
		if j.batch.State != nil {
			out.State = j.batch.State
		}
	}
	return out, any
}

// append writes until there is room for the batch. Meanwhile the replica goes on
// hearing and answering; what rests on the write waits.
func (w *writer) append(b storage.Batch) error {
	for {
		begun := w.n.opts.Now()
		w.begun.Store(int64(begun))
		err := w.n.log.Append(b)
		w.begun.Store(0)
		if err == nil {
			w.n.metrics.append.Observe((w.n.opts.Now() - begun).Seconds())
			w.n.noteFull(false)
			return w.noteFormed(b)
		}
		if !storage.IsFull(err) {
			return err
		}
		w.n.noteFull(true)
		select {
		case <-w.n.stop:
			return err
		case <-time.After(fullRetry):
		}
	}
}

// slowDiskTicks is how long a write of a leader may take before it hands over.
const slowDiskTicks = 4 * raft.DefaultElectionTicks

// checkDisk makes a leader hand over whose disk hangs. Its heartbeats would keep
// the others from leading, while it could take in nothing itself. With the disk
// hanging it cannot be elected again, since votes wait for the disk.
func (n *Node) checkDisk() {
	begun := n.writer.begun.Load()
	if begun == 0 || n.core.Role() != raft.Leader || n.core.Transferring() {
		return
	}
	if n.opts.Now()-time.Duration(begun) < slowDiskTicks*n.opts.Tick {
		return
	}
	if n.core.Transfer() == nil {
		n.logger.Warn("a write hangs, handing over", "term", n.core.Term())
	}
}

// noteFormed records before the first acknowledgement that the log has begun.
func (w *writer) noteFormed(b storage.Batch) error {
	if w.n.formed.Load() || len(b.Entries) == 0 && b.Reset == nil {
		return nil
	}
	if err := w.n.identity.form(); err != nil {
		return err
	}
	w.n.formed.Store(true)
	return nil
}
