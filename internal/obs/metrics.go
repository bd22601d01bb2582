package obs

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Namespace is the prefix of the name of every metric of the project.
const Namespace = "filbertmast"

// reasonLabel is the label that contains the error kind.
const reasonLabel = "reason"

// NewRegistry returns a registry with the collectors of the Go runtime and of
// the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// KindCounter counts events by error kind.
type KindCounter struct {
	counters map[errkind.Kind]prometheus.Counter
}

// NewKindCounter registers a counter with one series for every error kind, so
// that kinds that have not occurred yet are exported as zero. The name is the full
// metric name, which begins with Namespace and ends in _total.
func NewKindCounter(reg prometheus.Registerer, name, help string) *KindCounter {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, []string{reasonLabel})
	reg.MustRegister(vec)
	c := &KindCounter{counters: make(map[errkind.Kind]prometheus.Counter)}
	for _, k := range errkind.Kinds() {
		c.counters[k] = vec.WithLabelValues(string(k))
	}
	return c
}

// Inc increments the counter of kind k, or that of Internal if k is unknown.
func (c *KindCounter) Inc(k errkind.Kind) {
	counter, ok := c.counters[k]
	if !ok {
		counter = c.counters[errkind.Internal]
	}
	counter.Inc()
}

// Count increments the counter of the kind of err. A nil error is not counted.
func (c *KindCounter) Count(err error) {
	if err != nil {
		c.Inc(errkind.Of(err))
	}
}
