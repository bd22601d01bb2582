package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

const (
	// fullDiskRetry is the delay between attempts to write to a full disk.
	fullDiskRetry = 500 * time.Millisecond
	// maxGroupBytes limits the bytes written with one sync. The first request is
	// always written, whatever its size.
	maxGroupBytes = 8 << 20
	// maxQueuedWrites limits the queue while the disk is full. Beyond it,
	// requests without a mark are dropped: replies and snapshot chunks, which a
	// network may lose as well.
	maxQueuedWrites = 4096
)

// writeRequest is one batch of the core that waits to be written, or a step that
// must run between two batches.
type writeRequest struct {
	batch        storage.Batch
	mark         raft.Mark
	hasMark      bool
	afterPersist []Message
	step         func() error
}

// writer makes batches durable in order. Batches that wait together share a sync.
type writer struct {
	n     *Node
	mu    sync.Mutex
	cond  *sync.Cond
	queue []writeRequest

	writeStarted atomic.Int64      // start of the current write by Options.Now; 0 if none is running
	longest      atomic.Int64      // longest write since it was last reported, in nanoseconds
	incoming     *incomingSnapshot // owned by run; nil if no snapshot is being received
}

func newWriter(n *Node) *writer {
	w := &writer{n: n}
	w.cond = sync.NewCond(&w.mu)
	return w
}

func (w *writer) add(j writeRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedWrites && !j.hasMark {
		w.n.metrics.dropped.Inc()
		return
	}
	w.queue = append(w.queue, j)
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

// take waits for requests and returns those that may share a sync. It returns nil
// once the node is closed.
func (w *writer) take() []writeRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed() {
		w.cond.Wait()
	}
	if w.closed() || len(w.queue) == 0 {
		return nil
	}
	n, size := 1, batchBytes(w.queue[0].batch)
	for n < len(w.queue) && w.mayJoin(n) {
		size += batchBytes(w.queue[n].batch)
		if size > maxGroupBytes {
			break
		}
		n++
	}
	group := w.queue[:n:n]
	w.queue = w.queue[n:]
	return group
}

// mayJoin reports whether request i may share a sync with those before it.
func (w *writer) mayJoin(i int) bool {
	return w.queue[0].step == nil && w.queue[i].step == nil && w.queue[i].batch.Reset == nil
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

func (w *writer) write(group []writeRequest) error {
	if step := group[0].step; step != nil {
		return step()
	}
	if joined, needsWrite := mergeRequests(group); needsWrite {
		if err := w.append(joined); err != nil {
			return err
		}
	}
	for _, j := range group {
		w.n.sendAll(j.afterPersist)
		if j.hasMark {
			w.n.inbox.addMark(j.mark)
		}
	}
	return nil
}

func mergeRequests(group []writeRequest) (storage.Batch, bool) {
	var out storage.Batch
	needsWrite := false
	for _, j := range group {
		needsWrite = needsWrite || j.hasMark
		if j.batch.Reset != nil {
			out.Reset = j.batch.Reset
		}
		out.Entries = append(out.Entries, j.batch.Entries...)
		if j.batch.State != nil {
			out.State = j.batch.State
		}
	}
	return out, needsWrite
}

// append writes b and retries while the disk is full. Meanwhile the loop keeps
// handling messages and answers those that do not depend on the write.
func (w *writer) append(b storage.Batch) error {
	for {
		begun := w.n.opts.Now()
		w.writeStarted.Store(int64(begun))
		err := w.n.log.Append(b)
		w.writeStarted.Store(0)
		if err == nil {
			w.recordWrite(w.n.opts.Now() - begun)
			w.n.setDiskFull(false)
			return w.recordFormed(b)
		}
		if !storage.IsFull(err) {
			return err
		}
		w.n.setDiskFull(true)
		select {
		case <-w.n.stop:
			return err
		case <-time.After(fullDiskRetry):
		}
	}
}

// recordWrite records that writing and syncing one group of entries has taken d.
func (w *writer) recordWrite(d time.Duration) {
	w.n.metrics.append.Observe(d.Seconds())
	for {
		longest := w.longest.Load()
		if int64(d) <= longest || w.longest.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// diskStallTicks is how long a write of a leader may take before it transfers
// leadership.
const diskStallTicks = 4 * raft.DefaultElectionTicks

// checkDiskStall makes a leader transfer leadership if a write hangs. Its
// heartbeats would keep others from being elected, although it could not apply
// any entry itself. It cannot be elected again while the disk hangs, since votes
// wait for the disk.
func (n *Node) checkDiskStall() {
	begun := n.writer.writeStarted.Load()
	if begun == 0 || n.core.Role() != raft.Leader || n.core.Transferring() {
		return
	}
	if n.opts.Now()-time.Duration(begun) < diskStallTicks*n.opts.Tick {
		return
	}
	if n.core.Transfer() == nil {
		n.logger.Warn("write to the log hangs; transferring leadership", "term", n.core.Term())
	}
}

// recordFormed stores in the identity that the log was started, before the first
// acknowledgement is sent.
func (w *writer) recordFormed(b storage.Batch) error {
	if w.n.formed.Load() || len(b.Entries) == 0 && b.Reset == nil {
		return nil
	}
	if err := w.n.identity.form(); err != nil {
		return err
	}
	w.n.formed.Store(true)
	return nil
}
