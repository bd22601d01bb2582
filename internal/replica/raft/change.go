package raft

import "errors"

// Errors that the core returns for a refused proposal, membership change or
// transfer.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrTransferring  = errors.New("raft: a leadership transfer is in progress")
	ErrChangePending = errors.New("raft: another membership change is not yet committed")
	ErrNotCaughtUp   = errors.New("raft: the learner has not caught up yet")
	ErrNoSuchPeer    = errors.New("raft: no such member")
	ErrSelf          = errors.New("raft: the leader cannot remove itself; transfer leadership first")
)

// Propose appends data to the log of a leader, one entry for each element. It
// returns ErrNotLeader or ErrTransferring if nothing was appended.
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

// AddLearner adds a member that receives the log and has no vote. For an existing
// member it updates the address.
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

// Promote makes a learner a voter. It returns ErrNotCaughtUp until the learner
// holds all entries that were committed at the first call. Entries committed
// since then need no check, since the change itself is committed only by a quorum
// of the membership that includes the new voter.
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

// Remove removes a member. A leader does not remove itself: it returns ErrSelf,
// and leadership must be transferred first.
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

// checkChangeAllowed returns ErrChangePending while another change is not
// committed, and until an entry of this term is committed: before that, a change
// of an earlier leader may still win.
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

// Transfer starts a transfer of leadership to the responsive voter that holds
// most of the log. It returns ErrNoSuchPeer if there is none.
func (c *Core) Transfer() error {
	return c.transferToOneOf(func(*progress) bool { return true })
}

// TransferToSpace does the same for a leader whose disk lacks space. The target has
// reported in this term that its own does not, and has stored all that this replica has.
func (c *Core) TransferToSpace() error {
	return c.transferToOneOf(func(p *progress) bool {
		return p.ackSeq > 0 && !p.lacksSpace && p.match >= c.log.persisted
	})
}

// SetLacksSpace sets whether the disk of this replica is full or nearly so.
func (c *Core) SetLacksSpace(lacks bool) { c.lacksSpace = lacks }

// SetStateLimit sets the size of the state in bytes that this replica has memory and disk for.
func (c *Core) SetStateLimit(bytes int64) { c.stateLimit = bytes }

// StateLimit returns the least size of the state in bytes that this replica and, on a leader, the
// others have memory and disk for. Zero: none has reported one.
func (c *Core) StateLimit() int64 {
	least := c.stateLimit
	for _, p := range c.progress {
		if p.stateLimit > 0 && (least == 0 || p.stateLimit < least) {
			least = p.stateLimit
		}
	}
	return least
}

func (c *Core) transferToOneOf(eligible func(*progress) bool) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferee != None {
		return nil
	}
	best := c.mostCaughtUp(eligible)
	if best == None {
		return ErrNoSuchPeer
	}
	c.transferee = best
	c.transferElapsed = 0
	c.sendTimeoutNow()
	return nil
}

// mostCaughtUp returns the responsive and eligible voter that holds most of the log, or
// None.
func (c *Core) mostCaughtUp(eligible func(*progress) bool) ID {
	best := None
	for _, peer := range c.Config().Peers {
		p := c.progress[peer.ID]
		if !peer.Voter || peer.ID == c.opts.ID || p == nil || p.sinceContact > c.opts.ElectionTicks || !eligible(p) {
			continue
		}
		if best == None || p.match > c.progress[best].match {
			best = peer.ID
		}
	}
	return best
}

// Transferring reports whether a leadership transfer is in progress. The leader
// lease is void during the transfer, since voters grant votes to the target
// despite their stickiness to the leader.
func (c *Core) Transferring() bool {
	return c.transferee != None && !c.opts.unsafe.leaseDuringTransfer
}

// sendTimeoutNow asks the target of a transfer to campaign once it holds the
// whole log.
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
// which a read must see the log. The read may proceed once QuorumSeq reaches that
// number. ok is false unless this replica is a leader that has committed an entry
// of its term.
func (c *Core) ReadIndex() (seq, index uint64, ok bool) {
	if c.role != Leader || c.log.committed < c.termStart {
		return 0, 0, false
	}
	c.seq++
	c.heartbeatElapsed = 0
	c.broadcastHeartbeat()
	return c.seq, c.log.committed, true
}
