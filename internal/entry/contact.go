package entry

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	contactInterval = 20 * time.Millisecond // between observations while calls are in flight
	// pingLeaderAfter is how long the leader may be silent while calls wait for it. It is
	// above the usual response times, so that a ping is sent for few calls only.
	pingLeaderAfter = 150 * time.Millisecond
	// minPingWait and maxPingWait bound the wait for a packet after a ping. Between them it is
	// a multiple of the round-trip time, which grows when either end is short of processor time.
	minPingWait  = 100 * time.Millisecond
	maxPingWait  = 500 * time.Millisecond
	pingWaitRTTs = 4
)

// contact judges from the packets that arrive from the leader, while calls wait for it,
// whether it can be reached.
type contact struct {
	last   wire.Reception
	at     time.Time     // of the last observation
	silent time.Duration // without a packet, as far as this process ran meanwhile
	pinged bool          // since the last packet
}

// verdict is what an observation of the leader leads to.
type verdict int

const (
	leaderHeard  verdict = iota // or not silent for long yet
	leaderPing                  // it must be pinged now
	leaderSilent                // no packet has come from it after calls and a ping
)

// observe returns the verdict at now, when r is the reception from the leader and rtt the
// round-trip time to it.
func (c *contact) observe(now time.Time, r wire.Reception, rtt time.Duration) verdict {
	// Time for which this process did not run is not counted: packets that have arrived
	// meanwhile are not processed yet.
	step := min(now.Sub(c.at), 2*contactInterval)
	c.at = now
	if r != c.last {
		c.last, c.silent, c.pinged = r, 0, false
		return leaderHeard
	}
	c.silent += step
	switch {
	case c.silent >= pingLeaderAfter+pingWait(rtt):
		return leaderSilent
	case c.silent >= pingLeaderAfter && !c.pinged:
		c.pinged = true
		return leaderPing
	}
	return leaderHeard
}

// pingWait returns how long a packet may take to arrive after a ping.
func pingWait(rtt time.Duration) time.Duration {
	return min(max(pingWaitRTTs*rtt, minPingWait), maxPingWait)
}
