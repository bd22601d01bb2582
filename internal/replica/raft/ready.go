package raft

// Ready is the work that the owner must do after a step. It first sends Messages,
// then makes Reset, Entries and State durable in that order, then sends
// AfterPersist and calls Core.Persisted with Mark. Batches are written in the
// order in which they were returned and may be merged.
type Ready struct {
	Messages     []Message
	Reset        *Position // the log is emptied and then starts after this position
	Entries      []Entry   // replace existing entries from their first index on
	State        *HardState
	AfterPersist []Message
	Mark         Mark // passed to Core.Persisted once the batch is durable
	Reads        []ReadRequest
	Snapshots    []ID // peers that need the newest snapshot
}

// ReadRequest asks for entries for a peer that are no longer in memory. The owner
// passes them to Core.ReadDone.
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

// Writes reports whether the batch contains anything to make durable.
func (r *Ready) Writes() bool {
	return r.Reset != nil || len(r.Entries) > 0 || r.State != nil
}

// append adds entries and drops those of the batch that they replace.
func (r *Ready) append(entries []Entry) {
	first := entries[0].Index
	for n := len(r.Entries); n > 0 && r.Entries[n-1].Index >= first; n-- {
		r.Entries = r.Entries[:n-1]
	}
	r.Entries = append(r.Entries, entries...)
}

// Mark identifies a batch and what it makes durable.
type Mark struct {
	Batch uint64   // number of the batch
	Last  Position // of the last entry, else of the reset; zero if there is neither
	Term  uint64
	Vote  ID
}

// truncation records that a batch shortens the log to index. Entries after it
// that earlier batches have written do not remain on disk.
type truncation struct {
	batch uint64
	index uint64
}

// Ready returns the work produced by the steps since the last call.
func (c *Core) Ready() Ready {
	c.flushAppends()
	out := c.out
	c.out = Ready{}
	state := HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
	changed := state.Term != c.emittedState.Term || state.Vote != c.emittedState.Vote
	// The commit index alone is not worth a write: it is stored along with other
	// changes.
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

// Persisted notifies the core that the batch with mark m and all batches before
// it are durable.
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

// send queues a message that does not depend on any pending write.
func (c *Core) send(m Message) {
	m.From = c.opts.ID
	c.out.Messages = append(c.out.Messages, m)
}

// sendDurable queues a message to be sent after the batch is durable.
func (c *Core) sendDurable(m Message) {
	m.From = c.opts.ID
	if c.opts.unsafe.noPersistWait {
		c.out.Messages = append(c.out.Messages, m)
		return
	}
	c.out.AfterPersist = append(c.out.AfterPersist, m)
}
