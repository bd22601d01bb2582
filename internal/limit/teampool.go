package limit

import (
	"slices"
	"time"
)

// waiter is a request that waits for a permit. Ready is closed when it has one.
type waiter struct {
	deadline time.Time
	ready    chan struct{}
}

// account is an entry's share of one team's permits. Its owner holds the lock.
type teamPool struct {
	permits      int64 // granted; inUse may exceed it while permits are called back
	inUse        int64
	leaseEnd     time.Time
	maxDeadline  time.Time     // no request may start whose deadline is later
	lastDeadline time.Time     // latest deadline of a request that got a permit
	maxDuration  time.Duration // longest time to a deadline seen of late
	peak         int64         // most permits in use of late
	lastDecay    time.Time     // when life and peak last decayed
	waiters      []*waiter

	contended           bool // requests wait elsewhere
	returnDue           bool // an ask that gives up idle permits is due
	reductionUnreported bool // the leader does not know yet that fewer are held
}

// covers reports whether a request that ends by deadline may start now.
func (a *teamPool) canStart(deadline, now time.Time) bool {
	return a.inUse < a.permits && now.Before(a.leaseEnd) && !deadline.After(a.maxDeadline)
}

func (a *teamPool) take(deadline time.Time) {
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	if deadline.After(a.lastDeadline) {
		a.lastDeadline = deadline
	}
}

// noteLife records how long requests of the team last at most.
func (a *teamPool) recordDuration(d time.Duration) { a.maxDuration = max(a.maxDuration, d) }

// serve hands free permits to waiters in the order in which they came. Those
// whose deadline is past the horizon wait for the next grant.
func (a *teamPool) serveWaiters(now time.Time) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		if !a.canStart(w.deadline, now) {
			return false
		}
		a.take(w.deadline)
		close(w.ready)
		return true
	})
}

// drop removes w and reports whether it was still waiting.
func (a *teamPool) removeWaiter(w *waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// demand states the account for an ask sent at now. Until its answer the
// account starts nothing beyond what the demand says.
func (a *teamPool) demand(team string, seq uint64, now time.Time, period time.Duration) Demand {
	leased := now.Before(a.leaseEnd)
	if !leased {
		a.permits = 0
	}
	held := max(a.permits, a.inUse)
	d := Demand{
		Team:  team,
		Seq:   seq,
		Held:  held,
		InUse: a.inUse,
		Want:  int64(len(a.waiters)),
		Spare: a.spare(),

		Leased: leased,
	}
	d.DeadlineMS = a.maxRemaining(now, period).Milliseconds() + 1
	return d
}

// maxRemaining returns how long the requests may last that have started or will
// start before the ask after this one.
func (a *teamPool) maxRemaining(now time.Time, period time.Duration) time.Duration {
	remaining := max(a.lastDeadline.Sub(now), a.maxDeadline.Sub(now), 0)
	for _, w := range a.waiters {
		remaining = max(remaining, w.deadline.Sub(now))
	}
	if a.maxDuration > 0 {
		remaining = max(remaining, a.maxDuration+2*period)
	}
	for _, w := range a.waiters {
		remaining = max(remaining, w.deadline.Sub(now)) // else it would wait until its deadline comes near
	}
	return remaining
}

// spare returns how many permits beyond those in use the account expects to need.
func (a *teamPool) spare() int64 {
	recent := a.peak + (a.peak+3)/4
	return max(recent-a.inUse-int64(len(a.waiters)), 0)
}

// grant applies the answer g to the demand d that was sent at sent.
func (a *teamPool) applyGrant(sent time.Time, d *Demand, g Grant, now time.Time) {
	a.permits = g.Permits
	a.contended = g.Contended
	a.reductionUnreported = max(a.permits, a.inUse) < d.Held
	a.leaseEnd = sent.Add(time.Duration(g.LeaseMS) * time.Millisecond)
	a.maxDeadline = sent.Add(time.Duration(d.DeadlineMS) * time.Millisecond)
	a.serveWaiters(now)
}

// urgent reports whether the leader should hear of the account soon.
func (a *teamPool) urgent() bool {
	idle := a.contended && a.inUse < a.permits
	return len(a.waiters) > 0 || a.inUse > a.permits || a.reductionUnreported || idle
}

// decay forgets an eighth of the recent past, once a period.
func (a *teamPool) decay(now time.Time, period time.Duration) {
	if now.Sub(a.lastDecay) < period {
		return
	}
	a.lastDecay = now
	a.peak = max(a.inUse, a.peak-(a.peak+7)/8)
	a.maxDuration -= a.maxDuration / 8
}

// idle reports whether the account holds nothing and nobody wants it.
func (a *teamPool) idle() bool {
	return a.permits == 0 && a.inUse == 0 && len(a.waiters) == 0 && a.peak == 0
}
