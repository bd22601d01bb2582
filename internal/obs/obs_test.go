package obs

import (
	"bytes"
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

func TestLoggerHasLevelAndPrefix(t *testing.T) {
	var out bytes.Buffer
	l := NewLogger(&out, "warn", "logfmt").WithPrefix(PrefixReplica)
	l.Info("not shown")
	l.Warn("lost the lease", "term", 3)
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte(`prefix=replica msg="lost the lease" term=3`)), out.String())
	assert.Assert(t, !bytes.Contains(out.Bytes(), []byte("not shown")))
}

func TestKindCounterHasSeriesForEveryKind(t *testing.T) {
	reg := prometheus.NewRegistry()
	c := NewKindCounter(reg, Namespace+"_refusals_total", "Refusals by reason.")
	n, err := testutil.GatherAndCount(reg, "filbertmast_refusals_total")
	assert.NilError(t, err)
	assert.Equal(t, n, len(errkind.Kinds()))
	c.Count(errkind.New(errkind.QueueFull, "full"))
	c.Count(errors.New("no kind"))
	c.Count(nil)
	c.Inc("from_a_newer_peer")
	assert.Equal(t, testutil.ToFloat64(c.counters[errkind.QueueFull]), 1.0)
	assert.Equal(t, testutil.ToFloat64(c.counters[errkind.Internal]), 2.0)
}

func TestCompareDoc(t *testing.T) {
	reg := NewRegistry()
	NewKindCounter(reg, Namespace+"_refusals_total", "Refusals by reason.")
	vec := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Name: "depth", Help: "x"}, []string{"queue", "class"})
	reg.MustRegister(vec)
	const whole = "| `filbertmast_refusals_total` | counter | `reason` | Refusals. |\n" +
		"| `filbertmast_depth` | gauge | `queue`, `class` | Depth. |\n"
	rows := []struct {
		name string
		page string
		want []string
	}{
		{"equal metrics have no differences", whole, nil},
		{"a documented metric that is not registered is reported", whole + "| `filbertmast_more` | gauge | | x |\n", []string{"filbertmast_more is on the page but not registered"}},
		{"a duplicate row is reported", whole + "| `filbertmast_depth` | gauge | `queue`, `class` | x |\n", []string{"filbertmast_depth is on the page twice"}},
		{"missing rows and wrong labels are reported", "| `filbertmast_depth` | gauge | `queue` | Depth. |\n", []string{
			"filbertmast_depth has labels [class queue], on the page [queue]",
			"filbertmast_refusals_total is registered but not on the page",
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assert.DeepEqual(t, CompareDoc(row.page, reg), row.want)
		})
	}
}
