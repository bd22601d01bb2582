package replica

import (
	"math"
	"time"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// lease tracks when heartbeat rounds were sent, and from that until when a quorum
// is bound to this leader. The lease counts from the send time of an acknowledged
// round, so a late acknowledgement does not extend it.
type lease struct {
	term         uint64
	rounds       []round       // sent and not yet acknowledged by a quorum, oldest first
	quorumSentAt time.Duration // send time of the newest round acknowledged by a quorum, or start of the term
	acked        bool          // a quorum has acknowledged a round of this term
}

type round struct {
	seq    uint64
	sentAt time.Duration
}

// record notes a round that is about to be sent, and the acknowledgements
// received so far.
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

// quorumLost reports whether a leader has to step down at now: the newest round that a
// quorum has acknowledged was sent more than an election timeout ago, and no younger one
// is under way that is not yet late. A leader that had no processor may have sent its next
// round only just now; until a quorum acknowledges it, the lease has ended all the same.
func (l *lease) quorumLost(now, tick time.Duration) bool {
	// A round that was sent in time is late when the election timeout has passed.
	const lateTicks = raft.DefaultElectionTicks - raft.DefaultHeartbeatTicks
	if now-l.quorumSentAt <= tick*raft.DefaultElectionTicks {
		return false
	}
	return len(l.rounds) == 0 || now-l.rounds[0].sentAt > tick*lateTicks
}

// updateLease publishes the time at which the lease ends.
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

// leaseLength returns the length of the lease. It is shorter than the election
// timeout, during which voters stay with a leader after its last heartbeat, by
// the ticks that they may count too many (leaseSlackTicks) and by the clock
// drift.
func (n *Node) leaseLength() time.Duration {
	d := n.opts.Tick * (raft.DefaultElectionTicks - leaseSlackTicks)
	return time.Duration(float64(d) * (1 - n.opts.ClockDrift))
}
