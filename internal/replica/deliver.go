package replica

import (
	"io"
	"sync"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/storage"
)

// deliverBytes limits the bytes of entries that are read for one Update.
const deliverBytes = 1 << 20

// Update is one element of the stream that the state machine applies.
type Update struct {
	// Snapshot, if set, replaces the whole state before Entries are applied.
	Snapshot *Snapshot
	// Entries are committed proposals in log order.
	Entries []Entry
	// Index is the last index applied after this update. It includes entries
	// internal to the log, which are not part of Entries.
	Index uint64
	// Leadership is set if the leadership has changed. Changes in quick
	// succession are merged into one; a new term always means a new leadership.
	Leadership *Leadership
}

// Snapshot is a state to restore. The receiver closes Data.
type Snapshot struct {
	Index uint64
	Term  uint64
	Data  io.ReadCloser
}

// Entry is one committed proposal.
type Entry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Leadership describes the current leader.
type Leadership struct {
	Role          Role
	Term          uint64
	Leader        ID // raft.None if unknown
	LeaderAddress string
	// Ready reports that this replica leads and that all entries of earlier terms
	// were delivered before this update.
	Ready bool
}

// deliverState is the state of the core that the loop passes to the deliverer.
type deliverState struct {
	leadership  Leadership // Ready is never set here
	termStart   uint64     // valid on a leader
	deliverable uint64
}

func (n *Node) deliverState() deliverState {
	leader := n.core.LeaderID()
	address, _ := n.addrs.find(leader)
	s := deliverState{
		leadership: Leadership{
			Role:          n.core.Role(),
			Term:          n.core.Term(),
			Leader:        leader,
			LeaderAddress: address,
		},
		deliverable: n.core.Deliverable(),
	}
	if s.leadership.Role == raft.Leader {
		s.termStart = n.core.TermStart()
	}
	return s
}

// deliverer sends updates to the owner of the state as fast as the owner receives
// them. It reads entries from the log on demand, so a slow owner costs no memory.
type deliverer struct {
	n   *Node
	out chan Update

	mu    sync.Mutex
	cond  *sync.Cond
	state deliverState

	applied  uint64
	reported Leadership
}

func newDeliverer(n *Node) *deliverer {
	d := &deliverer{n: n, out: make(chan Update)}
	d.cond = sync.NewCond(&d.mu)
	return d
}

func (d *deliverer) advance(s deliverState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == d.state {
		return
	}
	d.state = s
	d.cond.Signal()
}

func (d *deliverer) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cond.Broadcast()
}

func (d *deliverer) closed() bool { return d.n.writer.closed() }

// next waits until there is an update to send. It returns false once the node is
// closed.
func (d *deliverer) next() (deliverState, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for !d.closed() && d.state.deliverable <= d.applied && d.leadership(d.state) == d.reported {
		d.cond.Wait()
	}
	return d.state, !d.closed()
}

// leadership returns the leadership of s, with Ready set if the entries applied
// so far reach the start of the leader's term.
func (d *deliverer) leadership(s deliverState) Leadership {
	l := s.leadership
	l.Ready = l.Role == raft.Leader && d.applied >= s.termStart
	return l
}

func (d *deliverer) run() {
	defer d.n.loops.Done()
	defer close(d.out)
	if err := d.snapshot(); err != nil {
		d.n.fail(err)
		return
	}
	for {
		s, ok := d.next()
		if !ok {
			return
		}
		if err := d.step(s); err != nil {
			if !d.closed() {
				d.n.fail(err)
			}
			return
		}
	}
}

func (d *deliverer) step(s deliverState) error {
	if l := d.leadership(s); l != d.reported {
		d.reported = l
		d.send(Update{Index: d.applied, Leadership: &l})
	}
	if s.deliverable <= d.applied {
		return nil
	}
	entries, err := d.n.log.Read(d.applied+1, s.deliverable, deliverBytes)
	if err == storage.ErrCompacted {
		return d.snapshot()
	}
	if err != nil || len(entries) == 0 {
		return err
	}
	d.applied = entries[len(entries)-1].Index
	d.send(Update{Entries: dataEntries(entries), Index: d.applied})
	return nil
}

func dataEntries(entries []storage.Entry) []Entry {
	out := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if raft.EntryKind(e.Kind) == raft.EntryData {
			out = append(out, Entry{Index: e.Index, Term: e.Term, Data: e.Data})
		}
	}
	return out
}

// snapshot delivers the newest snapshot if it is ahead of what was applied.
func (d *deliverer) snapshot() error {
	r, ok, err := d.n.snaps.Newest()
	if err != nil || !ok {
		return err
	}
	if r.Meta.Index <= d.applied {
		return r.Close()
	}
	d.applied = r.Meta.Index
	d.send(Update{
		Snapshot: &Snapshot{Index: r.Meta.Index, Term: r.Meta.Term, Data: r},
		Index:    r.Meta.Index,
	})
	return nil
}

func (d *deliverer) send(u Update) {
	select {
	case d.out <- u:
	case <-d.n.stop:
	}
}
