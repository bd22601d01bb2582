package raft

import (
	"fmt"
	"slices"
)

// step makes one choice and carries it out.
func (s *sim) step() {
	n := s.nodes[s.choose(len(s.nodes))]
	if n.down {
		if s.choose(8) == 0 {
			s.restart(n)
		}
		return
	}
	switch k := s.choose(1000); {
	case k < 450:
		s.deliver()
	case k < 700:
		if n.frozen == 0 {
			s.write(n)
			if s.choose(4) != 0 {
				s.reportPersisted(n)
			}
		}
	case k < 820:
		s.tick()
	case k < 890:
		s.propose(s.leader(n))
	case k < 920:
		s.read(s.leader(n))
	case k < 950:
		s.snapshotOrRead(n)
	case s.noFaults:
	case k < 980:
		s.change(s.leader(n))
	case k < 984:
		n.frozen = s.choose(2 * DefaultElectionTicks)
	case k < 988:
		s.transfer(s.leader(n))
	case k < 998:
		s.crash(n)
	case !s.keepDisks && s.choose(10) == 0:
		s.loseDisk(n)
	}
}

// leader returns a leader if there is one, and n otherwise.
func (s *sim) leader(n *simNode) *simNode {
	for _, m := range s.nodes {
		if !m.down && m.core.Role() == Leader && (s.choose(2) == 0 || n.core.Role() != Leader) {
			return m
		}
	}
	return n
}

func (s *sim) run(steps int) error {
	for range steps {
		s.step()
		if s.violation != nil {
			return s.violation
		}
	}
	return nil
}

// tick advances the time by one tick for all nodes that are neither down nor
// frozen.
func (s *sim) tick() {
	s.now++
	for _, n := range s.nodes {
		switch {
		case n.down:
		case n.frozen > 0:
			n.frozen--
		default:
			n.core.Tick()
			s.processReady(n)
		}
	}
}

func (s *sim) deliver() {
	if s.choose(20) == 0 {
		s.deliverSnapshot()
		return
	}
	if len(s.inFlight) == 0 {
		return
	}
	i := 0
	if s.choose(3) == 0 {
		i = s.choose(len(s.inFlight))
	}
	m := s.inFlight[i]
	outcome := s.choose(20)
	if outcome != 0 { // otherwise it stays in flight and is delivered again
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if outcome == 1 {
		return // lost
	}
	if n := s.live(m.To); n != nil {
		n.core.Step(m)
		s.processReady(n)
	}
}

func (s *sim) deliverSnapshot() {
	if len(s.snapshots) == 0 {
		return
	}
	i := s.choose(len(s.snapshots))
	snap := s.snapshots[i]
	if n := s.find(snap.from); n != nil && !n.down && n.frozen > 0 {
		return // the sender resumes or aborts the transfer after the freeze
	}
	s.snapshots = slices.Delete(s.snapshots, i, i+1)
	to, from := s.live(snap.to), s.live(snap.from)
	arrived := to != nil && s.choose(4) != 0
	if arrived && snap.term >= to.core.Term() {
		if snap.at.Index > to.core.Commit() {
			to.disk.snapshot, to.disk.config = snap.at, snap.config
			to.core.Restore(snap.at, snap.config)
		}
		s.processReady(to)
	}
	if from != nil {
		from.core.SnapshotDone(snap.to, snap.at.Index, arrived)
		s.processReady(from)
	}
}

func (s *sim) propose(n *simNode) {
	if n.down || n.frozen > 0 || n.core.Role() != Leader || !s.history.mayWrite() {
		return
	}
	s.proposed++
	value := fmt.Sprint(s.proposed)
	if n.core.Propose([][]byte{[]byte(value)}) != nil {
		return
	}
	if s.history != nil {
		s.history.beginWrite(n.core.Last(), value)
	}
	s.processReady(n)
}

// snapshotOrRead answers reads of old entries, and sometimes takes a snapshot and
// compacts the log.
func (s *sim) snapshotOrRead(n *simNode) {
	if n.down || n.frozen > 0 {
		return
	}
	s.answerReads(n)
	index := n.core.Deliverable()
	if s.choose(3) != 0 || index <= n.disk.snapshot.Index || index <= n.disk.start.Index {
		return
	}
	n.disk.snapshot = positionOf(n.disk.entry(index))
	n.disk.config = n.core.ConfigAt(index)
	keep := uint64(s.choose(4))
	if index <= keep || index-keep <= n.disk.start.Index || len(n.pending) > 0 {
		return
	}
	at := positionOf(n.disk.entry(index - keep))
	n.disk.entries = slices.Clone(n.disk.entries[at.Index-n.disk.start.Index:])
	n.disk.start = at
	n.core.Compact(at)
	s.processReady(n)
}

// answerReads passes the requested old entries to the core of n.
func (s *sim) answerReads(n *simNode) {
	reads := n.reads
	n.reads = nil
	for _, q := range reads {
		var entries []Entry
		for i := q.First; i > n.disk.start.Index && i <= n.disk.last() && len(entries) < 3; i++ {
			entries = append(entries, n.disk.entry(i))
		}
		n.core.ReadDone(q, entries)
		s.processReady(n)
	}
}

// change proposes a membership change.
func (s *sim) change(n *simNode) {
	if n.down || n.frozen > 0 || n.core.Role() != Leader {
		return
	}
	target := s.nodes[s.choose(len(s.nodes))]
	switch s.choose(3) {
	case 0:
		_ = n.core.AddLearner(target.id, fmt.Sprint(target.id))
	case 1:
		_ = n.core.Promote(target.id)
	default:
		if n.core.Config().Voters() > 1 {
			_ = n.core.Remove(target.id)
		}
	}
	s.processReady(n)
}

func (s *sim) transfer(n *simNode) {
	if !n.down && n.frozen == 0 {
		_ = n.core.Transfer()
		s.processReady(n)
	}
}

// crash stops n. Any number of its pending batches, oldest first, may have become
// durable.
func (s *sim) crash(n *simNode) {
	n.down = true
	n.pendingReads = nil
	for range s.choose(len(n.pending) + 1) {
		n.disk.apply(n.pending[0])
		n.pending = n.pending[1:]
	}
}

func (s *sim) restart(n *simNode) {
	*n = *s.startNode(n.id, n.disk)
	s.processReady(n)
}

// loseDisk stops n and removes its disk. The replica starts with an empty disk
// under a new identity and is not a member until it is added.
func (s *sim) loseDisk(n *simNode) {
	const maxNodes = 8
	if len(s.nodes) >= maxNodes {
		return
	}
	if s.reuseIdentity {
		*n = *s.startNode(n.id, simDisk{})
		s.processReady(n)
		return
	}
	s.crash(n)
	s.nextID++
	*n = *s.startNode(s.nextID, simDisk{})
	s.processReady(n)
}
