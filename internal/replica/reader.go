package replica

import (
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// maxReads limits the queued reads. Each member has at most one read of entries
// queued, beside the chunks of a snapshot transfer.
const maxReads = 256

// reader runs, on a goroutine of its own, the disk reads for replicas that are
// behind.
type reader struct {
	n    *Node
	work chan func() error
}

func newReader(n *Node) *reader {
	return &reader{n: n, work: make(chan func() error, maxReads)}
}

// add queues f and returns false if the queue is full.
func (r *reader) add(f func() error) bool {
	select {
	case r.work <- f:
		return true
	default:
		return false
	}
}

func (r *reader) run() {
	defer r.n.loops.Done()
	for {
		select {
		case <-r.n.stop:
			return
		case f := <-r.work:
			if err := f(); err != nil {
				r.n.fail(err)
				return
			}
		}
	}
}

// readEntries reads old entries for the core and passes them to Core.ReadDone.
func (n *Node) readEntries(q raft.ReadRequest) {
	done := func(entries []raft.Entry) {
		n.inbox.addCall(func() { n.core.ReadDone(q, entries) })
	}
	queued := n.reader.add(func() error {
		stored, err := n.log.Read(q.First, q.Last, q.Bytes)
		if err != nil && err != storage.ErrCompacted {
			return err
		}
		entries := make([]raft.Entry, len(stored))
		for i, e := range stored {
			entries[i] = fromStored(e)
		}
		done(entries)
		return nil
	})
	if !queued {
		done(nil)
	}
}
