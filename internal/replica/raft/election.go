package raft

// Tick advances the time of the core by one tick.
func (c *Core) Tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.ticksSinceLeader++
	c.electionElapsed++
	if c.electionElapsed < c.electionTimeout {
		return
	}
	c.resetElectionTimer()
	if c.ticksSinceLeader >= c.opts.ElectionTicks {
		c.leader = None
	}
	c.campaign()
}

// Campaign starts an election at once if this replica is the only voter. With
// more voters it does nothing: they wait for their election timeout.
func (c *Core) Campaign() {
	if c.soleVoter() && c.role != Leader {
		c.campaign()
	}
}

func (c *Core) campaign() {
	switch {
	case !c.isVoter():
	case c.soleVoter(), c.opts.unsafe.noPreVote:
		c.becomeCandidate(false)
	default:
		c.becomePreCandidate()
	}
}

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.opts.ElectionTicks + c.opts.ElectionDelayTicks + c.rng.IntN(c.opts.ElectionTicks)
}

// SetElectionDelay replaces Options.ElectionDelayTicks. A follower uses the new delay once it
// hears from the leader again.
func (c *Core) SetElectionDelay(ticks int) { c.opts.ElectionDelayTicks = ticks }

// StepDown makes a leader a follower in the same term. The owner calls it if its
// clock shows that no quorum has answered for an election timeout. Ticks alone do
// not show that after the process was frozen.
func (c *Core) StepDown() {
	if c.role == Leader {
		c.becomeFollower(c.term, None)
	}
}

// firstRetryTicks is half of the shortest time until a candidate tries again for the
// first time.
const firstRetryTicks = 2

// resetRetryTimer sets the time until a candidate that has not won tries again.
// It is random, so that two candidates that have split the votes do not split them
// again.
func (c *Core) resetRetryTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.retryTicks + c.rng.IntN(max(c.retryTicks, c.opts.ElectionTicks/2))
}

// lengthenRetries doubles the time until a candidate tries again, up to two election
// timeouts. It is short at first, since the leader is known to be unreachable. Votes that
// arrive after the next try count for nothing, so that a group whose votes take longer
// than that would never elect a leader.
func (c *Core) lengthenRetries() {
	c.retryTicks = min(2*c.retryTicks, 2*c.opts.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader ID) {
	if term != c.term {
		c.vote = None
		c.matched = 0
	}
	c.role = Follower
	c.term = term
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.transferee = None
	c.resetElectionTimer()
}

func (c *Core) becomePreCandidate() {
	c.role = PreCandidate
	c.leader = None
	c.lengthenRetries()
	c.votes = map[ID]bool{c.opts.ID: true}
	c.resetRetryTimer()
	c.requestVotes(PreVote, c.term+1, false)
}

func (c *Core) becomeCandidate(transfer bool) {
	c.role = Candidate
	c.leader = None
	c.term++
	c.matched = 0
	c.vote = c.opts.ID
	c.votes = map[ID]bool{}
	c.resetRetryTimer()
	c.requestVotes(Vote, c.term, transfer)
}

// requestVotes asks the other voters for their votes. A Vote message waits for
// the disk: a candidate that lost its term in a crash could otherwise ask twice
// in one term, with two different logs.
func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, p := range c.Config().Peers {
		if !p.Voter || p.ID == c.opts.ID {
			continue
		}
		m := Message{Kind: kind, To: p.ID, Term: term, Prev: c.log.lastPosition(), Transfer: transfer}
		if kind == PreVote {
			c.send(m)
		} else {
			c.sendDurable(m)
		}
	}
}

// sticky reports whether a live leader may rely on this replica. While it is
// true, no vote is granted to another replica; leader leases depend on that.
func (c *Core) sticky() bool {
	if c.opts.unsafe.noStickiness {
		return false
	}
	return c.role == Leader || c.ticksSinceLeader < c.opts.ElectionTicks
}

// upToDate reports whether a log that ends at p is at least as up to date as this
// one.
func (c *Core) upToDate(p Position) bool {
	last := c.log.lastPosition()
	return p.Term > last.Term || p.Term == last.Term && p.Index >= last.Index
}

func (c *Core) stepPreVote(m Message) {
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term}
	switch {
	case m.Term <= c.term:
		reply.Term = c.term
		reply.Reject = true
	case c.sticky() || !c.upToDate(m.Prev):
		reply.Term = c.term
		reply.Reject = true
	}
	c.send(reply)
}

func (c *Core) stepVote(m Message) {
	if c.sticky() && !m.Transfer {
		// An earlier message from the candidate may have raised the term already.
		return
	}
	reply := Message{Kind: VoteReply, To: m.From, Term: c.term}
	free := c.vote == None && c.leader == None || c.vote == m.From
	if free && c.upToDate(m.Prev) {
		c.vote = m.From
		c.resetElectionTimer()
	} else {
		reply.Reject = true
	}
	c.sendDurable(reply)
}

func (c *Core) countVote(from ID, granted bool) {
	if p, ok := c.Config().Find(from); !ok || !p.Voter {
		return
	}
	if _, seen := c.votes[from]; seen {
		return
	}
	c.votes[from] = granted
	yes, no := 0, 0
	for _, g := range c.votes {
		if g {
			yes++
		} else {
			no++
		}
	}
	quorum := c.Config().Quorum()
	switch {
	case yes >= quorum && c.role == PreCandidate:
		c.becomeCandidate(false)
	case yes >= quorum:
		c.becomeLeader()
	case no >= quorum:
		c.becomeFollower(c.term, None)
		c.resetRetryTimer()
	}
}
