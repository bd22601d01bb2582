package route

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// trackedConn counts the bytes passed to the network. The count distinguishes a
// request of which no byte was sent from one that may have run.
type trackedConn struct {
	net.Conn
	written     atomic.Int64
	writeClosed atomic.Bool // closed for writing
	sendLimit   atomic.Pointer[sendLimit]

	peerClosed     chan struct{} // closed once the target has closed the connection
	markPeerClosed func()

	mu     sync.Mutex
	holder *exchange // keeps the connection open for reading; nil if none
	closed bool      // Close was called
}

func newTrackedConn(c net.Conn) *trackedConn {
	peerClosed := make(chan struct{})
	return &trackedConn{
		Conn:           c,
		peerClosed:     peerClosed,
		markPeerClosed: sync.OnceFunc(func() { close(peerClosed) }),
	}
}

// sendLimit is the latest time at which an exchange may begin to send, and the
// number of bytes written on the connection before the exchange.
type sendLimit struct {
	writtenBefore int64
	notAfter      time.Time
}

// errNotSent is returned by a write that sent none of its bytes.
var errNotSent = errors.New("the connection is closed for writing, or the deadline has passed")

// Write implements net.Conn. It increases the count before the write, since a
// failed write may still have reached the target in part. Before the first byte
// of an exchange it checks the deadline, as late as possible: the process may
// have been frozen since the slot was taken.
func (c *trackedConn) Write(b []byte) (int, error) {
	limit := c.sendLimit.Load()
	first := limit != nil && c.written.Load() == limit.writtenBefore
	if c.writeClosed.Load() || (first && isPast(limit.notAfter)) {
		return 0, errNotSent
	}
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Read implements net.Conn. It records when the target closes the connection: a
// server does so only once its handler has returned or its process has ended.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.markPeerClosed()
	}
	return n, err
}

// hold makes Close leave the connection open for reading until e releases it.
func (c *trackedConn) hold(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = e
}

// release ends the hold of e, and closes the connection if Close was called
// meanwhile. It does nothing if another exchange holds the connection.
func (c *trackedConn) release(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != e {
		return
	}
	c.holder = nil
	if c.closed {
		_ = c.Conn.Close()
	}
}

// Close implements net.Conn. While an exchange holds the connection, Close
// closes it for writing only: http.Transport closes a connection when a write
// fails, but the executor may be running the part of the request that it has.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.holder == nil {
		return c.Conn.Close()
	}
	c.halfClose()
	return nil
}

// discardUntilPeerCloses reads the connection until the target closes it or it
// is closed here.
func (c *trackedConn) discardUntilPeerCloses() {
	// The error only ends the loop: Read has recorded what it means.
	_, _ = io.Copy(io.Discard, c)
}

// isPast reports whether t has passed by the wall clock or by the monotonic
// clock. The monotonic clock may stop while a VM is paused.
func isPast(t time.Time) bool {
	now := time.Now()
	return now.After(t) || now.Round(0).After(t.Round(0))
}

// halfClose closes the connection for writing, which signals the target that
// the answer is no longer awaited. Reading stays possible: when the target
// closes its direction, it has finished.
func (c *trackedConn) halfClose() {
	c.writeClosed.Store(true)
	type closeWriter interface{ CloseWrite() error }
	if w, ok := c.Conn.(closeWriter); ok {
		_ = w.CloseWrite()
	}
}

// dialTracked returns a dial function for http.Transport that returns tracked
// connections.
func dialTracked(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(c), nil
	}
}
