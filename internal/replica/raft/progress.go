package raft

// progressState is how a leader sends entries to one peer.
type progressState uint8

const (
	// probing: where the logs part is unknown; one Append at a time.
	probing progressState = iota
	// replicating: Appends follow each other without waiting.
	replicating
	// snapshotting: the peer needs a snapshot, which the owner sends.
	snapshotting
)

// progress is what a leader knows of one peer.
type progress struct {
	state   progressState
	match   uint64 // highest index known to be durable there
	next    uint64 // first index to send
	paused  bool   // probing: an Append is on its way
	reading bool   // entries are being read from disk for it

	inflight      []inflight // replicating: sent and not acknowledged, oldest first
	inflightBytes int
	sentSeq       uint64 // heartbeat round in which the last Append was sent

	ackSeq       uint64 // highest heartbeat round acknowledged
	sinceContact int    // ticks since the peer was last heard

	// goal is what was committed when the peer was first to be promoted; zero: it
	// was not. To hold what is committed now would be a race that a distant peer
	// never wins under load.
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

// sent notes an Append of entries up to last.
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

// acked notes that the peer holds all entries up to index.
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

// Progress is what a leader knows of one member, for status pages.
type Progress struct {
	Peer
	Match        uint64
	SinceContact int // ticks since the peer was last heard
	Snapshot     bool
}

// Progress returns, on a leader, one row for each member.
func (c *Core) Progress() []Progress {
	var out []Progress
	for _, peer := range c.Config().Peers {
		row := Progress{Peer: peer}
		if p := c.progress[peer.ID]; p != nil && c.role == Leader {
			row.Match = p.match
			row.SinceContact = p.sinceContact
			row.Snapshot = p.state == snapshotting
		}
		out = append(out, row)
	}
	return out
}

// syncProgress adds and drops rows after a change of membership.
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
