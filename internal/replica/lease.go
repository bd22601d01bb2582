package replica

import (
	"math"
	"time"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// lease tracks when heartbeat rounds were sent, and with it until when a quorum
// is bound to this leader. A late answer extends nothing: it counts from when
// its round was sent.
type lease struct {
	term         uint64
	rounds       []round       // sent and not yet answered by a quorum, oldest first
	quorumSentAt time.Duration // send time of the newest answered round, or start of the term
	acked        bool          // a round of this term was answered
}

type round struct {
	seq    uint64
	sentAt time.Duration
}

// note records a round that is about to be sent and answers that came in.
func (l *lease) record(c *raft.Core, now time.Duration) {
	if c.Role() != raft.Leader {
		*l = lease{}
		return
	}
	if l.term != c.Term() {
		*l = lease{term: c.Term(), quorumSentAt: now}
	}
	answered := c.QuorumSeq()
	newest := uint64(0)
	if k := len(l.rounds); k > 0 {
		newest = l.rounds[k-1].seq
	}
	if c.Seq() > newest && c.Seq() > answered {
		l.rounds = append(l.rounds, round{seq: c.Seq(), sentAt: now})
	}
	drop := 0
	for drop < len(l.rounds) && l.rounds[drop].seq <= answered {
		l.quorumSentAt = l.rounds[drop].sentAt
		l.acked = true
		drop++
	}
	l.rounds = l.rounds[drop:]
}

// updateLease publishes the end of the lease.
func (n *Node) updateLease() {
	switch {
	case n.core.Role() != raft.Leader || n.core.Transferring():
		n.leaseUntil.Store(0)
	case n.core.Config().Voters() == 1:
		n.leaseUntil.Store(math.MaxInt64)
	case n.lease.acked:
		n.leaseUntil.Store(int64(n.lease.quorumSentAt + n.leaseLength()))
	default:
		n.leaseUntil.Store(0)
	}
}

// leaseLength is shorter than the time for which voters stay with a leader that
// they have heard, by the ticks that they may count too many and by the drift.
func (n *Node) leaseLength() time.Duration {
	d := n.opts.Tick * (raft.DefaultElectionTicks - leaseSlackTicks)
	return time.Duration(float64(d) * (1 - n.opts.ClockDrift))
}
