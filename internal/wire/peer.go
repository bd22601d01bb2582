package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// peer is the state of one lane to a remote address: its cached connection or dial
// attempt, and the queued one-way messages for it.
type peer struct {
	e       *Endpoint
	address string
	lane    lane
	lastUse time.Time // guarded by Endpoint.mu

	mu         sync.Mutex
	conn       *conn
	dialling   *dial
	failures   int
	nextDial   time.Time
	postQueues map[queueKey]*postQueue
	queued     queueUsage
}

// dial is one dial attempt, shared by all callers that wait for the connection.
type dial struct {
	began time.Time
	done  chan struct{}
	conn  *conn
	err   error
}

// acquireConn returns a connection on which one call may be opened. The caller
// must call callEnded on it afterwards. Errors are of kind Unreachable.
func (p *peer) acquireConn(ctx context.Context) (*conn, error) {
	for {
		c, err := p.connection(ctx)
		if err != nil {
			return nil, err
		}
		c.calls.Add(1)
		if c.usable() {
			c.markUsed()
			return c, nil
		}
		c.callEnded()
		p.dropConn(c)
	}
}

// connection returns the cached connection, or dials. During a backoff it fails at once.
func (p *peer) connection(ctx context.Context) (*conn, error) {
	c, d, err := p.cachedOrDial()
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.Unreachable, ctx.Err(), "context ended before a connection to "+p.address+" was established")
	}
}

func (p *peer) cachedOrDial() (*conn, *dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.usable() {
		return p.conn, nil, nil
	}
	p.conn = nil
	if p.dialling != nil {
		return nil, p.dialling, nil
	}
	if p.e.draining.Load() {
		return nil, nil, errkind.New(errkind.Unreachable, "this process is shutting down")
	}
	if left := time.Until(p.nextDial); left > 0 {
		p.e.metrics.dials.WithLabelValues(reasonBackingOff).Inc()
		err := errkind.New(errkind.Unreachable, "no connection to %s; next dial attempt in %s", p.address, left.Round(time.Millisecond))
		return nil, nil, errkind.WithRetryAfter(err, left)
	}
	p.dialling = &dial{began: time.Now(), done: make(chan struct{})}
	go p.dial(p.dialling)
	return nil, p.dialling, nil
}

// dial makes one attempt. It is limited by handshakeTimeout, not by the contexts
// of the waiting callers.
func (p *peer) dial(d *dial) {
	ctx, cancel := context.WithTimeout(p.e.ctx, handshakeTimeout)
	defer cancel()
	d.conn, d.err = p.e.connect(ctx, p.address, p.lane)
	p.finishDial(d)
	close(d.done)
}

func (p *peer) finishDial(d *dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = nil
	if d.err != nil {
		p.e.metrics.dials.WithLabelValues(reasonDialFailed).Inc()
		p.failures++
		p.nextDial = d.began.Add(redialDelay(p.failures))
		return
	}
	p.e.metrics.dials.WithLabelValues("ok").Inc()
	p.failures = 0
	p.nextDial = time.Time{}
	p.conn = d.conn
}

// redialDelay returns the time from the begin of a dial that has failed to the next: an
// exponential backoff up to redialMax. A dial to a silent peer takes that long by itself, and
// a further pause would delay the discovery that the peer is back. Its upper half is
// random, so that the peers of a returning process do not all dial at once.
func redialDelay(failures int) time.Duration {
	d := redialMax
	if shift := failures - 1; shift < 10 {
		d = min(redialMax, redialBase<<shift)
	}
	return d/2 + rand.N(d/2)
}

func (e *Endpoint) connect(ctx context.Context, address string, l lane) (*conn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, err, "peer address must have the form IP:port")
	}
	qc, err := e.transport.Dial(ctx, addr, e.tls, e.quic)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, err, "cannot connect to "+address)
	}
	c, err := e.dialHello(ctx, qc, l)
	if err != nil {
		qc.CloseWithError(codeNoHello, "no hello")
		return nil, errkind.Wrap(errkind.Unreachable, err, "no hello from "+address)
	}
	if !e.registerConn(c) {
		return nil, errkind.New(errkind.Unreachable, "this endpoint has been closed")
	}
	return c, nil
}

// useAccepted makes an accepted connection the cached one. The peer dialled it, so
// it had no usable older connection or has restarted since.
func (p *peer) useAccepted(c *conn) {
	p.e.closeEarlierIncarnations(c.remote)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	p.failures = 0
	p.nextDial = time.Time{}
}

// closeEarlierIncarnations closes the connections to earlier incarnations of a
// peer. They are dead but have not failed yet, and closing them unblocks the calls
// that wait on them.
func (e *Endpoint) closeEarlierIncarnations(now Peer) {
	for _, c := range e.allConns() {
		if c.remote.Address == now.Address && c.remote.Started < now.Started {
			go c.close(codeClosed, "the peer has restarted")
		}
	}
}

func (p *peer) dropConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
	}
}

func (p *peer) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn == nil && p.dialling == nil && p.queued.count == 0
}
