package relay

import "time"

const (
	// maxAge is how much longer than the fastest recent one a message may take to arrive.
	// One that took longer was held while a process was suspended or cut off.
	maxAge = 400 * time.Millisecond
	// agePeriod is how long the fastest message counts, and as long again: two clocks drift.
	agePeriod = 20 * time.Second
)

// ages judges how long messages of one sender took, although two clocks have no common
// beginning.
type ages struct {
	since    time.Duration // begin of the current period
	least    time.Duration // difference of the clocks for the fastest message of the period
	previous time.Duration // the same of the period before
	known    bool
}

// tooOld reports whether a message took too long that was sent at sentAt by the sender's clock
// and received at now.
func (a *ages) tooOld(sentAt, now time.Duration) bool {
	took := now - sentAt
	switch {
	case !a.known:
		*a = ages{since: now, least: took, previous: took, known: true}
	case now-a.since > agePeriod:
		a.since, a.previous, a.least = now, a.least, took
	default:
		a.least = min(a.least, took)
	}
	return took-min(a.least, a.previous) > maxAge
}
