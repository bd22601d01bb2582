package route

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

func TestSlotStaysTakenAfterConnectionBreaks(t *testing.T) {
	const size = 32 << 20 // more than the buffers of a connection hold
	c := newTestCluster(t, 100, "a")
	c.entries["a"].owner.opts.Linger = 100 * time.Millisecond
	started := make(chan struct{}, 1)
	release := make(chan struct{})
	c.announce(newStandIn(t, c.history, "x1", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(api.HeaderRequestID)
		if id == "big" {
			started <- struct{}{}
			<-release
			return
		}
		fmt.Fprintf(w, "answer to %s", id)
	}).spec(testService, 1, 60))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		req := request("big", true, 500*time.Millisecond)
		req.Body, req.Size = bytes.NewReader(make([]byte, size)), size
		_, err := c.entries["a"].router.Serve(ctx, req)
		ended <- err
	}()
	<-started
	cancel()
	assert.Assert(t, !errkind.RowOf(errkind.Of(<-ended)).NotRun)
	next := make(chan string, 1)
	go func() {
		got, err := c.entries["a"].send("next", true, longTimeout)
		next <- got + errText(err)
	}()
	c.waitUntil(func() bool { return c.entries["a"].owner.pool(testService).queueLen() == 1 })
	close(release)
	assert.Equal(t, <-next, "answer to next")
	assert.Equal(t, c.history.maxRunning["x1"], 1)
}

// TestRollingRestartFailsNoRequest shuts down one entry after the other while
// callers keep sending through those that are ready.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	names := []string{"a", "b", "c"}
	c := newTestCluster(t, 100, names...)
	for i := range 6 {
		s := newStandIn(t, c.history, fmt.Sprintf("x%d", i), func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond) // simulated work
			fmt.Fprintf(w, "answer to %s", r.Header.Get(api.HeaderRequestID))
		})
		c.announce(s.spec(testService, 4, 60))
	}
	var ready sync.Map
	for _, name := range names {
		ready.Store(name, true)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var rec replyLog
	for n := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				name := names[(n+i)%len(names)]
				if _, ok := ready.Load(name); !ok {
					continue
				}
				got := reply{id: fmt.Sprintf("r%d-%d", n, i), repeatable: i%2 == 0}
				got.body, got.err = c.entries[name].send(got.id, got.repeatable, longTimeout)
				rec.add(got)
			}
		})
	}
	for _, name := range names[:2] {
		e := c.entries[name]
		enough := rec.len() + 300
		c.waitUntil(func() bool { return rec.len() > enough })
		ready.Delete(name) // the load balancer sends no more requests here
		e.leases.Leave()
		c.renewSoon()
		assert.Equal(t, len(e.router.Drain(context.Background())), 0)
		c.waitUntil(func() bool { c.renewSoon(); return e.owner.pool(testService) == nil })
		assert.Equal(t, len(e.owner.Drain(context.Background())), 0)
	}
	close(stop)
	wg.Wait()
	for _, got := range rec.replies {
		if errkind.Is(got.err, errkind.Draining) {
			continue // sent at the moment when the entry stopped being ready
		}
		assert.NilError(t, got.err, "%s", got.id)
		assert.Equal(t, c.history.count(got.id), 1)
	}
	t.Logf("sent %d requests", len(rec.replies))
}

func (r *replyLog) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.replies)
}
