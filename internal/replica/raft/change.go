package raft

import "errors"

// Reasons for which the core refuses a proposal.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrTransferring  = errors.New("raft: leadership is being handed over")
	ErrChangePending = errors.New("raft: a membership change is not yet committed")
	ErrNotCaughtUp   = errors.New("raft: the learner does not hold every committed entry")
	ErrNoSuchPeer    = errors.New("raft: no such member")
	ErrSelf          = errors.New("raft: the leader cannot change its own membership")
)

// Propose appends data to the log of a leader, in order.
func (c *Core) Propose(data [][]byte) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferee != None {
		return ErrTransferring
	}
	entries := make([]Entry, len(data))
	for i, d := range data {
		entries[i] = Entry{Index: c.log.last + 1 + uint64(i), Term: c.term, Data: d}
	}
	c.appendEntries(entries)
	return nil
}

// AddLearner adds a member that gets the log and has no vote.
func (c *Core) AddLearner(id ID, address string) error {
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	if p, ok := c.Config().Find(id); ok && p.Address == address {
		return nil
	}
	if p, ok := c.Config().Find(id); ok && p.Voter {
		return c.proposeConfig(c.Config().with(Peer{ID: id, Address: address, Voter: true}))
	}
	return c.proposeConfig(c.Config().with(Peer{ID: id, Address: address}))
}

// Promote makes a learner a voter, once it holds every entry that was committed
// when this was first asked. What was committed since it holds before the change
// is committed itself, which a quorum with the new voter decides.
func (c *Core) Promote(id ID) error {
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	peer, ok := c.Config().Find(id)
	if !ok {
		return ErrNoSuchPeer
	}
	if peer.Voter {
		return nil
	}
	p := c.progress[id]
	if p.promoteIndex == 0 {
		p.promoteIndex = c.log.committed
	}
	if !c.opts.unsafe.promoteLagging && (p.match < p.promoteIndex || p.sinceContact > c.opts.ElectionTicks) {
		return ErrNotCaughtUp
	}
	peer.Voter = true
	return c.proposeConfig(c.Config().with(peer))
}

// Remove takes a member out. A leader does not remove itself: it hands over first.
func (c *Core) Remove(id ID) error {
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	if id == c.opts.ID {
		return ErrSelf
	}
	if _, ok := c.Config().Find(id); !ok {
		return nil
	}
	return c.proposeConfig(c.Config().without(id))
}

// checkChangeAllowed refuses a change while another is open, and before an entry of this
// term is committed: until then an earlier leader's change may still win.
func (c *Core) checkChangeAllowed() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferee != None {
		return ErrTransferring
	}
	pending := c.configIndex() > c.log.committed || c.log.committed < c.termStart
	if pending && !c.opts.unsafe.overlappingChanges {
		return ErrChangePending
	}
	return nil
}

func (c *Core) proposeConfig(config Config) error {
	e := Entry{Index: c.log.last + 1, Term: c.term, Kind: EntryConfig, Data: config.Encode()}
	c.appendEntries([]Entry{e})
	return nil
}

// ChangePending reports whether a membership change is not yet committed.
func (c *Core) ChangePending() bool { return c.configIndex() > c.log.committed }

// Transfer hands leadership to the live voter that holds most of the log.
func (c *Core) Transfer() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferee != None {
		return nil
	}
	best := None
	for _, peer := range c.Config().Peers {
		p := c.progress[peer.ID]
		if !peer.Voter || peer.ID == c.opts.ID || p == nil || p.sinceContact > c.opts.ElectionTicks {
			continue
		}
		if best == None || p.match > c.progress[best].match {
			best = peer.ID
		}
	}
	if best == None {
		return ErrNoSuchPeer
	}
	c.transferee = best
	c.transferElapsed = 0
	c.sendTimeoutNow()
	return nil
}

// Transferring reports whether leadership is being handed over. Meanwhile the
// leader lease is void, since votes are granted past the stickiness of voters.
func (c *Core) Transferring() bool {
	return c.transferee != None && !c.opts.unsafe.leaseDuringTransfer
}

// sendTimeoutNow tells the target to campaign once it holds the whole log.
func (c *Core) sendTimeoutNow() {
	if c.role != Leader || c.transferee == None {
		return
	}
	if p := c.progress[c.transferee]; p == nil || p.match < c.log.last {
		return
	}
	c.send(Message{Kind: TimeoutNow, To: c.transferee, Term: c.term})
}

// ReadIndex starts a heartbeat round and returns its number and the index up to
// which a read must see the log. The read may go on once QuorumSeq reaches the
// number. It reports false where this replica is not a leader that has
// committed an entry of its term.
func (c *Core) ReadIndex() (seq, index uint64, ok bool) {
	if c.role != Leader || c.log.committed < c.termStart {
		return 0, 0, false
	}
	c.seq++
	c.heartbeatElapsed = 0
	c.broadcastHeartbeat()
	return c.seq, c.log.committed, true
}
