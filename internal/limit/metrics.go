package limit

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// poolMetrics holds the counters of a Pool.
type poolMetrics struct {
	acquired  prometheus.Counter
	waited    prometheus.Counter
	refused   *prometheus.CounterVec // by reason
	exchanges *prometheus.CounterVec // by result
}

func newPoolMetrics(reg prometheus.Registerer) *poolMetrics {
	f := promauto.With(reg)
	return &poolMetrics{
		acquired: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_permits_acquired_total",
			Help: "Request permits handed to requests.",
		}),
		waited: f.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_permits_waited_total",
			Help: "Requests that had to wait for a permit.",
		}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_permits_refused_total",
			Help: "Requests that got no permit, by reason.",
		}, []string{"reason"}),
		exchanges: f.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_permits_asks_total",
			Help: "Asks of this entry to the leader, by result.",
		}, []string{"result"}),
	}
}
