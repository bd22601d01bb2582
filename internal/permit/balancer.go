package permit

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// querySlack is what a question may take beyond one and a half times the
	// service time of those that are open at the same entry.
	querySlack = 400 * time.Millisecond
	// saturationCost is the service time open at an entry from which on it is asked nothing
	// more: what is sent has its place in the order for good.
	saturationCost = longQueryCost
	// long is the service time from which on a question is a long one. Long ones
	// take half of the entries at most, so that short ones need not wait for them.
	longQueryCost = 100 * time.Millisecond
	// failureCooldown is how long an entry is not asked after it gave no answer.
	failureCooldown = 2 * time.Second
)

// Lines tells through which entry a question goes. The policy service answers the
// questions of one entry in turn, so that each goes to the entry with the least
// service time open; one that gave no answer is passed by for a while.
type Balancer struct {
	outstanding map[string]time.Duration // service time of open questions, by entry
	avoidUntil  map[string]model.Time    // until when
}

// NewBalancer returns lines without open questions.
func NewBalancer() *Balancer {
	return &Balancer{outstanding: map[string]time.Duration{}, avoidUntil: map[string]model.Time{}}
}

// Choose returns the entry for a question of the given service time; false where
// it has to wait. Where all gave no answer lately, they are asked all the same.
func (b *Balancer) Choose(entries []string, cost time.Duration, now model.Time) (string, bool) {
	if cost >= longQueryCost && 2*b.saturated(entries) >= len(entries) {
		return "", false
	}
	best, ok := b.leastLoaded(entries, func(e string) bool { return now >= b.avoidUntil[e] })
	if !ok {
		best, ok = b.leastLoaded(entries, func(string) bool { return true })
	}
	return best, ok && b.outstanding[best] < saturationCost
}

// Free reports whether any question may be sent now.
func (b *Balancer) Available(entries []string, now model.Time) bool {
	_, ok := b.Choose(entries, 0, now)
	return ok
}

// full returns how many entries are asked nothing more.
func (b *Balancer) saturated(entries []string) (n int) {
	for _, e := range entries {
		if b.outstanding[e] >= saturationCost {
			n++
		}
	}
	return n
}

func (b *Balancer) leastLoaded(entries []string, eligible func(string) bool) (best string, found bool) {
	for _, e := range entries {
		if eligible(e) && (!found || b.outstanding[e] < b.outstanding[best]) {
			best, found = e, true
		}
	}
	return best, found
}

// Begin notes a question of the given service time and returns how long its
// answer may take.
func (b *Balancer) Begin(entry string, cost time.Duration) time.Duration {
	b.outstanding[entry] += cost
	return b.outstanding[entry]*3/2 + querySlack
}

// End notes that a question was answered or given up.
func (b *Balancer) End(entry string, cost time.Duration, answered bool, now model.Time) {
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
