package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/quic-go/quic-go"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Endpoint is this process's endpoint of the inner protocol. It listens on one
// UDP address and dials its peers from the same address. It is safe for
// concurrent use.
type Endpoint struct {
	self      Peer
	budget    Shaper
	log       *log.Logger
	metrics   *metrics
	tls       *tls.Config // for dialling
	quic      *quic.Config
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	handlers  handlers
	frames    frameBudget
	hellos    *handshakes
	ctx       context.Context
	cancel    context.CancelFunc
	draining  atomic.Bool
	wg        sync.WaitGroup

	mu    sync.Mutex
	peers map[peerKey]*peer
	conns map[*conn]struct{}
}

// Listen opens an endpoint and starts to accept connections. It fails with
// BadRequest if the address is invalid, and with Internal otherwise.
func Listen(o Options) (*Endpoint, error) {
	base := o.TLS
	if base == nil {
		local, err := localTLS()
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "cannot create a local certificate")
		}
		base = local
	}
	socket, address, err := openSocket(o)
	if err != nil {
		return nil, err
	}
	e := newEndpoint(o, base, socket, address)
	e.listener, err = e.transport.Listen(serverTLS(base, o.AcceptAnyCertificate), e.quic)
	if err != nil {
		socket.Close()
		return nil, errkind.Wrap(errkind.Internal, err, "cannot listen on "+o.Address)
	}
	e.wg.Add(2)
	go e.acceptLoop()
	go e.reapLoop()
	return e, nil
}

func openSocket(o Options) (net.PacketConn, string, error) {
	addr, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, "", errkind.Wrap(errkind.BadRequest, err, "inner address must have the form IP:port")
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, "", errkind.Wrap(errkind.Internal, err, "cannot listen on "+o.Address)
	}
	address := udp.LocalAddr().String()
	if o.Faults != nil {
		return &faultyConn{PacketConn: udp, faults: o.Faults}, address, nil
	}
	return udp, address, nil
}

func newEndpoint(o Options, base *tls.Config, socket net.PacketConn, address string) *Endpoint {
	logger := o.Logger
	if logger == nil {
		logger = log.Default()
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := newMetrics(o.Registerer)
	hellos := newHandshakes(m)
	return &Endpoint{
		self: Peer{
			Name:          o.Name,
			Address:       address,
			Region:        o.Region,
			FailureDomain: o.FailureDomain,
			Started:       time.Now().UnixNano(),
		},
		budget:  o.Budget,
		log:     logger.WithPrefix("wire"),
		metrics: m,
		tls:     clientTLS(base, o.AcceptAnyCertificate),
		quic:    quicConfig(),
		frames:  frameBudget{limit: maxRequestFrames},
		hellos:  hellos,
		socket:  socket,
		transport: &quic.Transport{
			Conn:                socket,
			StatelessResetKey:   resetKey(base, address),
			ConnContext:         hellos.begin,
			VerifySourceAddress: hellos.mustVerify,
		},
		ctx:    ctx,
		cancel: cancel,
		peers:  make(map[peerKey]*peer),
		conns:  make(map[*conn]struct{}),
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeSilence,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    unlimitedStreams,
		MaxIncomingUniStreams: maxPostStreams,
		EnableDatagrams:       true,
	}
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.self.Address }

// Self returns the description of this endpoint that is sent to peers.
func (e *Endpoint) Self() Peer { return e.self }

// Close closes every connection at once. Call Drain first to let open calls end.
func (e *Endpoint) Close() error {
	e.draining.Store(true)
	e.cancel()
	for _, c := range e.allConns() {
		c.close(codeClosed, "endpoint closed")
	}
	e.listener.Close()
	err := e.transport.Close()
	e.socket.Close()
	e.wg.Wait()
	return err
}

func (e *Endpoint) acceptLoop() {
	defer e.wg.Done()
	for {
		qc, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			e.serveAccepted(qc)
		}()
	}
}

// serveAccepted exchanges hellos on an accepted connection and starts to serve it.
func (e *Endpoint) serveAccepted(qc *quic.Conn) {
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	c, err := e.acceptHello(ctx, qc)
	if err != nil {
		e.metrics.refuse(reasonNoHello)
		qc.CloseWithError(codeNoHello, "no hello")
		return
	}
	endHandshake(qc)
	if e.draining.Load() {
		e.metrics.refuse(reasonDraining)
		qc.CloseWithError(codeRefused, "draining")
		return
	}
	e.registerConn(c)
	c.peer().useAccepted(c)
}

// registerConn adds c to the endpoint and starts to serve it. If the endpoint is
// closed, it closes c and returns false.
func (e *Endpoint) registerConn(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		go c.close(codeClosed, "endpoint closed")
		return false
	}
	e.conns[c] = struct{}{}
	e.metrics.connections.Inc()
	e.wg.Add(1)
	go c.serve()
	return true
}

func (e *Endpoint) unregisterConn(c *conn) {
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
	e.metrics.connections.Dec()
}

func (e *Endpoint) allConns() []*conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*conn, 0, len(e.conns))
	for c := range e.conns {
		out = append(out, c)
	}
	return out
}

func (e *Endpoint) peer(address string) *peer {
	return e.peerOf(peerKey{address: address, lane: laneMain})
}

func (e *Endpoint) peerOf(key peerKey) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[key]
	if p == nil {
		p = &peer{e: e, address: key.address, lane: key.lane, postQueues: make(map[queueKey]*postQueue)}
		e.peers[key] = p
	}
	p.lastUse = time.Now()
	return p
}

// crossesRegions reports whether traffic with p is subject to a link budget.
func (e *Endpoint) crossesRegions(p Peer) bool {
	return e.budget != nil && p.Region != e.self.Region
}

func (e *Endpoint) admit(ctx context.Context, c Class, to Peer, n int) error {
	if !e.crossesRegions(to) {
		return nil
	}
	return e.budget.Admit(ctx, c, to.Region, n)
}

func (e *Endpoint) admitMore(ctx context.Context, c Class, to Peer, n int) error {
	if !e.crossesRegions(to) {
		return nil
	}
	return e.budget.Continue(ctx, c, to.Region, n)
}
