package raft

// Ready is what the owner must do after a step. It first sends Messages, then
// makes Reset, Entries and State durable in that order, then sends
// AfterPersist and calls Core.Persisted with Mark. Batches are written in the
// order in which they were taken, and may be joined.
type Ready struct {
	Messages     []Message
	Reset        *Position // the log is emptied and starts after this position
	Entries      []Entry   // an index that is held already cuts the log before it
	State        *HardState
	AfterPersist []Message
	Mark         Mark // goes to Core.Persisted once the batch is durable
	Reads        []ReadRequest
	Snapshots    []ID // peers that need the newest snapshot
}

// ReadRequest asks for entries that are no longer in memory, for a peer. The
// answer goes to Core.ReadDone.
type ReadRequest struct {
	Peer  ID
	First uint64
	Last  uint64
	Bytes int
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Messages) == 0 && !r.Writes() && len(r.AfterPersist) == 0 &&
		len(r.Reads) == 0 && len(r.Snapshots) == 0
}

// Writes reports whether something must become durable.
func (r *Ready) Writes() bool {
	return r.Reset != nil || len(r.Entries) > 0 || r.State != nil
}

// append adds entries; ones that were to be written and are now replaced go.
func (r *Ready) append(entries []Entry) {
	first := entries[0].Index
	for n := len(r.Entries); n > 0 && r.Entries[n-1].Index >= first; n-- {
		r.Entries = r.Entries[:n-1]
	}
	r.Entries = append(r.Entries, entries...)
}

// Mark names what a batch makes durable.
type Mark struct {
	Batch uint64   // number of the batch
	Last  Position // of the last entry, or of the reset; zero where there is none
	Term  uint64
	Vote  ID
}

// cut is a shortening of the log that goes to disk with a batch. What earlier
// batches have written beyond it does not stay.
type truncation struct {
	batch uint64
	index uint64
}

// Ready takes the work that the steps since the last call have brought.
func (c *Core) Ready() Ready {
	c.flushAppends()
	out := c.out
	c.out = Ready{}
	state := HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
	changed := state.Term != c.emittedState.Term || state.Vote != c.emittedState.Vote
	// The commit index alone is not worth a write: it rides along with others.
	if changed || (len(out.Entries) > 0 || out.Reset != nil) && state != c.emittedState {
		out.State = &state
		c.emittedState = state
	}
	out.Mark = Mark{Batch: c.nextBatch, Term: c.term, Vote: c.vote}
	c.nextBatch++
	if out.Reset != nil {
		out.Mark.Last = *out.Reset
	}
	if n := len(out.Entries); n > 0 {
		e := out.Entries[n-1]
		out.Mark.Last = Position{Index: e.Index, Term: e.Term}
	}
	c.log.trim()
	return out
}

// Persisted tells the core that the batch with mark m, and all before it, are
// durable.
func (c *Core) Persisted(m Mark) {
	c.recordPersisted(m)
	switch c.role {
	case Candidate:
		if m.Term == c.term && m.Vote == c.opts.ID {
			c.countVote(c.opts.ID, true)
		}
	case Leader:
		if p := c.progress[c.opts.ID]; p != nil {
			p.match = max(p.match, c.log.persisted)
			c.advanceCommit()
		}
	}
}

func (c *Core) recordPersisted(m Mark) {
	index := m.Last.Index
	kept := c.truncations[:0]
	for _, t := range c.truncations {
		if t.batch > m.Batch {
			index = min(index, t.index)
			kept = append(kept, t)
		}
	}
	c.truncations = kept
	if index > c.log.persisted && c.log.matches(m.Last) {
		c.log.persisted = index
	}
}

// send queues a message that rests on nothing that is still to be written.
func (c *Core) send(m Message) {
	m.From = c.opts.ID
	c.out.Messages = append(c.out.Messages, m)
}

// sendDurable queues a message for after the next write.
func (c *Core) sendDurable(m Message) {
	m.From = c.opts.ID
	if c.opts.unsafe.noPersistWait {
		c.out.Messages = append(c.out.Messages, m)
		return
	}
	c.out.AfterPersist = append(c.out.AfterPersist, m)
}
