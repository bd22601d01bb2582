package route

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// reply is the outcome of one send of a request.
type reply struct {
	id         string
	repeatable bool
	body       string
	err        error
}

// replyLog records the outcomes of all sends.
type replyLog struct {
	mu      sync.Mutex
	replies []reply
}

func (r *replyLog) add(t reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, t)
}

// check compares the outcomes that callers received with what the executors
// ran.
func (r *replyLog) check(t *testing.T, h *history, slots map[string]int32) {
	t.Helper()
	runs := make(map[string]int)
	for _, run := range h.runs {
		runs[run.request]++
	}
	kinds := make(map[errkind.Kind]int)
	last := make(map[string]reply)
	for _, got := range r.replies {
		kinds[errkind.Of(got.err)]++
		if got.err == nil {
			assert.Equal(t, got.body, "answer to "+got.id)
			assert.Assert(t, runs[got.id] >= 1, "%s was answered but never ran", got.id)
		}
		if !got.repeatable {
			assert.Assert(t, runs[got.id] <= 1, "%s ran %d times", got.id, runs[got.id])
		}
		last[got.id] = got
	}
	for id, got := range last {
		if got.err != nil && errkind.RowOf(errkind.Of(got.err)).NotRun {
			assert.Equal(t, runs[id], 0, "%s ran, but its last error says that it did not: %v", id, got.err)
		}
	}
	for id, n := range h.maxRunning {
		assert.Assert(t, int32(n) <= slots[id], "%s ran %d requests concurrently", id, n)
	}
	t.Logf("%d sends of %d requests, %d runs, by kind (no kind: answered): %v", len(r.replies), len(last), len(h.runs), kinds)
}

// faultInjector makes the stand-in executors of one test fail at random.
type faultInjector struct {
	mu           sync.Mutex
	rng          *rand.Rand
	failureRatio float64 // fraction of the requests that fail
}

func (c *faultInjector) draw() (float64, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64(), time.Duration(c.rng.Int64N(int64(3 * time.Millisecond))), c.rng.Float64() < c.failureRatio
}

func (c *faultInjector) handle(w http.ResponseWriter, r *http.Request) {
	kind, work, fails := c.draw()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(work) // simulated work
	id := r.Header.Get(api.HeaderRequestID)
	switch {
	case !fails:
		fmt.Fprintf(w, "answer to %s", id)
	case kind < 0.2:
		rawAnswer(func(string) string { return "" })(w, r)
	case kind < 0.4:
		rawAnswer(func(id string) string {
			return "HTTP/1.1 200 OK\r\nFilbertmast-Request-Id: " + id + "\r\nContent-Length: 100\r\n\r\nshort"
		})(w, r)
	case kind < 0.6:
		rawAnswer(func(string) string {
			return "HTTP/1.1 200 OK\r\nFilbertmast-Request-Id: other\r\nContent-Length: 5\r\n\r\nother"
		})(w, r)
	case kind < 0.7:
		rawAnswer(func(id string) string { return plainAnswer(id, true) + plainAnswer(id, true) })(w, r)
	case kind < 0.8:
		w.WriteHeader(http.StatusBadGateway)
	default:
		<-r.Context().Done()
	}
}

// TestHistoryUnderExecutorCallerAndEntryFailures sends repeatable and
// non-repeatable requests, with callers that disconnect and resends through
// other entries, while executors fail in several ways and an entry is
// partitioned again and again.
func TestHistoryUnderExecutorCallerAndEntryFailures(t *testing.T) {
	const (
		executors = 6
		slots     = 4
		teamLimit = 16
		clients   = 24
		requests  = 40 // per client
		seed      = 7
	)
	t.Log("seed", seed)
	c := newTestCluster(t, teamLimit, "a", "b", "c")
	ch := &faultInjector{rng: rand.New(rand.NewPCG(seed, seed)), failureRatio: 0.2}
	limits := make(map[string]int32)
	var specs []model.ExecutorSpec
	for i := range executors {
		s := newStandIn(t, c.history, fmt.Sprintf("x%d", i), ch.handle)
		s.refuse = func() bool { kind, _, _ := ch.draw(); return kind < 0.05 }
		specs = append(specs, s.spec(testService, slots, 60))
		limits[s.id] = slots
	}
	c.announce(specs...)
	var rec replyLog
	stop := make(chan struct{})
	var cutter sync.WaitGroup
	cutter.Go(func() { c.partitionAndHeal(stop) })
	var wg sync.WaitGroup
	for n := range clients {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		wg.Go(func() {
			for i := range requests {
				c.runClient(rng, &rec, fmt.Sprintf("c%d-%d", n, i))
			}
		})
	}
	wg.Wait()
	close(stop)
	cutter.Wait()
	for _, e := range c.entries {
		assert.Equal(t, len(e.router.Drain(context.Background())), 0)
		assert.Equal(t, len(e.owner.Drain(context.Background())), 0)
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	rec.check(t, c.history, limits)
	assert.Assert(t, c.history.maxTotalRunning <= teamLimit, "%d requests of the team ran concurrently", c.history.maxTotalRunning)
}

// runClient sends one request, sometimes disconnects early, and resends a
// non-repeatable request that was not answered, with the same ID through a
// random entry.
func (c *testCluster) runClient(rng *rand.Rand, rec *replyLog, id string) {
	repeatable := rng.IntN(2) == 0
	names := []string{"a", "b", "c"}
	for range 3 {
		e := c.entries[names[rng.IntN(len(names))]]
		ctx, cancel := context.WithCancel(context.Background())
		if rng.IntN(10) == 0 {
			time.AfterFunc(time.Duration(rng.IntN(4000))*time.Microsecond, cancel)
		}
		got := reply{id: id, repeatable: repeatable}
		got.body, got.err = e.serve(ctx, request(id, repeatable, 300*time.Millisecond))
		cancel()
		rec.add(got)
		if got.err == nil || repeatable {
			return
		}
	}
}

func (e *testEntry) serve(ctx context.Context, req *Request) (string, error) {
	ans, err := e.router.Serve(ctx, req)
	if err != nil {
		return "", err
	}
	defer ans.Body.Close()
	b, err := io.ReadAll(ans.Body)
	if ans.Status != http.StatusOK && err == nil {
		return "", errkind.New(errkind.Internal, "status %d", ans.Status)
	}
	return string(b), err
}

// partitionAndHeal alternately partitions one entry from the leader and its
// peers, and heals the partition, until stop is closed.
func (c *testCluster) partitionAndHeal(stop <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			c.entries["c"].partitioned.Store(false)
			return
		case <-ticker.C:
			c.entries["c"].partitioned.Store(i%2 == 0)
		}
	}
}
