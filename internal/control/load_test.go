package control

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"
)

func newTestLoad() *load {
	return newLoad(prometheus.NewCounterVec(prometheus.CounterOpts{Name: "busy"}, []string{"work"}))
}

func TestLoadAttributesTimeToKindOfWork(t *testing.T) {
	l := newTestLoad()
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l.take(start)
	l.begin(at(10), 3) // nothing is done until then
	l.end(workCalls, at(15))
	l.end(workPlans, at(35))
	l.begin(at(500), 1)
	l.end(workTicks, at(501))
	l.end(workPlans, at(504))
	r := l.take(at(2000))
	assert.DeepEqual(t, r.fields(at(2000)), []any{
		"over_ms", int64(2000), "busy_ms", int64(29),
		"updates_ms", int64(0), "calls_ms", int64(5), "polls_ms", int64(0), "commands_ms", int64(0), "advice_ms", int64(0),
		"timers_ms", int64(0), "ticks_ms", int64(1), "reports_ms", int64(0), "queries_ms", int64(0), "plans_ms", int64(23),
		"longest_turn_ms", int64(25), "longest_queue", 3,
	})
	assert.Equal(t, testutil.ToFloat64(l.seconds[workPlans]), 0.023)
}

func TestLoadStartsAnewAfterEachReport(t *testing.T) {
	l := newTestLoad()
	start := time.Unix(1000, 0)
	l.begin(start, 7)
	l.end(workCalls, start.Add(time.Second))
	l.take(start.Add(2 * time.Second))
	r := l.take(start.Add(4 * time.Second))
	assert.DeepEqual(t, r.spent, [workKinds]time.Duration{})
	assert.Equal(t, r.longestQueue, 0)
	assert.Equal(t, r.longestTurn, time.Duration(0))
}

func TestMeasuringLoadAllocatesNothing(t *testing.T) {
	l := newTestLoad()
	allocated := testing.AllocsPerRun(100, func() {
		l.begin(time.Now(), 1)
		l.end(workCalls, time.Now())
	})
	assert.Equal(t, allocated, 0.0)
}
