package link

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/filbertmast/filbertmast/internal/wire"
)

type metrics struct {
	bytes      *prometheus.CounterVec
	overBudget *prometheus.CounterVec
	refused    *prometheus.CounterVec
	waits      *prometheus.CounterVec
	seconds    *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		bytes: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_link_bytes_total", Help: "Bytes charged to the budget, by class and region.",
		}, []string{"class", "region"}),
		overBudget: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_link_over_budget_bytes_total", Help: "Bytes that passed although the budget was spent, by class and region.",
		}, []string{"class", "region"}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_link_refused_requests_total", Help: "Requests refused because the budget was spent.",
		}, []string{"region"}),
		waits: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_link_waits_total", Help: "Messages that waited for the budget, by class.",
		}, []string{"class"}),
		seconds: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_link_wait_seconds_total", Help: "Time that messages waited for the budget, by class.",
		}, []string{"class"}),
	}
}

func (m *metrics) recordCharge(c wire.Class, region string, n, over int) {
	m.bytes.WithLabelValues(c.String(), region).Add(float64(n))
	if over > 0 {
		m.overBudget.WithLabelValues(c.String(), region).Add(float64(over))
	}
}

func (m *metrics) recordWait(c wire.Class, d time.Duration) {
	m.waits.WithLabelValues(c.String()).Inc()
	m.seconds.WithLabelValues(c.String()).Add(d.Seconds())
}
