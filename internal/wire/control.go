package wire

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// control is a message on the control stream, the first stream of a connection.
// Each end first sends a hello. To close the connection, each end sends
// Bye (neither end may open more streams) and then Done (it has received every
// answer that it waited for). The connection closes once both ends have sent
// Done, so no call is interrupted.
type control struct {
	Bye  bool `cbor:"1,keyasint,omitempty"`
	Done bool `cbor:"2,keyasint,omitempty"`
}

// dialHello sends the hello on a dialled connection and waits for the peer's,
// which also proves that the peer has accepted this process's certificate.
func (e *Endpoint) dialHello(ctx context.Context, qc *quic.Conn, l lane) (*conn, error) {
	s, err := qc.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	s.SetDeadline(deadline)
	b, err := appendFrame(preface{mode: modeControl}.append(nil), &hello{Peer: e.self, Lane: l})
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
	return newConn(e, qc, s, hello{Peer: remote.Peer, Lane: l}, true), nil
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
		return nil, errkind.New(errkind.BadRequest, "connection does not start with a hello on a control stream")
	}
	remote, err := readHello(s)
	if err != nil {
		return nil, err
	}
	b, err := appendFrame(nil, &hello{Peer: e.self, Lane: remote.Lane})
	if err != nil {
		return nil, err
	}
	if _, err := s.Write(b); err != nil {
		return nil, err
	}
	s.SetDeadline(time.Time{})
	return newConn(e, qc, s, *remote, false), nil
}

func readHello(r io.Reader) (*hello, error) {
	b, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	h, err := decode[hello](b)
	if err != nil {
		return nil, err
	}
	if h.Address == "" {
		return nil, errkind.New(errkind.BadRequest, "hello has no listening address")
	}
	return h, nil
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

// retire starts the graceful close of the connection. It is idempotent.
func (c *conn) retire() {
	c.retired.Store(true)
	c.peer().dropConn(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sentBye {
		c.sentBye = true
		c.writeControl(control{Bye: true})
	}
	c.finishIfIdle()
}

// callEnded records the end of a call or exchange that this end started.
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

// finishIfIdle sends Done if this end has no open calls, and closes the connection
// if both ends are done. Only the dialling end closes it, so that the Done of the
// accepting end is not lost. Callers hold c.mu.
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

// writeControl sends m on the control stream. Callers hold c.mu. Errors are
// ignored, since the connection has then failed anyway.
func (c *conn) writeControl(m control) {
	b, err := appendFrame(nil, &m)
	if err != nil {
		return
	}
	c.control.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	c.control.Write(b)
}

// Drain refuses new connections and waits until the open calls of both
// directions have ended. It returns nil once all connections are closed, or the
// error of ctx. New calls from this process fail with Unreachable.
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

// reapLoop periodically retires unused connections, removes unused peers and
// updates the packet counters.
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
	for key, p := range e.peers {
		if now.Sub(p.lastUse) > unusedPeerTimeout && p.idle() {
			delete(e.peers, key)
		}
	}
}
