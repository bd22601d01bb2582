package connlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/testwait"
)

const testTimeout = 30 * time.Second

// serve serves h at a listener with at most max connections.
func serve(t *testing.T, max int, h http.HandlerFunc) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := New(inner, Options{Max: max, Pool: NewPool(max, HeadLimit(0, 0), prometheus.NewRegistry()), Name: "test", Metrics: NewMetrics(prometheus.NewRegistry()), Logger: log.New(io.Discard)})
	srv := &http.Server{Handler: h}
	l.Bind(srv)
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l
}

func dial(t *testing.T, l *Listener, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c
}

func get(t *testing.T, l *Listener) (int, error) {
	t.Helper()
	c := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := io.Copy(io.Discard, c)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// Connections that occupy their places without a complete request must give them to ordinary
// ones, and connections whose request is being served must keep theirs.
func TestConnectionsThatServeNobodyAreClosedAtLimit(t *testing.T) {
	rows := []struct{ name, text string }{
		{"silent", ""},
		{"incomplete head", "GET / HTTP/1.1\r\nHost: a\r\n"},
		{"incomplete body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx"},
		{"incomplete chunked body", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx"},
		{"idle", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			const limit = 4
			serving, release := make(chan struct{}), make(chan struct{})
			l := serve(t, limit, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/served" {
					close(serving)
					<-release
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			})
			served := dial(t, l, "POST /served HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
			<-serving
			for range limit - 1 {
				dial(t, l, row.text)
			}
			testwait.Until(t, testTimeout, "a full listener", func() error {
				if n := l.open(); n < limit {
					return fmt.Errorf("%d connections", n)
				}
				return nil
			})
			for range 2 * limit {
				status, err := get(t, l)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
			}
			assert.Assert(t, l.open() <= limit)
			assert.Assert(t, !isClosed(served), "the connection of a request in service stays open")
			close(release)
		})
	}
}

// A client that does not read its response must not keep its place.
func TestConnectionThatDoesNotReadIsClosedAtLimit(t *testing.T) {
	const large = 64 << 20
	l := serve(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, large))
		}
	})
	dial(t, l, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	status, err := get(t, l)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// While every connection serves a request, the next one must wait and then be served.
func TestNextConnectionWaitsForServedOnes(t *testing.T) {
	serving, release := make(chan struct{}), make(chan struct{})
	l := serve(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/served" {
			close(serving)
			<-release
		}
	})
	served := dial(t, l, "GET /served HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	<-serving
	result := make(chan error, 1)
	go func() {
		_, err := get(t, l)
		result <- err
	}()
	select {
	case err := <-result:
		t.Fatalf("served above the limit: %v", err)
	case <-time.After(ordinaryTime + 200*time.Millisecond):
	}
	close(release)
	assert.NilError(t, <-result)
	text, err := io.ReadAll(served)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 200"))
}

// A listener that waits for a place must end when it is closed, so that the process can.
func TestCloseEndsWaitForPlace(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := New(inner, Options{Max: 1, Pool: NewPool(1, HeadLimit(0, 0), prometheus.NewRegistry()), Name: "test", Metrics: NewMetrics(prometheus.NewRegistry()), Logger: log.New(io.Discard)})
	dial(t, l, "")
	dial(t, l, "")
	first, err := l.Accept()
	assert.NilError(t, err)
	first.(*conn).set(stateBusy)
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	time.Sleep(2 * roomPoll)
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-accepted, net.ErrClosed)
}

// The limits must have room for what the smallest and the largest machines need.
func TestShare(t *testing.T) {
	const mb = 1 << 20
	rows := []struct {
		name                   string
		files                  int
		memory                 int64
		callers, workers, both int
	}{
		{"the smallest machine of the deployments", 3075, 144 * mb, 737, 737, 737},
		{"a larger one", 10_250, 424 * mb, 2170, 2170, 2170},
		{"no limits", maxOpenFiles, 0, 4096, 4096, 4096},
		{"few files", 512, 0, 192, 128, 256},
		{"hardly any files", 64, 32 * mb, 24, 16, 32},
	}
	for _, row := range rows {
		assert.Equal(t, Share(ForCallers, row.files, row.memory), row.callers, row.name)
		assert.Equal(t, Share(ForWorkers, row.files, row.memory), row.workers, row.name)
		assert.Equal(t, Share(ForAll, row.files, row.memory), row.both, row.name)
	}
}
