package control

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func TestUnsentQueriesAreCountedByReason(t *testing.T) {
	checks := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "unsent"}, []string{"reason"})
	u := newUnsentQueries(checks)
	assert.Equal(t, len(u.fields()), 0)
	u.add(unsentSaturated)
	u.add(unsentSaturated)
	u.add(unsentInFlightLimit)
	assert.DeepEqual(t, u.fields(), []any{"saturated", 2, "in_flight_limit", 1})
	assert.Equal(t, len(u.fields()), 0, "the counts start anew")
	assert.Equal(t, testutil.ToFloat64(checks.WithLabelValues("saturated")), 2.0)
	assert.Equal(t, testutil.ToFloat64(checks.WithLabelValues("no_entry")), 0.0)
}

func TestUnsentQueriesAreCountedOncePerInterval(t *testing.T) {
	u := newUnsentQueries(prometheus.NewCounterVec(prometheus.CounterOpts{Name: "unsent"}, []string{"reason"}))
	const now model.Time = 1000
	assert.Assert(t, u.due(now))
	assert.Assert(t, !u.due(now.Add(queryInterval)-1))
	assert.Assert(t, u.due(now.Add(queryInterval)))
}
