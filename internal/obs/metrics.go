package obs

import (
	"maps"
	"sync"

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

// GaugeFuncs is a gauge with one label, whose values are read when it is collected.
type GaugeFuncs struct {
	desc *prometheus.Desc

	mu    sync.Mutex
	funcs map[string]func() float64 // by label value
}

// NewGaugeFuncs registers a gauge without series. The name is the full metric name.
func NewGaugeFuncs(reg prometheus.Registerer, name, help, label string) *GaugeFuncs {
	g := &GaugeFuncs{desc: prometheus.NewDesc(name, help, []string{label}, nil), funcs: make(map[string]func() float64)}
	reg.MustRegister(g)
	return g
}

// Add adds the series of a label value.
func (g *GaugeFuncs) Add(value string, fn func() float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.funcs[value] = fn
}

// Describe implements prometheus.Collector.
func (g *GaugeFuncs) Describe(ch chan<- *prometheus.Desc) { ch <- g.desc }

// Collect implements prometheus.Collector.
func (g *GaugeFuncs) Collect(ch chan<- prometheus.Metric) {
	g.mu.Lock()
	funcs := maps.Clone(g.funcs)
	g.mu.Unlock()
	for value, fn := range funcs {
		ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, fn(), value)
	}
}
