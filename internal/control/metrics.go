package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/state"
)

// metrics are the counters of the control process.
type metrics struct {
	leads       prometheus.Gauge
	refusals    *prometheus.CounterVec
	placements  prometheus.Counter
	unplaced    *prometheus.CounterVec
	preemptions *prometheus.CounterVec
	lost        prometheus.Counter
	planSeconds prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		leads: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_control_leads", Help: "1 while this process leads, else 0."}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_refusals_total", Help: "Calls refused by the control process, by kind."},
			[]string{"kind"}),
		placements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_placements_total", Help: "Tasks placed by commit."}),
		unplaced: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_placements_refused_total", Help: "Planned placements that the state did not admit, by reason."},
			[]string{"reason"}),
		preemptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_control_preemptions_total", Help: "Tasks told to stop for other work, by reason."},
			[]string{"reason"}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_control_workers_lost_total", Help: "Workers whose leases have expired."}),
		planSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "filbertmast_control_plan_seconds", Help: "Time to make one plan.",
			Buckets: prometheus.ExponentialBuckets(10e-6, 4, 8)}),
	}
	r.MustRegister(m.leads, m.refusals, m.placements, m.unplaced, m.preemptions, m.lost, m.planSeconds)
	return m
}

func (m *metrics) refused(k errkind.Kind) { m.refusals.WithLabelValues(string(k)).Inc() }

func (m *metrics) notAdmitted(r state.RefusalReason) { m.unplaced.WithLabelValues(string(r)).Inc() }
