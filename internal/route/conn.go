package route

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// trackedConn counts what was handed to the network, which tells a request of
// which no byte has gone from one that may have run.
type trackedConn struct {
	net.Conn
	written     atomic.Int64
	writeClosed atomic.Bool // for writing
	peerClosed  atomic.Bool // the target has closed the connection
	sendLimit   atomic.Pointer[sendLimit]
}

// sendLimit is the latest time at which an exchange may begin to send, and what
// had been written before it.
type sendLimit struct {
	writtenBefore int64
	notAfter      time.Time
}

// errNotSent ends a write before any of its bytes has gone.
var errNotSent = errors.New("the connection is closed for writing, or the deadline is past")

// Write implements net.Conn. The count rises before the write, since a write
// that fails may still have reached the target in part. Before the first byte
// of an exchange the deadline is checked as late as possible, for a process
// that was frozen since it took the slot.
func (c *trackedConn) Write(b []byte) (int, error) {
	limit := c.sendLimit.Load()
	first := limit != nil && c.written.Load() == limit.writtenBefore
	if c.writeClosed.Load() || (first && isPast(limit.notAfter)) {
		return 0, errNotSent
	}
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Read implements net.Conn. It notes the end that the target has put to the
// connection: a server does so only when its handler is done, or its process.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.peerClosed.Store(true)
	}
	return n, err
}

// past reports whether t is past by the wall clock or by the monotonic clock:
// the latter may stand still while a VM is paused.
func isPast(t time.Time) bool {
	now := time.Now()
	return now.After(t) || now.Round(0).After(t.Round(0))
}

// halfClose tells the target that nobody waits for its answer, and leaves the
// other direction open: its end proves that the target is done.
func (c *trackedConn) halfClose() {
	c.writeClosed.Store(true)
	type closeWriter interface{ CloseWrite() error }
	if w, ok := c.Conn.(closeWriter); ok {
		_ = w.CloseWrite()
	}
}

// dialTracked returns a dial function for an HTTP transport.
func dialTracked(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}
