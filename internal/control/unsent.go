package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/permit"
)

// unsentReason is why a query to the policy service that is due was not sent.
type unsentReason int

const (
	unsentNoEntry       unsentReason = iota // no entry has renewed recently
	unsentSaturated                         // every entry has as much service time outstanding as it may have
	unsentLongQueries                       // long queries occupy their part of the entries; shorter ones are sent
	unsentInFlightLimit                     // as many are in flight as may be
	unsentReasons                           // number of reasons
)

// unsentNames are the reasons as metrics and logs name them.
var unsentNames = [unsentReasons]string{"no_entry", "saturated", "long_queries", "in_flight_limit"}

// unsentQueries counts the checks for due queries, which are queryInterval apart, at
// which a due query was not sent.
type unsentQueries struct {
	checks    [unsentReasons]prometheus.Counter
	since     [unsentReasons]int // since the last call of fields
	nextCount model.Time         // earliest time of the next check that counts
}

// newUnsentQueries returns an unsentQueries that adds its counts to checks.
func newUnsentQueries(checks *prometheus.CounterVec) unsentQueries {
	var u unsentQueries
	for r, name := range unsentNames {
		u.checks[r] = checks.WithLabelValues(name)
	}
	return u
}

// due reports whether a check at now counts. At most one counts per queryInterval.
func (u *unsentQueries) due(now model.Time) bool {
	if now < u.nextCount {
		return false
	}
	u.nextCount = now.Add(queryInterval)
	return true
}

func (u *unsentQueries) add(reason unsentReason) {
	u.checks[reason].Inc()
	u.since[reason]++
}

// fields returns the counts since the last call as log fields, or nil if there are
// none.
func (u *unsentQueries) fields() []any {
	var out []any
	for r, n := range u.since {
		if n > 0 {
			out = append(out, unsentNames[r], n)
		}
	}
	u.since = [unsentReasons]int{}
	return out
}

// countUnsent counts a check at which no query could be sent, if a query is due.
func (p *policy) countUnsent(reason unsentReason, now model.Time) {
	if !p.unsent.due(now) {
		return
	}
	p.takesShort, p.takesLong = true, true // only to find a query that is due
	p.tracker.EachDueQuery(now, p, func(permit.Query) bool {
		p.unsent.add(reason)
		return false
	})
}
