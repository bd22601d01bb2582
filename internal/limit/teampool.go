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

// teamPool is the share of one team's permits that this entry process holds.
// Callers of its methods hold the lock of the Pool.
type teamPool struct {
	permits      int64 // granted; inUse may exceed it after a grant of fewer permits
	inUse        int64
	leaseEnd     time.Time
	maxDeadline  time.Time     // requests with a later deadline may not start
	lastDeadline time.Time     // latest deadline of a request that got a permit
	maxDuration  time.Duration // longest recent time from the arrival of a request to its deadline
	peak         int64         // recent maximum of inUse
	lastDecay    time.Time     // when maxDuration and peak last decayed
	waiters      []*waiter

	contended           bool // requests wait at other entry processes
	returnDue           bool // a demand that returns idle permits is due
	reductionUnreported bool // the leader does not know yet that fewer permits are held
}

// canStart reports whether a request that ends by deadline may start now.
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

// recordDuration records the time until the deadline of a request.
func (a *teamPool) recordDuration(d time.Duration) { a.maxDuration = max(a.maxDuration, d) }

// serveWaiters gives free permits to waiters in the order of their arrival.
// Waiters with a deadline after maxDeadline keep waiting for the next grant.
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

// removeWaiter removes w and reports whether it was still waiting.
func (a *teamPool) removeWaiter(w *waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// demand returns the Demand to send at the time now. Until it is answered, no
// request may start beyond what it states.
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

// maxRemaining returns the longest remaining time of the requests that have
// started or will start before the demand after this one.
func (a *teamPool) maxRemaining(now time.Time, period time.Duration) time.Duration {
	remaining := max(a.lastDeadline.Sub(now), a.maxDeadline.Sub(now), 0)
	for _, w := range a.waiters {
		remaining = max(remaining, w.deadline.Sub(now))
	}
	if a.maxDuration > 0 {
		remaining = max(remaining, a.maxDuration+2*period)
	}
	for _, w := range a.waiters {
		remaining = max(remaining, w.deadline.Sub(now)) // otherwise it would wait until its deadline is close
	}
	return remaining
}

// spare returns how many permits are expected to be needed beyond those in use
// and those waited for: the recent peak and a quarter more.
func (a *teamPool) spare() int64 {
	recent := a.peak + (a.peak+3)/4
	return max(recent-a.inUse-int64(len(a.waiters)), 0)
}

// applyGrant applies the grant g for the demand d that was sent at the time sent.
func (a *teamPool) applyGrant(sent time.Time, d *Demand, g Grant, now time.Time) {
	a.permits = g.Permits
	a.contended = g.Contended
	a.reductionUnreported = max(a.permits, a.inUse) < d.Held
	a.leaseEnd = sent.Add(time.Duration(g.LeaseMS) * time.Millisecond)
	a.maxDeadline = sent.Add(time.Duration(d.DeadlineMS) * time.Millisecond)
	a.serveWaiters(now)
}

// urgent reports whether a demand should be sent to the leader soon.
func (a *teamPool) urgent() bool {
	idle := a.contended && a.inUse < a.permits
	return len(a.waiters) > 0 || a.inUse > a.permits || a.reductionUnreported || idle
}

// decay reduces peak and maxDuration by an eighth once in each period.
func (a *teamPool) decay(now time.Time, period time.Duration) {
	if now.Sub(a.lastDecay) < period {
		return
	}
	a.lastDecay = now
	a.peak = max(a.inUse, a.peak-(a.peak+7)/8)
	a.maxDuration -= a.maxDuration / 8
}

// idle reports whether no permit is held, in use, waited for or recently used.
func (a *teamPool) idle() bool {
	return a.permits == 0 && a.inUse == 0 && len(a.waiters) == 0 && a.peak == 0
}
