package permit

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// querySlack is the time that a query may take beyond one and a half times the
	// service time outstanding at its entry.
	querySlack = 400 * time.Millisecond
	// saturationCost is the service time outstanding at an entry from which on it
	// gets no further query: a query that has been sent cannot be reordered.
	saturationCost = 100 * time.Millisecond
	// longQueryCost is the service time from which on a query is a long one.
	longQueryCost = 100 * time.Millisecond
	// maxQueries bounds the queries in flight if there are few entries.
	maxQueries = 48
	// maxEntryQueries is the number of queries in flight that each entry adds to the bound if
	// there are many. With one for each, an entry idles while a query and its response are on
	// their way, which takes several times as long as a short query itself.
	maxEntryQueries = 8
	// firstQueries is the bound when a Balancer is new, and rampInterval the time after
	// which it grows by one query. A new leader has a query to send for each waiting job,
	// and must keep time for the messages of its group.
	firstQueries = 4
	rampInterval = 25 * time.Millisecond
	// sharedCost is the service time of short queries for which an entry is left to them if they
	// are in flight at more than minShared.
	sharedCost = 20 * time.Millisecond
	minShared  = 3
	// farDelay is about how much longer a query takes through an entry of another region.
	farDelay = 40 * time.Millisecond
	// failureCooldown is how long an entry gets no query after one has failed.
	failureCooldown = 2 * time.Second
)

// Entry is an entry that can send queries.
type Entry struct {
	Address string
	Far     bool // in another region than the leader
}

// Balancer chooses the entry that sends a query to the policy service. The service
// answers the queries of one entry one after the other, so each query goes to the
// entry with the least service time outstanding. An entry whose query has failed is
// avoided for failureCooldown.
type Balancer struct {
	outstanding map[string]time.Duration // service time of queries in flight, by entry
	avoidUntil  map[string]model.Time    // end of the cooldown, by entry
	inFlight    int                      // queries in flight
	short       int                      // short queries in flight
	shortCost   time.Duration            // their service time
	since       model.Time               // when the Balancer was made
}

// NewBalancer returns a Balancer without queries in flight, made at now.
func NewBalancer(now model.Time) *Balancer {
	return &Balancer{outstanding: map[string]time.Duration{}, avoidUntil: map[string]model.Time{}, since: now}
}

// Full reports whether as many queries are in flight as may be at now.
func (b *Balancer) Full(entries []Entry, now model.Time) bool {
	return b.inFlight >= b.bound(entries, now)
}

// bound returns how many queries may be in flight at now.
func (b *Balancer) bound(entries []Entry, now model.Time) int {
	ramp := firstQueries + int(now.Sub(b.since)/rampInterval)
	return min(ramp, max(maxQueries, maxEntryQueries*len(entries)))
}

// Choose returns the entry for a query of the given service time, or false if the
// query must wait. If all entries have failed recently, it chooses among them all.
func (b *Balancer) Choose(entries []Entry, cost time.Duration, now model.Time) (string, bool) {
	long := IsLong(cost)
	if long && !b.takesLong(entries) {
		return "", false
	}
	if b.Full(entries, now) {
		return "", false
	}
	best, ok := b.leastLoaded(entries, long, func(e string) bool { return now >= b.avoidUntil[e] })
	if !ok {
		best, ok = b.leastLoaded(entries, long, func(string) bool { return true })
	}
	return best, ok && b.outstanding[best] < saturationCost
}

// Available reports whether a short query may be sent at now, and whether a long one may. The
// entry that a long one goes to would take a short one, too.
func (b *Balancer) Available(entries []Entry, now model.Time) (short, long bool) {
	_, short = b.Choose(entries, 0, now)
	return short, short && b.takesLong(entries)
}

// IsLong reports whether a query of the given service time is a long one.
func IsLong(cost time.Duration) bool { return cost >= longQueryCost }

// takesLong reports whether a long query may occupy another entry. Short ones, which would
// wait behind it, are left as many entries as there are of them in flight, and one more; but if
// they are many, no more than they need to wait for sharedCost only. The first long query may
// always be sent.
func (b *Balancer) takesLong(entries []Entry) bool {
	left := min(b.short, minShared+int(b.shortCost/sharedCost)) + 1
	saturated := b.saturated(entries)
	return saturated == 0 || len(entries)-saturated > left
}

// saturated returns how many entries get no further query.
func (b *Balancer) saturated(entries []Entry) (n int) {
	for _, e := range entries {
		if b.outstanding[e.Address] >= saturationCost {
			n++
		}
	}
	return n
}

// avoided returns how many entries are avoided at now, since a query of theirs has failed.
func (b *Balancer) avoided(entries []Entry, now model.Time) (n int) {
	for _, e := range entries {
		if now < b.avoidUntil[e.Address] {
			n++
		}
	}
	return n
}

// EntryCounts counts the entries that can send queries, by what keeps them from it.
type EntryCounts struct {
	All       int
	Saturated int // get no further query until one is answered
	Avoided   int // a query has failed lately; they are chosen if no others are left
}

// Count counts entries at now.
func (b *Balancer) Count(entries []Entry, now model.Time) EntryCounts {
	return EntryCounts{All: len(entries), Saturated: b.saturated(entries), Avoided: b.avoided(entries, now)}
}

// leastLoaded returns the eligible entry with the least service time outstanding. Among those that
// take a query at once, a short one prefers an entry of the region of the leader, since it waits for
// the way more than for the service. A long one leaves these to short ones.
func (b *Balancer) leastLoaded(entries []Entry, long bool, eligible func(string) bool) (best string, found bool) {
	var least time.Duration
	for _, e := range entries {
		load := b.outstanding[e.Address]
		if e.Far != long && load < saturationCost {
			load += farDelay
		}
		if eligible(e.Address) && (!found || load < least) {
			best, found, least = e.Address, true, load
		}
	}
	return best, found
}

// Begin records a query of the given service time and returns its timeout.
func (b *Balancer) Begin(entry string, cost time.Duration) time.Duration {
	b.outstanding[entry] += cost
	b.count(cost, 1)
	return b.outstanding[entry]*3/2 + querySlack
}

// count adds n queries in flight of the given service time.
func (b *Balancer) count(cost time.Duration, n int) {
	b.inFlight += n
	if !IsLong(cost) {
		b.short += n
		b.shortCost += time.Duration(n) * cost
	}
}

// End records that a query was answered or has failed.
func (b *Balancer) End(entry string, cost time.Duration, answered bool, now model.Time) {
	b.count(cost, -1)
	b.outstanding[entry] -= cost
	if b.outstanding[entry] <= 0 {
		delete(b.outstanding, entry)
	}
	if answered {
		delete(b.avoidUntil, entry)
	} else {
		b.avoidUntil[entry] = now.Add(failureCooldown)
	}
}
