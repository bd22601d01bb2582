// Package connlimit bounds the open connections of a listener. At the limit it
// closes a connection whose request has not arrived after a second, whose client does not read
// the response, or that is idle. A connection whose request is being served stays open,
// and the next one waits.
package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/obs"
)

const (
	// ordinaryTime is how long a request, or a part of a response, takes at most to arrive at
	// an ordinary client, and how long an idle connection is kept at least.
	ordinaryTime = time.Second
	// roomPoll is the time between two searches for a connection that can be closed.
	roomPoll = 20 * time.Millisecond
)

const listenerLabel = "listener"

// state is what a connection does.
type state int32

const (
	stateBusy     state = iota // its request is being served
	stateArriving              // its request has not arrived completely
	stateIdle
)

// Options configures a Listener.
type Options struct {
	Max     int   // open connections
	Pool    *Pool // of all listeners of the process
	Metrics *Metrics
	Logger  *log.Logger
	Name    string // label of the metrics, and field of log lines
	// ReadBuffer is the receive buffer of a connection in bytes; zero: as the kernel sets it,
	// which lets it grow to several megabytes that nobody has read.
	ReadBuffer int
}

// Listener accepts a bounded number of connections. It must be bound to the server that it is
// used with (Bind).
type Listener struct {
	net.Listener
	name    string
	log     *log.Logger
	max     int
	buffer  int
	metrics *listenerMetrics
	freed   chan struct{} // has an element after a connection was closed
	done    chan struct{}
	close   func() error
	pool    *Pool

	conns  map[*conn]struct{} // guarded by the lock of the pool
	logged time.Time          // when the last line about the limit was written; used by Accept only
	// headsLogged is when the last line about heads was written, Unix time in nanoseconds.
	headsLogged atomic.Int64
}

// New returns a listener that accepts the connections of inner.
func New(inner net.Listener, o Options) *Listener {
	l := &Listener{
		Listener: inner,
		name:     o.Name,
		log:      o.Logger.WithPrefix(obs.PrefixServer),
		max:      max(o.Max, 1),
		buffer:   o.ReadBuffer,
		freed:    make(chan struct{}, 1),
		done:     make(chan struct{}),
		conns:    make(map[*conn]struct{}),
		pool:     o.Pool,
	}
	l.pool.register(l)
	l.metrics = o.Metrics.of(o.Name, l)
	l.close = sync.OnceValue(func() error {
		close(l.done)
		return inner.Close()
	})
	return l
}

// Close implements net.Listener.
func (l *Listener) Close() error { return l.close() }

// Accept implements net.Listener. Before it returns a connection above the limit, it closes
// another one.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := inner.(*net.TCPConn); ok && l.buffer > 0 {
		_ = tcp.SetReadBuffer(l.buffer)
	}
	c := &conn{Conn: inner, l: l}
	c.set(stateArriving)
	c.head.arriving.Store(true)
	for !l.add(c) {
		l.metrics.waits.Inc()
		select {
		case <-l.freed:
		case <-time.After(roomPoll):
		case <-l.done:
			_ = inner.Close()
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

// add adds a connection if there is room for it, or if another one could be closed.
func (l *Listener) add(c *conn) bool {
	victim, added := l.pool.add(c)
	if !added || victim != nil {
		l.logLimit(victim != nil)
	}
	if victim != nil {
		victim.l.metrics.closed(victim.state())
		_ = victim.Close()
	}
	return added
}

// logPeriod is the time between two lines about the limit.
const logPeriod = 2 * time.Second

func (l *Listener) logLimit(closed bool) {
	if now := time.Now(); now.Sub(l.logged) >= logPeriod {
		l.logged = now
		l.log.Warn("A listener has as many connections as it may have.", "listener", l.name, "limit", l.max, "closed_another", closed)
	}
}

// logHeads logs that connections are closed for want of room for heads.
func (l *Listener) logHeads() {
	now := time.Now().UnixNano()
	last := l.headsLogged.Load()
	if now-last >= int64(logPeriod) && l.headsLogged.CompareAndSwap(last, now) {
		l.log.Warn("Connections are closed: the heads of requests take as much memory as they may.", "listener", l.name, "limit", l.pool.headLimit)
	}
}

// open returns the number of open connections.
func (l *Listener) open() int {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) remove(c *conn) {
	l.pool.remove(c)
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Bind makes srv report what its connections do.
func (l *Listener) Bind(srv *http.Server) {
	srv.ConnState = func(inner net.Conn, s http.ConnState) {
		switch c := unwrap(inner); {
		case c == nil:
		case s == http.StateActive:
			c.head.arriving.Store(false)
			c.set(stateBusy)
		case s == http.StateIdle:
			c.set(stateIdle)
			c.beginHead()
		}
	}
	srv.ConnContext = func(ctx context.Context, inner net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(inner))
	}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		chargeParsedHead(r)
		next.ServeHTTP(w, trackBody(r))
	})
}

// chargeParsedHead charges the connection of r for its head as it was parsed, which may be less
// than what its bytes could have become.
func chargeParsedHead(r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		return
	}
	if r.ProtoMajor != 1 {
		c.head.http2.Store(true)
		return
	}
	c.head.body.Store(max(r.ContentLength, 0))
	c.chargeHead(parsedCost(r.Header))
}

