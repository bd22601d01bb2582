package raft

import "slices"

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.opts.ID
	c.retryTicks = firstRetryTicks
	c.progress = map[ID]*progress{}
	c.heartbeatElapsed = 0
	c.seq++
	c.transferee = None
	c.syncProgress()
	self := c.progress[c.opts.ID]
	self.match = c.log.persisted
	c.termStart = c.log.last + 1
	c.appendEntries([]Entry{{Index: c.termStart, Term: c.term, Kind: EntryEmpty}})
	c.broadcastHeartbeat()
}

func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.sinceContact++
	}
	if !c.quorumActive() && !c.opts.unsafe.noCheckQuorum {
		c.StepDown()
		return
	}
	if c.transferee != None {
		c.transferElapsed++
		if c.transferElapsed >= c.opts.ElectionTicks {
			// The target may still receive a delayed TimeoutNow, which bypasses
			// the stickiness that the lease depends on. Only a new term makes
			// leases safe again.
			c.StepDown()
			return
		}
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.opts.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.seq++
		c.broadcastHeartbeat()
	}
}

// quorumActive reports whether this leader has received a message from a majority
// of the voters, itself included, within an election timeout.
func (c *Core) quorumActive() bool {
	n := 0
	for _, peer := range c.Config().Peers {
		if !peer.Voter {
			continue
		}
		p := c.progress[peer.ID]
		if peer.ID == c.opts.ID || p != nil && p.sinceContact <= c.opts.ElectionTicks {
			n++
		}
	}
	return n >= c.Config().Quorum()
}

// broadcastHeartbeat sends a heartbeat round twice: unordered, so that it does not wait
// for Appends, and in order, so that the reply shows which Appends were lost.
func (c *Core) broadcastHeartbeat() {
	for _, peer := range c.Config().Peers {
		p := c.progress[peer.ID]
		if peer.ID == c.opts.ID || p == nil {
			continue
		}
		m := Message{
			Kind:   Heartbeat,
			To:     peer.ID,
			Term:   c.term,
			Seq:    c.seq,
			Commit: min(c.log.committed, p.match),
		}
		c.send(m)
		m.Unordered = true
		c.send(m)
	}
}

// Seq returns the number of the last heartbeat round.
func (c *Core) Seq() uint64 { return c.seq }

// QuorumSeq returns the highest heartbeat round that a quorum has acknowledged.
// The owner derives the leader lease from the time at which that round was sent.
func (c *Core) QuorumSeq() uint64 {
	if c.role != Leader {
		return 0
	}
	return c.quorumValue(func(p *progress) uint64 { return p.ackSeq }, c.seq)
}

