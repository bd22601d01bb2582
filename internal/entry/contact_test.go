package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/wire"
)

// observeFor observes every interval for d, without a packet, and returns each verdict but
// leaderHeard with its time.
func observeFor(c *contact, start time.Time, d, interval, rtt time.Duration) (pingAt, silentAt time.Duration) {
	for at := interval; at <= d; at += interval {
		switch c.observe(start.Add(at), wire.Reception{}, rtt) {
		case leaderPing:
			pingAt = at
		case leaderSilent:
			if silentAt == 0 {
				silentAt = at
			}
		}
	}
	return pingAt, silentAt
}

func TestSilentLeaderIsPingedOnceThenSuspected(t *testing.T) {
	start := time.Now()
	c := contact{at: start}
	ping, silent := observeFor(&c, start, time.Second, contactInterval, time.Millisecond)
	assert.Equal(t, ping, 160*time.Millisecond)
	assert.Equal(t, silent, 260*time.Millisecond)
}

// With a fixed wait, a leader that is far away or short of processor time would be suspected.
func TestWaitAfterPingGrowsWithRoundTripTime(t *testing.T) {
	start := time.Now()
	c := contact{at: start}
	_, silent := observeFor(&c, start, time.Second, contactInterval, 60*time.Millisecond)
	assert.Equal(t, silent, 400*time.Millisecond)
	assert.Equal(t, pingWait(time.Second), maxPingWait)
}

// The packets that arrived while this process did not run are still to be processed.
func TestTimeForWhichThisProcessDidNotRunIsNoSilence(t *testing.T) {
	start := time.Now()
	c := contact{at: start}
	assert.Equal(t, c.observe(start.Add(10*time.Second), wire.Reception{}, 0), leaderHeard)
}
