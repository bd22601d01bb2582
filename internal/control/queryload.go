package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// queryResults counts the queries to the policy service that have ended.
type queryResults struct {
	answered int
	failed   int
	longest  time.Duration // from sending to the end
}

func (r *queryResults) add(ok bool, took time.Duration) {
	if ok {
		r.answered++
	} else {
		r.failed++
	}
	r.longest = max(r.longest, took)
}

// logQueryLoad logs the queries since the last call, if some that were due were not sent or
// some have failed: why, what became of those that were sent, and what the entries can take.
func (p *policy) logQueryLoad(now model.Time) {
	unsent, ended := p.unsent.fields(), p.ended
	p.ended = queryResults{}
	if unsent == nil && ended.failed == 0 {
		return
	}
	entries := p.balancer.Count(p.entries(now), now)
	p.l.c.log.Info("Policy queries wait.", append(unsent, "queries", p.inFlight,
		"answered_queries", ended.answered, "failed_queries", ended.failed, "longest_query", ended.longest,
		"entries", entries.All, "saturated_entries", entries.Saturated, "avoided_entries", entries.Avoided)...)
}
