package session

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Reasons for rejecting a call of a worker, or dropping a command or report.
const (
	reasonPaced          = "paced"
	reasonDraining       = "draining"
	reasonFull           = "sessions_full"
	reasonStaleSession   = "stale_session"
	reasonUnknownSession = "unknown_session"
	reasonOlderFence     = "older_fence"
	reasonRepeated       = "repeated"
	reasonOverflow       = "overflow"
	reasonWorkerLeaves   = "worker_leaves"
)

type metrics struct {
	sessions   prometheus.Gauge
	heartbeats *prometheus.CounterVec
	batches    *prometheus.CounterVec
	batchSize  prometheus.Histogram
	refused    *prometheus.CounterVec
	commands   *prometheus.CounterVec
	reports    *prometheus.CounterVec
	attached   prometheus.Counter
	lapsed     prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		sessions: f.NewGauge(prometheus.GaugeOpts{
			Name: "filbertmast_session_sessions", Help: "Worker sessions held by this entry."}),
		heartbeats: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_session_heartbeats_total", Help: "Heartbeats by outcome."}, []string{"outcome"}),
		batches: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_session_renewal_batches_total", Help: "Batches of renewals sent to the leader, by outcome."}, []string{"outcome"}),
		batchSize: f.NewHistogram(prometheus.HistogramOpts{
			Name: "filbertmast_session_renewal_batch_size", Help: "Renewals in one batch.",
			Buckets: prometheus.ExponentialBuckets(1, 4, 6)}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_session_refused_total", Help: "Calls of workers that were refused here, by reason."}, []string{"reason"}),
		commands: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_session_commands_total", Help: "Commands from the leader, by what became of them."}, []string{"outcome"}),
		reports: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_session_reports_total", Help: "Reports of workers, by what became of them."}, []string{"outcome"}),
		attached: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_session_attached_total", Help: "Sessions that came here from another entry."}),
		lapsed: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_session_lapsed_total", Help: "Sessions forgotten because no heartbeat was granted within a lease."}),
	}
}
