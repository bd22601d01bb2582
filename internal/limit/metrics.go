package limit

import "github.com/prometheus/client_golang/prometheus"

// poolMetrics holds the counters of a Pool.
type poolMetrics struct {
	acquired  prometheus.Counter
	waited    prometheus.Counter
	refused   *prometheus.CounterVec // by reason
	exchanges *prometheus.CounterVec // by result
}

func newPoolMetrics(reg prometheus.Registerer) *poolMetrics {
	m := &poolMetrics{
		acquired: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_permits_acquired_total",
			Help: "Request permits handed to requests.",
		}),
		waited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertmast_permits_waited_total",
			Help: "Requests that had to wait for a permit.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_permits_refused_total",
			Help: "Requests that got no permit, by reason.",
		}, []string{"reason"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_permits_asks_total",
			Help: "Asks of this entry to the leader, by result.",
		}, []string{"result"}),
	}
	if reg != nil {
		reg.MustRegister(m.acquired, m.waited, m.refused, m.exchanges)
	}
	return m
}
