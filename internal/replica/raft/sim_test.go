package raft

import (
	"fmt"
	"slices"
)

// sim runs cores against each other without a network or a clock. A source of
// choices decides which node ticks, what is written, and which message is
// delivered, lost, duplicated or reordered. After each step sim checks the
// invariants that hold at all times.
type sim struct {
	choose    func(n int) int // returns a number in 0..n-1
	opts      Options
	nodes     []*simNode
	inFlight  []Message
	snapshots []simSnapshot
	now       int // in ticks
	nextID    ID

	leaders     map[uint64]ID // by term
	committed   []Entry       // by index-1
	committedIn []uint64      // by index-1: the term in which the entry was first seen to be committed
	violation   error         // the first violation of an invariant

	proposed      int
	reuseIdentity bool // a lost disk returns under its old identity
	keepDisks     bool // no disk is lost
	noFaults      bool // no membership changes, freezes, transfers, crashes or lost disks
	history       *history
}

type simNode struct {
	id           ID
	core         *Core
	disk         simDisk
	pending      []Ready // to be written, oldest first
	marks        []Mark  // durable, and not yet reported to the core
	reads        []ReadRequest
	down         bool
	frozen       int // remaining ticks
	checked      uint64
	rounds       map[uint64]int // send time of heartbeat rounds
	lease        int            // the tick at which the lease ends
	term         uint64
	seq          uint64
	pendingReads []pendingRead
}

type simDisk struct {
	state    HardState
	start    Position
	entries  []Entry
	snapshot Position
	config   Config
}

type simSnapshot struct {
	from, to ID
	term     uint64
	at       Position
	config   Config
}

func newSim(size int, opts Options, choose func(int) int) *sim {
	s := &sim{choose: choose, opts: opts, leaders: map[uint64]ID{}}
	var peers []Peer
	for range size {
		s.nextID++
		peers = append(peers, Peer{ID: s.nextID, Address: fmt.Sprint(s.nextID), Voter: true})
	}
	for _, p := range peers {
		n := s.startNode(p.ID, simDisk{})
		n.core.Bootstrap(NewConfig(peers))
		s.nodes = append(s.nodes, n)
		s.processReady(n)
		s.write(n)
		s.reportPersisted(n)
	}
	return s
}

// startNode starts a core with the state of a disk.
func (s *sim) startNode(id ID, d simDisk) *simNode {
	if d.snapshot.Index > 0 && !d.holds(d.snapshot) {
		d.start, d.entries = d.snapshot, nil
	}
	r := Restored{State: d.state, Start: d.start, Last: d.last(), Snapshot: d.snapshot}
	for _, e := range d.entries {
		if n := len(r.Terms); n == 0 || r.Terms[n-1].Term != e.Term {
			r.Terms = append(r.Terms, positionOf(e))
		}
	}
	if d.snapshot.Index > 0 {
		r.Configs = []IndexedConfig{{Index: d.snapshot.Index, Config: d.config}}
	}
	commit := max(min(d.state.Commit, r.Last), d.snapshot.Index)
	for _, e := range d.entries {
		if e.Kind == EntryConfig && e.Index > d.snapshot.Index {
			c, _ := DecodeConfig(e.Data)
			r.Configs = append(r.Configs, IndexedConfig{Index: e.Index, Config: c})
		}
		if e.Index > commit {
			r.Tail = append(r.Tail, e)
		}
	}
	o := s.opts
	o.ID = id
	o.Seed = uint64(s.now)
	return &simNode{id: id, core: New(o, r), disk: d, rounds: map[uint64]int{}}
}

func (d *simDisk) last() uint64 { return d.start.Index + uint64(len(d.entries)) }

func (d *simDisk) holds(p Position) bool {
	if p == d.start {
		return true
	}
	return p.Index > d.start.Index && p.Index <= d.last() && d.entry(p.Index).Term == p.Term
}

func (d *simDisk) entry(index uint64) Entry { return d.entries[index-d.start.Index-1] }

func (d *simDisk) apply(r Ready) {
	if r.Reset != nil {
		d.start, d.entries = *r.Reset, nil
	}
	for _, e := range r.Entries {
		d.entries = append(slices.Clone(d.entries[:e.Index-d.start.Index-1]), e)
	}
	if r.State != nil {
		d.state = *r.State
	}
}

