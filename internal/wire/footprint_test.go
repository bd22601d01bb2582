package wire

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

// BenchmarkConnections measures the memory of both ends of a connection, among as
// many connections as an entry process has at the target size.
func BenchmarkConnections(b *testing.B) {
	const peers = 46
	for b.Loop() {
		from := listen(b, "a", nil)
		var to []*Endpoint
		for i := range peers {
			e := listen(b, fmt.Sprint(i), nil)
			handleEcho(e)
			to = append(to, e)
		}
		before := heap()
		for _, e := range to {
			if err := echo(testContext(b), from, e.Address(), "x"); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((heap()-before)/peers, "B/connection")
	}
}

// BenchmarkIdleConnection measures the traffic of an idle connection in both
// directions: during path MTU discovery and afterwards.
func BenchmarkIdleConnection(b *testing.B) {
	const span = 4 * keepAlivePeriod
	for b.Loop() {
		from, to := listen(b, "a", nil), listen(b, "b", nil)
		handleEcho(to)
		if err := echo(testContext(b), from, to.Address(), "x"); err != nil {
			b.Fatal(err)
		}
		opened := packetBytes(from)
		time.Sleep(span)
		before := packetBytes(from)
		b.ReportMetric(before-opened, "packet-B-after-opening")
		time.Sleep(span)
		b.ReportMetric((packetBytes(from)-before)/span.Seconds(), "packet-B/s")
	}
}

func packetBytes(e *Endpoint) (n float64) {
	for _, c := range e.allConns() {
		c.countPackets()
	}
	for _, d := range []string{sent, received} {
		n += testutil.ToFloat64(e.metrics.packetBytes.WithLabelValues(d, "south", "south"))
	}
	return n
}
