package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/obs"
)

// metrics holds the counters of the entry process itself.
type metrics struct {
	refusals      *obs.KindCounter
	retries       *obs.KindCounter
	suspicions    *prometheus.CounterVec
	callsHeld     *prometheus.CounterVec
	heldEnds      *prometheus.CounterVec
	sentCallEnds  *prometheus.CounterVec
	searchSeconds prometheus.Histogram
	checks        prometheus.Counter
}

// Ends of held calls, and of calls of which an attempt may have arrived unanswered.
const (
	endSent     = "sent"       // a leader was found
	endRefused  = "refused"    // none was found in time; the call was never sent
	endAnswered = "answered"   // a later attempt was answered
	endOpen     = "unresolved" // none was
)

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		refusals: obs.NewKindCounter(r, "filbertmast_entry_refusals_total", "Calls answered with an error, by kind."),
		retries:  obs.NewKindCounter(r, "filbertmast_entry_leader_retries_total", "Calls sent to the leader again, by the kind that led to it."),
		suspicions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_entry_leader_suspicions_total", Help: "How often calls to the leader began to be held back, by reason.",
		}, []string{"reason"}),
		callsHeld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_entry_leader_held_calls_total", Help: "Calls held back unsent until a leader is confirmed, by reason.",
		}, []string{"reason"}),
		heldEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_entry_leader_held_ends_total", Help: "Ends of holding a call back.",
		}, []string{"end"}),
		sentCallEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_entry_leader_unanswered_calls_total", Help: "Calls of which an attempt may have arrived unanswered, by how they ended.",
		}, []string{"end"}),
		searchSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "filbertmast_entry_leader_search_seconds", Help: "Time from a suspicion until a leader was confirmed.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		checks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_entry_leader_checks_total", Help: "Probes of the leader before submissions, because it had not answered recently.",
		}),
	}
	r.MustRegister(m.suspicions, m.callsHeld, m.heldEnds, m.sentCallEnds, m.searchSeconds, m.checks)
	for _, why := range suspicions {
		m.suspicions.WithLabelValues(string(why))
		m.callsHeld.WithLabelValues(string(why))
	}
	for _, end := range []string{endSent, endRefused} {
		m.heldEnds.WithLabelValues(end)
	}
	for _, end := range []string{endAnswered, endOpen} {
		m.sentCallEnds.WithLabelValues(end)
	}
	return m
}

func (m *metrics) refused(k errkind.Kind) { m.refusals.Inc(k) }

func (m *metrics) retried(k errkind.Kind) { m.retries.Inc(k) }

func (m *metrics) heldCallEnded(sent bool) {
	end := endRefused
	if sent {
		end = endSent
	}
	m.heldEnds.WithLabelValues(end).Inc()
}

// confirmed counts the answer to a call of which an earlier attempt may have arrived.
func (m *metrics) confirmed(mayHaveArrived bool) {
	if mayHaveArrived {
		m.sentCallEnds.WithLabelValues(endAnswered).Inc()
	}
}

// unconfirmed counts the end without an answer of a call of which an attempt may have arrived.
func (m *metrics) unconfirmed(mayHaveArrived bool) {
	if mayHaveArrived {
		m.sentCallEnds.WithLabelValues(endOpen).Inc()
	}
}
