package connlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/testwait"
)

// serveIn serves h at a listener of a pool.
func serveIn(t *testing.T, p *Pool, m *Metrics, name string, max int, h http.HandlerFunc) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := New(inner, Options{Max: max, Pool: p, Name: name, Metrics: m, Logger: log.New(io.Discard)})
	srv := &http.Server{Handler: h}
	l.Bind(srv)
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l
}

func respondOK(http.ResponseWriter, *http.Request) {}

// A crowd at one listener must leave another its share, and all together must stay within the
// limit of the process.
func TestListenersShareConnections(t *testing.T) {
	const all, crowd = 8, 20
	r := prometheus.NewRegistry()
	p, m := NewPool(all, r), NewMetrics(r)
	first := serveIn(t, p, m, "first", all, respondOK)
	second := serveIn(t, p, m, "second", all, respondOK)
	for range crowd {
		dial(t, first, "")
	}
	testwait.Until(t, testTimeout, "a crowd within the limit", func() error {
		if n := first.open(); n != all {
			return fmt.Errorf("%d connections", n)
		}
		return nil
	})
	for range crowd {
		dial(t, second, "")
	}
	testwait.Until(t, testTimeout, "equal shares", func() error {
		if a, b := first.open(), second.open(); a != all/2 || b != all/2 {
			return fmt.Errorf("%d and %d connections", a, b)
		}
		return nil
	})
	for _, l := range []*Listener{first, second} {
		status, err := get(t, l)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}
