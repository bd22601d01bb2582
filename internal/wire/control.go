package wire

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// The control stream is the first of a connection. Each end says hello on it,
// and later, in order, bye ("I open no more streams; open none either") and
// done ("I have every answer that I waited for"). Once both are done the
// connection closes, and no call is cut off by it.
type control struct {
	Bye  bool `cbor:"1,keyasint,omitempty"`
	Done bool `cbor:"2,keyasint,omitempty"`
}

// dialHello says hello on a dialled connection and waits for the answer, which
// also proves that the peer has accepted this process's certificate.
func (e *Endpoint) dialHello(ctx context.Context, qc *quic.Conn) (*conn, error) {
	s, err := qc.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	s.SetDeadline(deadline)
	b, err := appendFrame(preface{mode: modeControl}.append(nil), &e.self)
	if err != nil {
		return nil, err
	}
	if _, err := s.Write(b); err != nil {
		return nil, err
	}
	remote, err := readHello(s)
	if err != nil {
		return nil, err
	}
	s.SetDeadline(time.Time{})
	return newConn(e, qc, s, *remote, true), nil
}

func (e *Endpoint) acceptHello(ctx context.Context, qc *quic.Conn) (*conn, error) {
	s, err := qc.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	s.SetDeadline(deadline)
	p, err := readPreface(s)
	if err != nil {
		return nil, err
	}
	if p.mode != modeControl {
		return nil, errkind.New(errkind.BadRequest, "connection does not begin with a hello")
	}
	remote, err := readHello(s)
	if err != nil {
		return nil, err
	}
	b, err := appendFrame(nil, &e.self)
	if err != nil {
		return nil, err
	}
	if _, err := s.Write(b); err != nil {
		return nil, err
	}
	s.SetDeadline(time.Time{})
	return newConn(e, qc, s, *remote, false), nil
}

func readHello(r io.Reader) (*Peer, error) {
	b, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	p, err := decode[Peer](b)
	if err != nil {
		return nil, err
	}
	if p.Address == "" {
		return nil, errkind.New(errkind.BadRequest, "hello names no address")
	}
	return p, nil
}

func (c *conn) readControl(wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		b, err := readFrame(c.control)
		if err != nil {
			return
		}
		m, err := decode[control](b)
		if err != nil {
			c.e.metrics.refuse(reasonUndecodable)
			continue
		}
		c.onControl(*m)
	}
}

func (c *conn) onControl(m control) {
	c.mu.Lock()
	c.receivedDone = c.receivedDone || m.Done
	c.mu.Unlock()
	c.retire()
}

// retire begins the orderly end of the connection. It may be called often.
func (c *conn) retire() {
	c.retired.Store(true)
	c.e.peer(c.remote.Address).dropConn(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sentBye {
		c.sentBye = true
		c.writeControl(control{Bye: true})
	}
	c.finishIfIdle()
}

// callEnded notes that one call or exchange of this end is over.
func (c *conn) callEnded() {
	c.markUsed()
	c.calls.Add(-1)
	if !c.retired.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishIfIdle()
}

// finishIfIdle says done when this end waits for nothing, and closes when both are
// done. The dialling end closes, so that the last word of the other is not lost.
func (c *conn) finishIfIdle() {
	if c.calls.Load() > 0 {
		return
	}
	if !c.sentDone {
		c.sentDone = true
		c.writeControl(control{Done: true})
	}
	if c.receivedDone && c.dialled {
		go c.close(codeIdle, "done")
	}
}

// writeControl writes m; callers hold c.mu. A failed write means that the connection is
// ending anyway.
func (c *conn) writeControl(m control) {
	b, err := appendFrame(nil, &m)
	if err != nil {
		return
	}
	c.control.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	c.control.Write(b)
}

// Drain stops taking connections, lets every open call in both directions end,
// and returns nil once all connections are closed, or the error of ctx. New
// calls from this process fail with Unreachable.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.draining.Store(true)
	for _, c := range e.allConns() {
		c.retire()
	}
	for _, c := range e.allConns() {
		select {
		case <-c.qc.Context().Done():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// reapLoop retires connections that nothing uses, forgets peers that are gone
// and keeps the packet counters current.
func (e *Endpoint) reapLoop() {
	defer e.wg.Done()
	tick := time.NewTicker(reapPeriod)
	defer tick.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-tick.C:
			e.reap(now)
		}
	}
}

func (e *Endpoint) reap(now time.Time) {
	for _, c := range e.allConns() {
		c.countPackets()
		if c.unusedFor(now) > unusedConnectionTimeout && c.calls.Load() == 0 {
			c.retire()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, p := range e.peers {
		if now.Sub(p.lastUse) > unusedPeerTimeout && p.idle() {
			delete(e.peers, a)
		}
	}
}