// trackBody makes the connection of r count as one whose request has not arrived until the
// body has been read. A connection of HTTP/2 carries several requests at once. It returns a copy
// of r: net/http recognizes by the body of r that a part is unread, and then closes the
// connection in such a way that the response is not lost.
func trackBody(r *http.Request) *http.Request {
	if r.ContentLength == 0 || r.ProtoMajor != 1 {
		return r
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		return r
	}
	c.set(stateArriving)
	tracked := r.WithContext(r.Context())
	tracked.Body = &trackedBody{ReadCloser: r.Body, c: c, declared: r.ContentLength > 0}
	return tracked
}

// trackedBody marks its connection as busy once the body has been read.
type trackedBody struct {
	io.ReadCloser
	c        *conn
	declared bool // its length is known
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.declared {
		b.c.head.body.Add(int64(n))
	}
	if errors.Is(err, io.EOF) {
		b.c.set(stateBusy)
	}
	return n, err
}

func unwrap(inner net.Conn) *conn {
	if t, ok := inner.(interface{ NetConn() net.Conn }); ok { // TLS
		inner = t.NetConn()
	}
	c, _ := inner.(*conn)
	return c
}

// conn is one connection. Its fields are read while the connection is in use.
type conn struct {
	net.Conn
	l       *Listener
	current atomic.Int32
	since   atomic.Int64 // of the current state, Unix time in nanoseconds
	writing atomic.Int64 // since when a write is blocked; zero: none is
	charged atomic.Bool  // for the head of its request
	head    head
	closed  sync.Once
}

func (c *conn) set(s state) {
	c.since.Store(time.Now().UnixNano())
	c.current.Store(int32(s))
}

func (c *conn) state() state { return state(c.current.Load()) }

// closable returns since when the connection could be closed, and whether it is idle. It is not
// ok while a request is being served.
func (c *conn) closable() (since time.Time, idle, ok bool) {
	if w := c.writing.Load(); w != 0 {
		return time.Unix(0, w), false, true
	}
	s := c.state()
	return time.Unix(0, c.since.Load()), s == stateIdle, s != stateBusy
}

// Read implements net.Conn. It closes the connection if there is no room for its head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.head.read(p[:n])
	if c.head.arriving.Load() && !c.chargeHead(headCost(c.head.received.Load())) {
		c.l.metrics.heads.Inc()
		c.l.logHeads()
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// beginHead begins the next head of the connection.
func (c *conn) beginHead() {
	c.head.begin()
	c.chargeHead(headCost(c.head.received.Load()))
}

// chargeHead charges the connection for the head of its request. For that it may close others.
// It reports whether there is room.
func (c *conn) chargeHead(bytes int64) bool {
	if bytes == 0 && !c.charged.Load() {
		return true // most requests take no lock
	}
	victims, ok := c.l.pool.charge(c, bytes)
	c.charged.Store(bytes > 0)
	for _, v := range victims {
		v.l.metrics.heads.Inc()
		_ = v.Close()
	}
	if len(victims) > 0 {
		c.l.logHeads()
	}
	return ok
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite lets net/http send a response completely before it closes the connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.l.remove(c) })
	return err
}

// Metrics holds the metrics of all listeners of a process.
type Metrics struct {
	open, limit *obs.GaugeFuncs
	closed      *prometheus.CounterVec
	waits       *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		open:  obs.NewGaugeFuncs(r, "filbertmast_connections_open", "Open connections of a listener.", listenerLabel),
		limit: obs.NewGaugeFuncs(r, "filbertmast_connections_limit", "Limit of the open connections of a listener.", listenerLabel),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_connections_closed_total",
			Help: "Connections closed for others at the limit of their listener, by what they did.",
		}, []string{listenerLabel, "reason"}),
		waits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertmast_connections_waits_total",
			Help: "Searches at the limit of a listener that found no connection to close.",
		}, []string{listenerLabel}),
	}
	r.MustRegister(m.closed, m.waits)
	return m
}

// listenerMetrics holds the metrics of one listener.
type listenerMetrics struct {
	incomplete, unread, idle prometheus.Counter
	heads                    prometheus.Counter
	waits                    prometheus.Counter
}

func (m *Metrics) of(name string, l *Listener) *listenerMetrics {
	m.open.Add(name, func() float64 { return float64(l.open()) })
	m.limit.Add(name, func() float64 { return float64(l.max) })
	return &listenerMetrics{
		incomplete: m.closed.WithLabelValues(name, "incomplete"),
		unread:     m.closed.WithLabelValues(name, "unread"),
		idle:       m.closed.WithLabelValues(name, "idle"),
		heads:      m.closed.WithLabelValues(name, "head"),
		waits:      m.waits.WithLabelValues(name),
	}
}

// closed counts a connection that was closed in the given state.
func (m *listenerMetrics) closed(s state) {
	switch s {
	case stateArriving:
		m.incomplete.Inc()
	case stateIdle:
		m.idle.Inc()
	default:
		m.unread.Inc()
	}
}
