package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	entryAnnounceRate = 150 // announcements per second at one entry, below its rate limit
	pollWait          = 10 * time.Second
	entryRunTime      = 15 * time.Second
)

// heartbeatWorkers are the numbers of workers at one entry that are measured.
var heartbeatWorkers = []int{200, 400, 800, 1600}

// traffic counts the bytes that workers send and receive over HTTP connections,
// without TCP and IP headers.
type traffic struct{ sent, received atomic.Int64 }

type countedConn struct {
	net.Conn
	t *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.sent.Add(int64(n))
	return n, err
}

// httpWorkers simulates workers that call one entry over HTTP.
type httpWorkers struct {
	base       string
	key        string
	http       *http.Client
	traffic    traffic
	sessions   []uint64
	failed     atomic.Int64
	heartbeats atomic.Int64
	polls      atomic.Int64
}

func newHTTPWorkers(entry Process, key string, n int) *httpWorkers {
	t := &httpWorkers{base: "http://" + entry.Outer, key: key, sessions: make([]uint64, n)}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{c, &t.traffic}, nil
	}
	t.http = &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConns: 2 * n, MaxIdleConnsPerHost: 2 * n}}
	return t
}

func (t *httpWorkers) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, t.base+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+t.key)
	resp, err := t.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return json.Unmarshal(b, out)
}

// announce registers worker i.
func (t *httpWorkers) announce(ctx context.Context, i int) {
	spec := workerSpec(i, taskSize)
	spec.ID = model.WorkerID(fmt.Sprintf("target-%05d", i))
	var a api.AnnounceAnswer
	if err := t.call(ctx, http.MethodPost, "/v1/workers", &spec, &a); err != nil {
		t.failed.Add(1)
		return
	}
	t.sessions[i] = a.Session
}

// sendHeartbeats sends heartbeats of worker i every renewInterval, a third of its
// lease, until ctx ends. The first heartbeats of the workers are spread over one
// interval.
func (t *httpWorkers) sendHeartbeats(ctx context.Context, i int) {
	path := fmt.Sprintf("/v1/workers/target-%05d/heartbeat", i)
	first := time.Duration(i) * renewInterval / time.Duration(len(t.sessions))
	for wait := first; ; wait = renewInterval {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		h := api.Heartbeat{Session: t.sessions[i], Usage: steadyUsage()}
		var a api.HeartbeatAnswer
		if err := t.call(ctx, http.MethodPost, path, &h, &a); err != nil && ctx.Err() == nil {
			t.failed.Add(1)
		}
		t.heartbeats.Add(1)
	}
}

// steadyUsage returns the usage report of a worker that runs tasksPerWorker tasks.
func steadyUsage() []api.TaskUsage {
	out := make([]api.TaskUsage, tasksPerWorker)
	for i := range out {
		out[i] = api.TaskUsage{Task: model.TaskID{Job: 1_234_567, Index: int32(i)},
			Fence: model.Fence{Term: 12, Index: 12_345_678}, Used: taskSize}
	}
	return out
}

// poll long-polls for commands to worker i until ctx ends.
func (t *httpWorkers) poll(ctx context.Context, i int) {
	path := fmt.Sprintf("/v1/workers/target-%05d/commands?session=%d&wait=%s", i, t.sessions[i], pollWait)
	for ctx.Err() == nil {
		var c api.Commands
		if err := t.call(ctx, http.MethodGet, path, nil, &c); err != nil && ctx.Err() == nil {
			t.failed.Add(1)
			time.Sleep(pollInterval)
		}
		t.polls.Add(1)
	}
}

// entryPart measures the cost of workers at an entry and the bytes that they
// send and receive.
func entryPart(ctx context.Context, l *loadClient, r *Report) error {
	for _, n := range heartbeatWorkers {
		if err := l.measureWorkers(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func (l *loadClient) measureWorkers(ctx context.Context, r *Report, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	entry := l.d.Entries[0]
	t := newHTTPWorkers(entry, l.d.Operator, n)
	l.runAtRate(ctx, entryAnnounceRate, time.Duration(float64(n)/entryAnnounceRate*float64(time.Second)), func(i int) {
		if i < n {
			t.announce(ctx, i)
		}
	})
	var running sync.WaitGroup
	for i := range n {
		running.Add(2)
		go func() { defer running.Done(); t.sendHeartbeats(ctx, i) }()
		go func() { defer running.Done(); t.poll(ctx, i) }()
	}
	time.Sleep(renewInterval) // excludes the first heartbeats, which carry the usage of every task
	before, err := usageOf(ctx, entry)
	if err != nil {
		return err
	}
	sent, received, heartbeats := t.traffic.sent.Load(), t.traffic.received.Load(), t.heartbeats.Load()
	time.Sleep(entryRunTime)
	after, err := usageOf(ctx, entry)
	if err != nil {
		return err
	}
	x, length := float64(n), entryRunTime.Seconds()
	u := after.since(before)
	r.add("entry CPU by worker", "ms a second", "worker", x, 1e3*u.cpu/length)
	r.add("entry resident memory by worker", "B", "worker", x, after.resident)
	r.add("bytes a second that workers send", "B", "worker", x, float64(t.traffic.sent.Load()-sent)/length)
	r.add("bytes a second that workers get", "B", "worker", x, float64(t.traffic.received.Load()-received)/length)
	r.add("heartbeats a second", "1", "worker", x, float64(t.heartbeats.Load()-heartbeats)/length)
	r.add("bytes a second from entry to leader", "B", "worker", x, u.peersSent/length)
	r.add("bytes a second from leader to entry", "B", "worker", x, u.peersReceived/length)
	r.addCount("failed calls of workers", x, float64(t.failed.Load()))
	cancel()
	running.Wait()
	t.http.CloseIdleConnections()
	return nil
}
