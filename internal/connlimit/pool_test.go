package connlimit

import (
	"bufio"
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
	p, m := NewPool(all, HeadLimit(0, 0), r), NewMetrics(r)
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

// shortLines returns the lines of a head that takes more memory than its bytes.
func shortLines(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%03x:\r\n", i%0x1000)
	}
	return b.String()
}

// headsHeld returns the bytes charged for heads.
func headsHeld(p *Pool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heads
}

func awaitHeads(t *testing.T, p *Pool, want string, ok func(int64) bool) {
	t.Helper()
	testwait.Until(t, testTimeout, want, func() error {
		if n := headsHeld(p); !ok(n) {
			return fmt.Errorf("%d bytes", n)
		}
		return nil
	})
}

func TestHeadsThatDoNotArriveGiveWay(t *testing.T) {
	const clients, length = 12, 8 << 10
	r := prometheus.NewRegistry()
	p := NewPool(100, 4*length*headByteCost, r)
	l := serveIn(t, p, NewMetrics(r), "test", 100, respondOK)
	begun := "GET / HTTP/1.1\r\nHost: a\r\n" + shortLines(length)
	var conns []net.Conn
	for range clients {
		conns = append(conns, dial(t, l, begun))
	}
	awaitHeads(t, p, "heads within the limit", func(n int64) bool { return n > 0 && n <= p.headLimit })
	time.Sleep(ordinaryTime)
	late := dial(t, l, begun+"\r\n")
	answer := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(late, answer)
	assert.NilError(t, err, "a complete head is served while others do not end")
	assert.Equal(t, string(answer), "HTTP/1.1 200")
	closed := 0
	for _, c := range conns {
		if isClosed(c) {
			closed++
		}
	}
	assert.Assert(t, closed >= clients-4, "%d of %d connections were closed", closed, clients)
	for _, c := range append(conns, late) {
		c.Close()
	}
	awaitHeads(t, p, "no charge", func(n int64) bool { return n == 0 })
}

// What is charged must be returned after each request, whatever its client sends at once.
func TestChargesOfHeadsEndWithRequests(t *testing.T) {
	large := shortLines(12 << 10)
	rows := []struct{ name, text string }{
		{"small", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"large", "GET / HTTP/1.1\r\nHost: a\r\n" + large + "\r\n"},
		{"with a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n" + large + "\r\n" + strings.Repeat("x", 9000)},
		{"with a body of unknown length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2328\r\n" + strings.Repeat("x", 9000) + "\r\n0\r\n\r\n"},
		{"several at once", strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 50)},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := prometheus.NewRegistry()
			p := NewPool(100, HeadLimit(0, 0), r)
			l := serveIn(t, p, NewMetrics(r), "test", 100, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
			c := dial(t, l, row.text)
			answers := bufio.NewReader(c)
			first, err := http.ReadResponse(answers, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, first.Body)
			assert.NilError(t, err)
			go io.Copy(io.Discard, answers)
			awaitHeads(t, p, "no charge while idle", func(n int64) bool { return n == 0 })
			for range 3 {
				_, err := io.WriteString(c, row.text)
				assert.NilError(t, err)
			}
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+large)
			assert.NilError(t, err)
			awaitHeads(t, p, "the charge of the last head", func(n int64) bool { return n > int64(len(large)-2*readBuffer)*headByteCost })
			_, err = io.WriteString(c, "\r\n")
			assert.NilError(t, err)
			awaitHeads(t, p, "no charge", func(n int64) bool { return n == 0 })
			assert.Assert(t, !isClosed(c))
		})
	}
}

// A head of the largest size must be served on the smallest machines.
func TestLargestHeadIsServed(t *testing.T) {
	const maxHeader, smallMemory = 16 << 10, 32 << 20
	r := prometheus.NewRegistry()
	p := NewPool(100, HeadLimit(smallMemory, maxHeader), r)
	l := serveIn(t, p, NewMetrics(r), "test", 100, respondOK)
	c := dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n"+shortLines(maxHeader-64)+"\r\n")
	answer := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(c, answer)
	assert.NilError(t, err)
}