// processReady carries out the work that the last step of n has produced, and
// checks the invariants.
func (s *sim) processReady(n *simNode) {
	rd := n.core.Ready()
	s.updateLease(n)
	s.inFlight = append(s.inFlight, rd.Messages...)
	if rd.Writes() || len(rd.AfterPersist) > 0 {
		n.pending = append(n.pending, rd)
	}
	n.reads = append(n.reads, rd.Reads...)
	for _, to := range rd.Snapshots {
		s.snapshots = append(s.snapshots, simSnapshot{
			from: n.id, to: to, term: n.core.Term(), at: n.disk.snapshot, config: n.disk.config,
		})
	}
	const maxPool = 150
	if len(s.inFlight) > maxPool {
		s.inFlight = s.inFlight[len(s.inFlight)-maxPool:]
	}
	s.check(n)
	s.finishReads(n)
}

// updateLease tracks the lease of n in ticks, as the owner of a core does with
// its clock.
func (s *sim) updateLease(n *simNode) {
	if n.core.Role() != Leader || n.term != n.core.Term() {
		n.term, n.lease, n.rounds = n.core.Term(), 0, map[uint64]int{}
	}
	if n.core.Role() != Leader {
		return
	}
	if n.core.Seq() != n.seq {
		n.seq = n.core.Seq()
		n.rounds[n.seq] = s.now
	}
	if at, ok := n.rounds[n.core.QuorumSeq()]; ok {
		n.lease = max(n.lease, at+DefaultElectionTicks-3)
	}
	if n.core.Transferring() {
		n.lease = 0
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

func (s *sim) check(n *simNode) {
	c := n.core
	if c.Role() == Leader {
		if other, ok := s.leaders[c.Term()]; !ok {
			s.leaders[c.Term()] = n.id
			s.checkLeaderCompleteness(n)
		} else if other != n.id {
			s.fail("term %d has two leaders, %d and %d", c.Term(), other, n.id)
		}
	}
	for i := n.checked + 1; i <= c.Deliverable(); i++ {
		if i <= n.disk.start.Index {
			continue
		}
		if i > n.disk.last() {
			s.fail("entry %d is deliverable on %d but not durable", i, n.id)
			return
		}
		s.checkCommitted(n, n.disk.entry(i))
	}
	n.checked = c.Deliverable()
	for _, m := range s.nodes {
		s.checkLease(m)
	}
}

func (s *sim) checkCommitted(n *simNode, e Entry) {
	switch {
	case e.Index == uint64(len(s.committed))+1:
		s.committed = append(s.committed, e)
		s.committedIn = append(s.committedIn, n.core.Term())
	case e.Index <= uint64(len(s.committed)):
		want := s.committed[e.Index-1]
		if want.Term != e.Term || string(want.Data) != string(e.Data) {
			s.fail("committed entry %d differs: term %d on %d, term %d elsewhere", e.Index, e.Term, n.id, want.Term)
		}
	default:
		s.fail("entry %d is committed on %d before its predecessors", e.Index, n.id)
	}
}

// checkLeaderCompleteness checks that a new leader holds all entries committed in
// earlier terms. A candidate whose votes arrive late may win a term that is no
// longer the newest, and then lacks entries committed in later terms; it cannot
// commit anything.
func (s *sim) checkLeaderCompleteness(n *simNode) {
	for i, e := range s.committed {
		if e.Index <= n.core.log.start.Index || s.committedIn[i] >= n.core.Term() {
			continue
		}
		if term, ok := n.core.TermAt(e.Index); !ok || term != e.Term {
			s.fail("leader %d of term %d lacks committed entry %d", n.id, n.core.Term(), e.Index)
			return
		}
	}
}

// checkLease checks that no other node leads a later term while the lease of n is
// valid.
func (s *sim) checkLease(n *simNode) {
	if n.down || n.core.Role() != Leader || n.lease <= s.now {
		return
	}
	for _, m := range s.nodes {
		if !m.down && m.core.Role() == Leader && m.core.Term() > n.core.Term() {
			s.fail("%d leads term %d while the lease of %d in term %d is still valid",
				m.id, m.core.Term(), n.id, n.core.Term())
		}
	}
}

// write makes the oldest batch of n durable.
func (s *sim) write(n *simNode) {
	if len(n.pending) == 0 {
		return
	}
	rd := n.pending[0]
	n.pending = n.pending[1:]
	n.disk.apply(rd)
	s.inFlight = append(s.inFlight, rd.AfterPersist...)
	if rd.Writes() {
		n.marks = append(n.marks, rd.Mark)
	}
}

// reportPersisted notifies the core of n that its oldest written batch is
// durable.
func (s *sim) reportPersisted(n *simNode) {
	if len(n.marks) == 0 {
		return
	}
	m := n.marks[0]
	n.marks = n.marks[1:]
	n.core.Persisted(m)
	s.processReady(n)
}

func (s *sim) find(id ID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *sim) live(id ID) *simNode {
	if n := s.find(id); n != nil && !n.down && n.frozen == 0 {
		return n
	}
	return nil
}
