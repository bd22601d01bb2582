package raft

import "math"

// Step handles a message from another replica. Messages may be lost, delayed,
// duplicated and reordered. Malformed messages and those for another replica are
// ignored.
func (c *Core) Step(m Message) {
	if m.To != c.opts.ID || m.From == c.opts.ID || m.From == None || !m.wellFormed() {
		return
	}
	switch {
	case m.Term > c.term:
		if !c.handleHigherTerm(m) {
			return
		}
	case m.Term < c.term:
		c.replyStale(m)
		return
	}
	c.dispatch(m)
}

// wellFormed reports whether the entries directly follow Prev, with terms that
// never decrease and do not exceed the term of the message.
func (m Message) wellFormed() bool {
	at := m.Prev
	if at.Index > math.MaxUint64-uint64(len(m.Entries)) || m.Term == math.MaxUint64 {
		return false
	}
	for _, e := range m.Entries {
		if e.Index != at.Index+1 || e.Term < at.Term || e.Term > m.Term {
			return false
		}
		at = positionOf(e)
	}
	return true
}

// handleHigherTerm handles a message of a later term. It returns false if the
// message needs no further handling.
func (c *Core) handleHigherTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if !m.Reject {
			return true
		}
		c.becomeFollower(m.Term, None)
		return false
	case Vote:
		if c.sticky() && !m.Transfer {
			return false
		}
		c.becomeFollower(m.Term, None)
	case Append, Heartbeat:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, None)
	}
	return true
}

// replyStale answers a message of an earlier term with the current term, so that
// a partitioned leader steps down and a lagging candidate catches up.
func (c *Core) replyStale(m Message) {
	switch m.Kind {
	case PreVote:
		c.send(Message{Kind: PreVoteReply, To: m.From, Term: c.term, Reject: true})
	case Append, Heartbeat:
		c.sendDurable(Message{Kind: HeartbeatReply, To: m.From, Term: c.term})
	}
}

func (c *Core) dispatch(m Message) {
	switch m.Kind {
	case PreVote:
		c.stepPreVote(m)
	case PreVoteReply:
		if c.role == PreCandidate && (m.Reject || m.Term == c.term+1) {
			c.countVote(m.From, !m.Reject)
		}
	case Vote:
		c.stepVote(m)
	case VoteReply:
		if c.role == Candidate {
			c.countVote(m.From, !m.Reject)
		}
	case Append:
		if c.recordLeaderContact(m.From) {
			c.stepAppend(m)
		}
	case Heartbeat:
		if c.recordLeaderContact(m.From) {
			c.stepHeartbeat(m)
		}
	case AppendReply:
		if p := c.recordPeerContact(m.From); p != nil {
			c.stepAppendReply(p, m)
		}
	case HeartbeatReply:
		if p := c.recordPeerContact(m.From); p != nil {
			c.stepHeartbeatReply(p, m)
		}
	case TimeoutNow:
		if c.role == Follower && m.From == c.leader && c.isVoter() {
			c.becomeCandidate(true)
		}
	}
}

// recordLeaderContact records a message from the leader of the current term. It
// returns false if this replica is itself the leader.
func (c *Core) recordLeaderContact(leader ID) bool {
	if c.role == Leader {
		return false
	}
	if c.role != Follower {
		c.becomeFollower(c.term, leader)
	}
	c.leader = leader
	c.retryTicks = firstRetryTicks
	c.ticksSinceLeader = 0
	c.resetElectionTimer()
	return true
}

// recordPeerContact records a reply to this leader and returns the progress of
// the peer, or nil if there is none.
func (c *Core) recordPeerContact(from ID) *progress {
	if c.role != Leader {
		return nil
	}
	p := c.progress[from]
	if p != nil {
		p.sinceContact = 0
	}
	return p
}

func (c *Core) stepAppend(m Message) {
	reply := Message{Kind: AppendReply, To: m.From, Term: c.term}
	if m.Prev.Index < c.log.committed {
		// Committed entries always match; skip them.
		m = m.after(c.log.committed)
		if m.Prev.Index < c.log.committed {
			reply.Index = c.log.committed
			c.sendDurable(reply)
			return
		}
	}
	if m.Prev.Index != c.log.committed && !c.log.matches(m.Prev) {
		reply.Reject = true
		reply.Rejected = m.Prev.Index
		reply.Index = c.retryIndex(m.Prev.Index)
		c.sendDurable(reply)
		return
	}
	last := m.Prev.Index + uint64(len(m.Entries))
	c.appendEntries(c.missingEntries(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.matched = max(c.matched, last)
	reply.Index = last
	c.sendDurable(reply)
}

// after returns m without the entries up to index, or m itself if it does not
// reach that far.
func (m Message) after(index uint64) Message {
	skip := index - m.Prev.Index
	if skip > uint64(len(m.Entries)) {
		return m
	}
	last := m.Entries[skip-1]
	m.Prev = Position{Index: last.Index, Term: last.Term}
	m.Entries = m.Entries[skip:]
	return m
}

// missingEntries returns the entries starting with the first one that the log
// does not contain.
func (c *Core) missingEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if !c.log.matches(Position{Index: e.Index, Term: e.Term}) {
			return entries[i:]
		}
	}
	return nil
}

// retryIndex returns the highest index before rejected at which the logs may
// still match. It skips the whole run of a conflicting term.
func (c *Core) retryIndex(rejected uint64) uint64 {
	if rejected > c.log.last {
		return c.log.last
	}
	return max(c.log.firstOfTerm(rejected)-1, c.log.committed)
}

func (c *Core) stepHeartbeat(m Message) {
	c.commitTo(m.Commit)
	c.send(Message{
		Kind:    HeartbeatReply,
		To:      m.From,
		Term:    c.term,
		Seq:     m.Seq,
		Index:   c.matched,
		Durable: min(c.matched, c.log.persisted),

		Unordered:  m.Unordered,
		LacksSpace: c.lacksSpace,
		StateLimit: c.stateLimit,
	})
}
