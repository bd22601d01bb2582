package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

const (
	// timingPeriod is the time between log lines about what acknowledgements wait for.
	timingPeriod = 2 * time.Second
	// maxTimedRounds limits the heartbeat rounds whose send times are kept. It is many
	// times the rounds of an election timeout.
	maxTimedRounds = 256
)

// PathStats describes the path of a transport to a replica. Fields that the transport
// does not know are zero.
type PathStats struct {
	SendWait     time.Duration // longest time of a message in the send queue since the last call
	LongestWrite time.Duration // longest write of a batch of messages since the last call
	LargestBatch int           // bytes of the largest batch since the last call
	Bytes        int           // bytes of messages sent since the last call
	PromptWait   time.Duration // longest time in the send queue of a message that is not delivered in order

	RTT              time.Duration // smoothed round-trip time of the connection
	LatestRTT        time.Duration // last sample of it
	MinRTT           time.Duration // smallest sample of it
	CongestionWindow uint64        // bytes that may be in flight on the connection
	PacketsLost      uint64        // packets of the connection that were declared lost
}

// PathObserver is implemented by transports that measure their paths.
type PathObserver interface {
	PathStats(address string) PathStats
	// ReceiveDrops returns the number of packets that were dropped because the receive
	// buffer was full.
	ReceiveDrops() (uint64, error)
}

// timing measures what the acknowledgements of the group wait for. Only the loop
// accesses it.
type timing struct {
	metrics *metrics
	sched   *obs.SchedWait
	term    uint64
	rounds  []round // sent in this term, oldest first
	quorum  uint64  // newest round that a quorum has acknowledged
	peers   map[ID]*peerTiming
	drops   uint64 // received packets dropped, at the last report
	since   timingReport
}

// peerTiming is what a leader knows of the acknowledgements of one replica.
type peerTiming struct {
	acked      uint64        // newest heartbeat round acknowledged
	sentAt     time.Duration // when that round was sent; the start of the term if none is acknowledged
	longestAck time.Duration // from the sending of a round to its acknowledgement, since the last report
}

// timingReport holds the longest times since from.
type timingReport struct {
	from      time.Duration
	tickDelay time.Duration // from a due tick to its handling
	roundGap  time.Duration // between heartbeat rounds
	inboxWait time.Duration // of a message or acknowledgement in the inbox
	turn      time.Duration // of one turn of the loop
	quorumAck time.Duration // from the sending of a round to its acknowledgement by a quorum
	quorumAge time.Duration // since the sending of the newest round acknowledged by a quorum
}

func newTiming(m *metrics, now time.Duration) timing {
	return timing{metrics: m, sched: obs.NewSchedWait(), peers: map[ID]*peerTiming{}, since: timingReport{from: now}}
}

// tick records that a tick which was due at due is handled.
func (t *timing) tick(due time.Time) {
	d := max(time.Since(due), 0)
	t.metrics.tickDelay.Observe(d.Seconds())
	t.since.tickDelay = max(t.since.tickDelay, d)
}

// take records that messages are handled which have waited in the inbox for wait.
func (t *timing) take(wait time.Duration) {
	t.metrics.inboxWait.Observe(wait.Seconds())
	t.since.inboxWait = max(t.since.inboxWait, wait)
}

// endTurn records that the loop has worked for d without taking input.
func (t *timing) endTurn(d time.Duration) { t.since.turn = max(t.since.turn, d) }

// observe records the rounds that a leader is about to send, and the acknowledgements
// that the core has received. On a replica that does not lead it does nothing.
func (t *timing) observe(c *raft.Core, quorumSentAt, now time.Duration) {
	if c.Role() != raft.Leader {
		return
	}
	if t.term != c.Term() {
		t.term, t.rounds, t.quorum = c.Term(), nil, 0
		clear(t.peers)
	}
	t.addRound(c.Seq(), now)
	if acked := c.QuorumSeq(); acked > t.quorum {
		t.quorum = acked
		if sentAt, ok := t.sentAt(acked); ok && c.Config().Voters() > 1 {
			t.metrics.quorumAck.Observe((now - sentAt).Seconds())
			t.since.quorumAck = max(t.since.quorumAck, now-sentAt)
		}
	}
	for _, p := range c.Progress() {
		if p.ID != c.ID() {
			t.observePeer(p, now)
		}
	}
	t.since.quorumAge = max(t.since.quorumAge, now-quorumSentAt)
}

func (t *timing) addRound(seq uint64, now time.Duration) {
	n := len(t.rounds)
	if n > 0 && t.rounds[n-1].seq >= seq {
		return
	}
	if n > 0 {
		t.since.roundGap = max(t.since.roundGap, now-t.rounds[n-1].sentAt)
	}
	if n == maxTimedRounds {
		t.rounds = slices.Delete(t.rounds, 0, n/2)
	}
	t.rounds = append(t.rounds, round{seq: seq, sentAt: now})
}

