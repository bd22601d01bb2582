package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/obs"
)

// metrics holds the counters of the entry process itself.
type metrics struct {
	refusals *obs.KindCounter
	retries  *obs.KindCounter
}

func newMetrics(r prometheus.Registerer) *metrics {
	return &metrics{
		refusals: obs.NewKindCounter(r, "filbertmast_entry_refusals_total", "Calls answered with an error, by kind."),
		retries:  obs.NewKindCounter(r, "filbertmast_entry_leader_retries_total", "Calls sent to the leader again, by the kind that led to it."),
	}
}

func (m *metrics) refused(k errkind.Kind) { m.refusals.Inc(k) }

func (m *metrics) retried(k errkind.Kind) { m.retries.Inc(k) }
