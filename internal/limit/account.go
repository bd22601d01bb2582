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
type account struct {
	permits  int64 // granted; inUse may exceed it while permits are called back
	inUse    int64
	leaseEnd time.Time
	horizon  time.Time     // no request may start whose deadline is later
	lastEnd  time.Time     // latest deadline of a request that got a permit
	life     time.Duration // longest time to a deadline seen of late
	peak     int64         // most permits in use of late
	decayed  time.Time     // when life and peak last decayed
	waiters  []*waiter

	contended bool // requests wait elsewhere
	returning bool // an ask that gives up idle permits is due
	toConfirm bool // the leader does not know yet that fewer are held
}

// covers reports whether a request that ends by deadline may start now.
func (a *account) covers(deadline, now time.Time) bool {
	return a.inUse < a.permits && now.Before(a.leaseEnd) && !deadline.After(a.horizon)
}

func (a *account) take(deadline time.Time) {
	a.inUse++
	a.peak = max(a.peak, a.inUse)
	if deadline.After(a.lastEnd) {
		a.lastEnd = deadline
	}
}

// noteLife records how long requests of the team last at most.
func (a *account) noteLife(life time.Duration) { a.life = max(a.life, life) }

// serve hands free permits to waiters in the order in which they came. Those
// whose deadline is past the horizon wait for the next grant.
func (a *account) serve(now time.Time) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		if !a.covers(w.deadline, now) {
			return false
		}
		a.take(w.deadline)
		close(w.ready)
		return true
	})
}

// drop removes w and reports whether it was still waiting.
func (a *account) drop(w *waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// demand states the account for an ask sent at now. Until its answer the
// account starts nothing beyond what the demand says.
func (a *account) demand(team string, seq uint64, now time.Time, period time.Duration) Demand {
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
	d.DeadlineMS = a.lifeToAsk(now, period).Milliseconds() + 1
	return d
}

// lifeToAsk returns how long the requests may last that have started or will
// start before the ask after this one.
func (a *account) lifeToAsk(now time.Time, period time.Duration) time.Duration {
	until := max(a.lastEnd.Sub(now), a.horizon.Sub(now), 0)
	for _, w := range a.waiters {
		until = max(until, w.deadline.Sub(now))
	}
	if a.life > 0 {
		until = max(until, a.life+2*period)
	}
	for _, w := range a.waiters {
		until = max(until, w.deadline.Sub(now)) // else it would wait until its deadline comes near
	}
	return until
}

// spare returns how many permits beyond those in use the account expects to need.
func (a *account) spare() int64 {
	recent := a.peak + (a.peak+3)/4
	return max(recent-a.inUse-int64(len(a.waiters)), 0)
}

// grant applies the answer g to the demand d that was sent at sent.
func (a *account) grant(sent time.Time, d *Demand, g Grant, now time.Time) {
	a.permits = g.Permits
	a.contended = g.Contended
	a.toConfirm = max(a.permits, a.inUse) < d.Held
	a.leaseEnd = sent.Add(time.Duration(g.LeaseMS) * time.Millisecond)
	a.horizon = sent.Add(time.Duration(d.DeadlineMS) * time.Millisecond)
	a.serve(now)
}

// urgent reports whether the leader should hear of the account soon.
func (a *account) urgent() bool {
	idle := a.contended && a.inUse < a.permits
	return len(a.waiters) > 0 || a.inUse > a.permits || a.toConfirm || idle
}

// decay forgets an eighth of the recent past, once a period.
func (a *account) decay(now time.Time, period time.Duration) {
	if now.Sub(a.decayed) < period {
		return
	}
	a.decayed = now
	a.peak = max(a.inUse, a.peak-(a.peak+7)/8)
	a.life -= a.life / 8
}

// idle reports whether the account holds nothing and nobody wants it.
func (a *account) idle() bool {
	return a.permits == 0 && a.inUse == 0 && len(a.waiters) == 0 && a.peak == 0
}
