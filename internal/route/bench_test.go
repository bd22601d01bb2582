package route

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest compares a direct call of the stand-in executor with the
// request path, one request at a time. The executor runs in the same process,
// so cpu-us/op includes it in every row.
func BenchmarkRequest(b *testing.B) {
	c := newTestCluster(b, 1000, "a", "b")
	s := newStandIn(b, c.history, "x1", nil)
	c.announce(s.spec(testService, 8, 60))
	ownerEntry, peerEntry := c.entries["a"], c.entries["b"]
	if ownerEntry.owner.pool(testService) == nil {
		ownerEntry, peerEntry = peerEntry, ownerEntry
	}
	through := func(e *testEntry, repeatable bool) func(id string) error {
		return func(id string) error {
			_, err := e.send(id, repeatable, longTimeout)
			return err
		}
	}
	for _, row := range []struct {
		name string
		call func(id string) error
	}{
		{"direct", s.direct(&http.Transport{MaxIdleConnsPerHost: 8})},
		{"repeatable/owner", through(ownerEntry, true)},
		{"repeatable/peer", through(peerEntry, true)},
		{"journaled/owner", through(ownerEntry, false)},
	} {
		b.Run(row.name, func(b *testing.B) {
			c.dropHistory()
			hist := hdrhistogram.New(1, int64(time.Minute), 3)
			cpu := cpuTime()
			n := 0
			for b.Loop() {
				n++
				start := time.Now()
				if err := row.call(fmt.Sprintf("r%d", ids.Add(1))); err != nil {
					b.Fatal(err)
				}
				_ = hist.RecordValue(int64(time.Since(start)))
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-us")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(n), "cpu-us/op")
		})
	}
}

// ids generates the request IDs of all benchmarks.
var ids atomic.Int64

// dropHistory discards the recorded runs, which would otherwise grow during the
// benchmark.
func (c *testCluster) dropHistory() {
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	c.history.runs = nil
}

// direct returns a function that calls the stand-in directly, without Router
// and Owner.
func (s *standIn) direct(t *http.Transport) func(id string) error {
	return func(id string) error {
		body := request(id, true, longTimeout)
		req, err := http.NewRequest(http.MethodPost, s.server.URL+"/fit", body.Body)
		if err != nil {
			return err
		}
		req.Header.Set(api.HeaderRequestID, id)
		resp, err := t.RoundTrip(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

// loadResult counts the outcomes of an open-loop load.
type loadResult struct {
	good, refused, other atomic.Int64
}

// openLoad sends n requests at a steady rate per second, regardless of their
// outcomes.
func (c *testCluster) openLoad(n int, rate float64, wait time.Duration, repeatable bool) *loadResult {
	var res loadResult
	var wg sync.WaitGroup
	names := make([]string, 0, len(c.entries))
	for name := range c.entries {
		names = append(names, name)
	}
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		e := c.entries[names[i%len(names)]]
		wg.Go(func() {
			req := request(fmt.Sprintf("r%d", i), repeatable, wait)
			req.Patience = time.Duration(rand.N(3)) * wait / 4
			body, err := e.serve(context.Background(), req)
			switch {
			case err == nil && body != "":
				res.good.Add(1)
			case errkind.RowOf(errkind.Of(err)).NotRun:
				res.refused.Add(1)
			default:
				res.other.Add(1)
			}
		})
	}
	wg.Wait()
	return &res
}

// BenchmarkGoodput offers 1, 2 and 4 times the capacity of the slots, open
// loop. Goodput is the fraction of that capacity that became complete answers
// before the deadline.
func BenchmarkGoodput(b *testing.B) {
	const (
		executors = 4
		slots     = 8
		work      = 20 * time.Millisecond
		wait      = 200 * time.Millisecond
		seconds   = 3
	)
	capacity := float64(executors*slots) / work.Seconds()
	for _, factor := range []float64{1, 2, 4} {
		b.Run(fmt.Sprintf("load=%gx", factor), func(b *testing.B) {
			for b.Loop() {
				c := newTestCluster(b, 100000, "a", "b", "c")
				var specs []model.ExecutorSpec
				for i := range executors {
					s := newStandIn(b, c.history, fmt.Sprintf("x%d", i), func(w http.ResponseWriter, _ *http.Request) {
						time.Sleep(work)
						fmt.Fprint(w, "done")
					})
					specs = append(specs, s.spec(testService, slots, 60))
				}
				c.announce(specs...)
				n := int(capacity * factor * seconds)
				start := time.Now()
				res := c.openLoad(n, capacity*factor, wait, true)
				took := time.Since(start).Seconds()
				b.ReportMetric(float64(res.good.Load())/took/capacity, "goodput/capacity")
				b.ReportMetric(float64(res.refused.Load())/float64(n), "refused-share")
				b.ReportMetric(float64(res.other.Load())/float64(n), "other-share")
				for id, running := range c.history.maxRunning {
					assert.Assert(b, running <= slots, "%s ran %d", id, running)
				}
			}
		})
	}
}

// BenchmarkRetries measures retries while a fifth of the executors fail every
// request, by closing the connection or by refusing it.
func BenchmarkRetries(b *testing.B) {
	const (
		executors = 20
		failing   = 4
		requests  = 6000
	)
	for _, mode := range []string{"closing", "refusing"} {
		b.Run(mode, func(b *testing.B) {
			for b.Loop() {
				c := newTestCluster(b, 100000, "a", "b")
				var sends atomic.Int64
				var specs []model.ExecutorSpec
				for i := range executors {
					s := newStandIn(b, c.history, fmt.Sprintf("x%02d", i), nil)
					s.refuse = func() bool {
						sends.Add(1)
						return i < failing && mode == "refusing"
					}
					if i < failing {
						s.handle = rawAnswer(func(string) string { return "" })
					}
					specs = append(specs, s.spec(testService, 8, 60))
				}
				c.announce(specs...)
				res := c.openLoad(requests, 2000, longTimeout, true)
				b.ReportMetric(float64(sends.Load()-requests)/requests, "retries/request")
				b.ReportMetric(float64(res.good.Load())/requests, "answered-share")
			}
		})
	}
}

// BenchmarkForwardHeader measures the bytes that entries exchange per request
// in addition to the bodies.
func BenchmarkForwardHeader(b *testing.B) {
	req := request("0192f0c1-7f3a-7c55-9b1e-2f64a1c0d3e4", false, longTimeout)
	req.Header = http.Header{"Content-Type": {"application/json"}, "Accept": {"application/json"}}
	c := &call{router: NewRouter(RouterOptions{Entry: "entry-1"}), req: req, body: &replayBody{size: req.Size}}
	var out []byte
	for b.Loop() {
		var err error
		if out, err = cbor.Marshal(c.forwardHeader(time.Now())); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(out)), "bytes")
}
