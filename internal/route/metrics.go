package route

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// routerMetrics holds the metrics of a Router.
type routerMetrics struct {
	requests       *prometheus.CounterVec // by result: "ok" or an error kind
	retries        *prometheus.CounterVec // by reason
	stoppedRetries *prometheus.CounterVec // retries not made although an error called for one, by reason
	journal        *prometheus.CounterVec // by step and result
	seconds        prometheus.Histogram
}

func newRouterMetrics(reg prometheus.Registerer) *routerMetrics {
	f := promauto.With(reg)
	return &routerMetrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_requests_total",
			Help: "Requests of callers, by result.",
		}, []string{"result"}),
		retries: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_request_retries_total",
			Help: "Further tries of a request, by the kind of the error before.",
		}, []string{"reason"}),
		stoppedRetries: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_request_retries_stopped_total",
			Help: "Tries that were not made, by what stopped them.",
		}, []string{"reason"}),
		journal: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_request_journal_total",
			Help: "Calls to the journal, by step and result.",
		}, []string{"step", "result"}),
		seconds: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "filbertmast_request_seconds",
			Help:    "Time from a request's arrival to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}),
	}
}

// ownerMetrics holds the metrics of an Owner.
type ownerMetrics struct {
	requests         *prometheus.CounterVec // by result: "ok" or an error kind
	sends            *prometheus.CounterVec // by result
	ejections        prometheus.Counter
	skippedEjections prometheus.Counter
	abandoned        *prometheus.CounterVec // by end
}

func newOwnerMetrics(reg prometheus.Registerer) *ownerMetrics {
	f := promauto.With(reg)
	return &ownerMetrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_owner_requests_total",
			Help: "Requests at the owner of their executor, by result.",
		}, []string{"result"}),
		sends: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_executor_sends_total",
			Help: "Requests sent to executors, by result.",
		}, []string{"result"}),
		ejections: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_executor_ejections_total",
			Help: "Executors that were left out for a time because they failed.",
		}),
		skippedEjections: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_executor_ejections_spared_total",
			Help: "Ejections not made because too many executors were out.",
		}),
		abandoned: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_executor_lingering_total",
			Help: "Abandoned requests whose slot was kept, by how they ended.",
		}, []string{"end"}),
	}
}

// resultLabel returns "ok" or the kind of err.
func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return string(errkind.Of(err))
}
