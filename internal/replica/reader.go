package replica

import (
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// maxReads bounds the reads that wait. Each member has one open at a time for
// entries and one for a snapshot.
const maxReads = 256

// reader does the disk reads that replicas which are behind need, away from the
// loop.
type reader struct {
	n    *Node
	work chan func() error
}

func newReader(n *Node) *reader {
	return &reader{n: n, work: make(chan func() error, maxReads)}
}

// add queues f and reports false where too much waits.
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

// readEntries answers a request of the core for old entries.
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
