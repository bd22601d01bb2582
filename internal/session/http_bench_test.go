package session

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// countingConn counts the bytes of TCP payload at the entry in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHeartbeatsHTTP sends heartbeats over HTTP on loopback, with one
// connection per worker. The CPU time includes both ends.
func BenchmarkHeartbeatsHTTP(b *testing.B) {
	for _, usage := range []int{0, tasksPerWorker} {
		for _, workers := range []int{50, 200, 1000} {
			b.Run(fmt.Sprintf("tasks=%d/workers=%d", usage, workers), func(b *testing.B) {
				benchmarkHTTP(b, workers, heartbeatBody(usage))
			})
		}
	}
}

func benchmarkHTTP(b *testing.B, workers int, body []byte) {
	m, _, _ := newManager(func(o *Options) {
		o.Upstream = &countingLeader{}
		o.MaxBatchDelay = testTimeout
		o.MaxBatchSize = min(workers, DefaultMaxBatchSize)
	})
	var bytesSeen atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var h api.Heartbeat
		json.NewDecoder(r.Body).Decode(&h)
		a, err := m.Heartbeat(r.Context(), model.WorkerID(r.URL.Path[1:]), &h)
		if err != nil {
			b.Error(err)
		}
		json.NewEncoder(w).Encode(&a)
	}))
	server.Listener = countingListener{server.Listener, &bytesSeen}
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, MaxConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	roundHTTP(b, client, server.URL, workers, body) // opens the connections
	bytesSeen.Store(0)
	before := cpuTime()
	b.ResetTimer()
	rounds := (b.N + workers - 1) / workers
	for range rounds {
		roundHTTP(b, client, server.URL, workers, body)
	}
	heartbeats := float64(rounds * workers)
	b.ReportMetric(float64(bytesSeen.Load())/heartbeats, "tcp-B/heartbeat")
	b.ReportMetric((cpuTime()-before).Seconds()*1e6/heartbeats, "cpu-us/heartbeat")
}

func roundHTTP(b *testing.B, client *http.Client, url string, workers int, body []byte) {
	var wg sync.WaitGroup
	for i := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp, err := client.Post(fmt.Sprintf("%s/worker-%05d", url, i), "application/json", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}()
	}
	wg.Wait()
}
