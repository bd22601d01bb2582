package bodylimit

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/obs"
)

const (
	classLabel  = "class"
	reasonLabel = "reason"
)

// metrics holds the counters of bodies, with a series for every class and reason.
type metrics struct {
	rejections, abandonments [numClasses]map[reason]prometheus.Counter
}

func newMetrics(r prometheus.Registerer, l *Limiter) *metrics {
	rejected := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "filbertmast_bodies_rejected_total",
		Help: "Request bodies refused by their own reader, by class and reason.",
	}, []string{classLabel, reasonLabel})
	abandoned := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "filbertmast_bodies_abandoned_total",
		Help: "Request bodies given up while they were being read, by class and reason.",
	}, []string{classLabel, reasonLabel})
	r.MustRegister(rejected, abandoned)
	held := obs.NewGaugeFuncs(r, "filbertmast_bodies_held_bytes", "Bytes of request bodies that are charged to the budget of the class.", classLabel)
	limit := obs.NewGaugeFuncs(r, "filbertmast_bodies_budget_bytes", "Budget of the class for request bodies, in bytes.", classLabel)
	m := &metrics{}
	for _, c := range Classes() {
		m.rejections[c] = map[reason]prometheus.Counter{}
		for _, why := range []reason{reasonBudget, reasonTooLarge} {
			m.rejections[c][why] = rejected.WithLabelValues(c.String(), string(why))
		}
		m.abandonments[c] = map[reason]prometheus.Counter{}
		for _, why := range []reason{reasonBudget, reasonSlow, reasonUnread} {
			m.abandonments[c][why] = abandoned.WithLabelValues(c.String(), string(why))
		}
		held.Add(c.String(), func() float64 { return float64(l.held(c)) })
		limit.Add(c.String(), func() float64 { return float64(l.budget.accounts[c].limit) })
	}
	return m
}

func (m *metrics) refused(c Class, why reason) { m.rejections[c][why].Inc() }

func (m *metrics) abandoned(c Class, why reason) { m.abandonments[c][why].Inc() }
