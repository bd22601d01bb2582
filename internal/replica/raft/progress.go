package raft

// progressState is the way in which a leader sends entries to a peer.
type progressState uint8

const (
	// probing means that the matching index is unknown; one Append is in flight
	// at a time.
	probing progressState = iota
	// replicating means that Appends are sent without waiting for replies.
	replicating
	// snapshotting means that the peer needs a snapshot, which the owner sends.
	snapshotting
)

// progress is the state of one peer as known to the leader.
type progress struct {
	state   progressState
	match   uint64 // highest index known to be durable on the peer
	next    uint64 // next index to send
	paused  bool   // an Append is in flight while probing
	reading bool   // entries for the peer are being read from disk

	inflight      []inflight // sent while replicating and not yet acknowledged, oldest first
	inflightBytes int
	sentSeq       uint64 // heartbeat round in which the last Append was sent

	ackSeq       uint64 // highest heartbeat round acknowledged
	sinceContact int    // ticks since the last message from the peer
	lacksSpace   bool   // as of the last HeartbeatReply
	stateLimit   int64  // as of the last HeartbeatReply

	// promoteIndex is the commit index at the first attempt to promote the peer,
	// or zero before that. Requiring the current commit index would be a race
	// that a distant peer never wins under load.
	promoteIndex uint64
}

type inflight struct {
	last  uint64
	bytes int
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.paused = false
	p.clearInflight()
}

func (p *progress) replicate() {
	p.state = replicating
	p.next = max(p.next, p.match+1)
	p.paused = false
}

func (p *progress) clearInflight() {
	p.inflight = nil
	p.inflightBytes = 0
}

// sent records an Append with entries up to last.
func (p *progress) sent(last uint64, bytes int, seq uint64) {
	p.sentSeq = seq
	if p.state == probing {
		p.paused = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, inflight{last: last, bytes: bytes})
	p.inflightBytes += bytes
}

// acked records that the peer holds all entries up to index.
func (p *progress) acked(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	drop := 0
	for drop < len(p.inflight) && p.inflight[drop].last <= index {
		p.inflightBytes -= p.inflight[drop].bytes
		drop++
	}
	p.inflight = p.inflight[drop:]
	if len(p.inflight) == 0 {
		p.clearInflight()
	}
}

// Progress is the state of one member as known to the leader, for status reports.
type Progress struct {
	Peer
	Match        uint64
	AckSeq       uint64 // highest heartbeat round that the member has acknowledged
	SinceContact int    // ticks since the last message from the member
	Snapshot     bool
}

// Progress returns one element for each member. On a replica that does not lead
// only the Peer fields are set.
func (c *Core) Progress() []Progress {
	var out []Progress
	for _, peer := range c.Config().Peers {
		row := Progress{Peer: peer}
		if p := c.progress[peer.ID]; p != nil && c.role == Leader {
			row.Match = p.match
			row.AckSeq = p.ackSeq
			row.SinceContact = p.sinceContact
			row.Snapshot = p.state == snapshotting
		}
		out = append(out, row)
	}
	return out
}

// syncProgress adds and removes entries of progress after a membership change.
func (c *Core) syncProgress() {
	if c.role != Leader {
		return
	}
	config := c.Config()
	for id := range c.progress {
		if _, ok := config.Find(id); !ok {
			delete(c.progress, id)
		}
	}
	for _, p := range config.Peers {
		if c.progress[p.ID] == nil {
			c.progress[p.ID] = &progress{next: c.log.last + 1}
		}
	}
}