func (t *timing) sentAt(seq uint64) (time.Duration, bool) {
	i, ok := slices.BinarySearchFunc(t.rounds, seq, func(r round, seq uint64) int {
		switch {
		case r.seq < seq:
			return -1
		case r.seq > seq:
			return 1
		}
		return 0
	})
	if !ok {
		return 0, false
	}
	return t.rounds[i].sentAt, true
}

func (t *timing) observePeer(p raft.Progress, now time.Duration) {
	peer := t.peers[p.ID]
	if peer == nil {
		peer = &peerTiming{sentAt: now}
		t.peers[p.ID] = peer
	}
	if p.AckSeq <= peer.acked {
		return
	}
	peer.acked = p.AckSeq
	if sentAt, ok := t.sentAt(p.AckSeq); ok {
		peer.sentAt = sentAt
		peer.longestAck = max(peer.longestAck, now-sentAt)
		t.metrics.peerAck.Observe((now - sentAt).Seconds())
	}
}

// logTimingIfDue logs, every timingPeriod, what acknowledgements have waited for.
func (n *Node) logTimingIfDue() {
	if n.opts.Now()-n.timing.since.from >= timingPeriod && n.core.Config().Voters() > 1 {
		n.logTiming("timing of the group")
	}
}

// logTiming logs the longest times since its last call, and starts anew.
func (n *Node) logTiming(msg string) {
	now := n.opts.Now()
	t := &n.timing
	r := t.since
	t.since = timingReport{from: now}
	p99, longest := t.sched.Take()
	n.logger.Info(msg, "role", n.core.Role(), "term", n.core.Term(),
		"over_ms", (now - r.from).Milliseconds(),
		"quorum_ack_ms", milliseconds(r.quorumAck), "quorum_age_ms", milliseconds(r.quorumAge),
		"round_gap_ms", milliseconds(r.roundGap), "tick_delay_ms", milliseconds(r.tickDelay),
		"inbox_wait_ms", milliseconds(r.inboxWait), "turn_ms", milliseconds(r.turn),
		"disk_ms", milliseconds(time.Duration(n.writer.longest.Swap(0))),
		"sched_p99_ms", milliseconds(p99), "sched_max_ms", milliseconds(longest),
		"receive_drops", n.receiveDrops(), "peers", n.peerFields(now))
}

func milliseconds(d time.Duration) float64 { return float64(d.Round(100*time.Microsecond)) / 1e6 }

// receiveDrops returns the number of packets dropped on receipt since its last call, or
// "unknown".
func (n *Node) receiveDrops() string {
	observer, ok := n.opts.Transport.(PathObserver)
	if !ok {
		return "unknown"
	}
	total, err := observer.ReceiveDrops()
	if err != nil {
		return "unknown"
	}
	d := total - n.timing.drops
	n.timing.drops = total
	return fmt.Sprint(d)
}

// peerFields describes the other replicas and the paths to them, with times in
// milliseconds: the longest acknowledgement, the age of the newest acknowledged round,
// the longest wait in the send queue, of messages delivered promptly and of those in
// order, and the longest write, the bytes of the largest
// batch and of all, the round-trip time (smoothed, last, smallest), the congestion window
// in bytes and the packets lost.
func (n *Node) peerFields(now time.Duration) string {
	observer, _ := n.opts.Transport.(PathObserver)
	var out []string
	for _, p := range n.core.Config().Peers {
		if p.ID == n.identity.ID {
			continue
		}
		out = append(out, n.peerField(p, observer, now))
	}
	return strings.Join(out, "; ")
}

func (n *Node) peerField(p raft.Peer, observer PathObserver, now time.Duration) string {
	s := p.Address
	peer := n.timing.peers[p.ID]
	if peer != nil && n.timing.term == n.core.Term() {
		s += fmt.Sprintf(" ack=%g age=%g", milliseconds(peer.longestAck), milliseconds(now-peer.sentAt))
		peer.longestAck = 0
	}
	if observer == nil {
		return s
	}
	path := observer.PathStats(p.Address)
	return s + fmt.Sprintf(" prompt=%g queue=%g write=%g batch=%d bytes=%d rtt=%g/%g/%g window=%d lost=%d",
		milliseconds(path.PromptWait), milliseconds(path.SendWait), milliseconds(path.LongestWrite), path.LargestBatch, path.Bytes,
		milliseconds(path.RTT), milliseconds(path.LatestRTT), milliseconds(path.MinRTT), path.CongestionWindow, path.PacketsLost)
}