// quorumValue returns the highest value that a majority of the voters has
// reached. own is the value of this replica.
func (c *Core) quorumValue(of func(*progress) uint64, own uint64) uint64 {
	var values []uint64
	for _, peer := range c.Config().Peers {
		if !peer.Voter {
			continue
		}
		switch p := c.progress[peer.ID]; {
		case peer.ID == c.opts.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.Config().Quorum()]
}

func (c *Core) advanceCommit() {
	own := c.log.persisted
	if c.opts.unsafe.noPersistWait {
		own = c.log.last
	}
	index := c.quorumValue(func(p *progress) uint64 { return p.match }, own)
	if index <= c.log.committed {
		return
	}
	// An entry of an earlier term may still be replaced although a majority holds
	// it. It is committed together with the first entry of this term.
	if term, _ := c.log.term(index); term != c.term && !c.opts.unsafe.noTermCheck {
		return
	}
	c.commitTo(index)
	c.stepDownIfRemoved()
}

// stepDownIfRemoved steps down once the change that removes this leader, or makes
// it a learner, is committed.
func (c *Core) stepDownIfRemoved() {
	if !c.isVoter() && c.configIndex() <= c.log.committed {
		c.StepDown()
	}
}

func (c *Core) stepAppendReply(p *progress, m Message) {
	if m.Reject {
		if m.Rejected <= p.match || p.state == snapshotting {
			return // outdated
		}
		if p.state == probing && m.Rejected != p.next-1 {
			return // outdated
		}
		p.probe(min(m.Index+1, m.Rejected))
		return
	}
	c.recordMatch(p, m.Index)
}

// recordMatch records that a peer durably holds all entries up to index, and
// advances the commit index.
func (c *Core) recordMatch(p *progress, index uint64) {
	if index > c.log.last {
		return
	}
	before := p.match
	p.acked(index)
	switch {
	case p.state == snapshotting && p.match >= c.log.start.Index:
		p.probe(p.match + 1)
	case p.state == probing && (p.match > before || index+1 >= p.next):
		p.replicate()
	}
	c.advanceCommit()
	c.sendTimeoutNow()
}

func (c *Core) stepHeartbeatReply(p *progress, m Message) {
	p.ackSeq = max(p.ackSeq, min(m.Seq, c.seq))
	p.lacksSpace, p.stateLimit = m.LacksSpace, m.StateLimit
	if m.Durable > p.match {
		c.recordMatch(p, m.Durable)
	}
	if m.Unordered {
		return // the round may have overtaken Appends
	}
	switch p.state {
	case probing:
		p.paused = false
	case replicating:
		// The reply to a round that was sent after the last Append shows which
		// entries were lost.
		if m.Seq > p.sentSeq && m.Index+1 < p.next {
			p.probe(m.Index + 1)
		}
	}
}

// flushAppends sends each peer the entries it still needs, as far as flow control
// permits.
func (c *Core) flushAppends() {
	if c.role != Leader {
		return
	}
	for _, peer := range c.Config().Peers {
		p := c.progress[peer.ID]
		if peer.ID == c.opts.ID || p == nil {
			continue
		}
		for c.sendAppend(peer.ID, p) {
		}
	}
}

// sendAppend sends one Append to a peer if it needs one and flow control permits
// it. It returns true if another one may follow. It requests a disk read for
// entries that are no longer in memory, and a snapshot for entries that are no
// longer in the log.
func (c *Core) sendAppend(id ID, p *progress) bool {
	if p.reading || p.paused || p.state == snapshotting {
		return false
	}
	// A peer whose log position is unknown is probed even if there is nothing new
	// to send.
	if p.next > c.log.last && (p.state != probing || p.match == c.log.last) {
		return false
	}
	if p.inflightBytes >= c.opts.MaxInflightBytes {
		return false
	}
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		p.state = snapshotting
		p.clearInflight()
		c.out.Snapshots = append(c.out.Snapshots, id)
		return false
	}
	entries, ok := c.log.slice(p.next, c.opts.MaxAppendBytes)
	if !ok {
		p.reading = true
		c.out.Reads = append(c.out.Reads, ReadRequest{
			Peer: id, First: p.next, Last: c.log.last, Bytes: c.opts.MaxAppendBytes,
		})
		return false
	}
	c.sendEntries(id, p, Position{Index: prev, Term: term}, entries)
	return p.state == replicating
}

func (c *Core) sendEntries(id ID, p *progress, prev Position, entries []Entry) {
	bytes := 0
	for _, e := range entries {
		bytes += entryCost(e)
	}
	c.send(Message{
		Kind: Append, To: id, Term: c.term,
		Prev: prev, Entries: entries, Commit: c.log.committed,
	})
	p.sent(prev.Index+uint64(len(entries)), bytes, c.seq)
}

// ReadDone passes the entries for a ReadRequest to the core. No entries mean that
// they are no longer in the log or were not read; the core then tries again.
func (c *Core) ReadDone(r ReadRequest, entries []Entry) {
	p := c.progress[r.Peer]
	if p == nil || !p.reading {
		return
	}
	p.reading = false
	if c.role != Leader || p.next != r.First || p.paused || p.state == snapshotting {
		return
	}
	prev := r.First - 1
	term, ok := c.log.term(prev)
	if !ok || len(entries) == 0 || !c.log.matches(positionOf(entries[len(entries)-1])) {
		return
	}
	c.sendEntries(r.Peer, p, Position{Index: prev, Term: term}, entries)
}

func positionOf(e Entry) Position { return Position{Index: e.Index, Term: e.Term} }

// SnapshotDone notifies the core that the transfer of a snapshot has ended. The
// peer is probed from the snapshot on if ok is true, and otherwise from the last
// index that it has acknowledged.
func (c *Core) SnapshotDone(id ID, index uint64, ok bool) {
	p := c.progress[id]
	if p == nil || c.role != Leader || p.state != snapshotting {
		return
	}
	if ok {
		p.probe(index + 1)
		return
	}
	p.probe(p.match + 1)
}
