package connlimit

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Pool bounds the connections of all listeners of a process together, and the memory of the
// heads of their requests. Each listener is sure of a share of the connections, in proportion to
// its own limit; what others do not use it may have beyond that.
type Pool struct {
	max       int   // connections
	headLimit int64 // bytes

	mu        sync.Mutex
	listeners []*Listener
	open      int
	limits    int   // sum of the limits of the listeners
	heads     int64 // bytes
}

// NewPool returns a Pool for at most max connections and headLimit bytes of heads, and registers
// its metrics.
func NewPool(max int, headLimit int64, r prometheus.Registerer) *Pool {
	p := &Pool{max: max, headLimit: headLimit}
	locked := func(get func() float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return get()
		}
	}
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "filbertmast_connections_all_open",
			Help: "Open connections of all listeners."}, locked(func() float64 { return float64(p.open) })),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "filbertmast_connections_all_limit",
			Help: "Limit of the open connections of all listeners."}, func() float64 { return float64(p.max) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "filbertmast_heads_held_bytes",
			Help: "Memory charged for the heads of requests."}, locked(func() float64 { return float64(p.heads) })),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "filbertmast_heads_limit_bytes",
			Help: "Limit of the memory for the heads of requests."}, func() float64 { return float64(p.headLimit) }),
	)
	return p
}

func (p *Pool) register(l *Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, l)
	p.limits += l.max
}

// share returns how many connections a listener is sure of.
func (p *Pool) share(l *Listener) int {
	return max(1, p.max*l.max/p.limits)
}

// add adds a connection if there is room for it, or if another one could be closed. It returns
// the one to close, or nil. The caller must close it.
func (p *Pool) add(c *conn) (victim *conn, added bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if candidates := p.candidates(c.l); candidates != nil {
		if victim = leastUseful(candidates, time.Now()); victim == nil {
			return nil, false
		}
		p.detach(victim) // before another listener chooses it, too
	}
	c.l.conns[c] = struct{}{}
	p.open++
	return victim, true
}

// candidates returns the listeners of which a connection must be closed before l may have one
// more, or nil if there is room: l itself at its own limit or above its share, else those above
// theirs.
func (p *Pool) candidates(l *Listener) []*Listener {
	switch {
	case len(l.conns) >= l.max, p.open >= p.max && len(l.conns) >= p.share(l):
		return []*Listener{l}
	case p.open < p.max:
		return nil
	}
	above := []*Listener{}
	for _, other := range p.listeners {
		if len(other.conns) > p.share(other) {
			above = append(above, other)
		}
	}
	return above
}

// leastUseful returns the connection to close for another one, or nil: the one that keeps the
// process waiting for the longest, else the one that is idle for the longest.
func leastUseful(listeners []*Listener, now time.Time) *conn {
	var best *conn
	var bestIdle bool
	var bestSince time.Time
	for _, l := range listeners {
		for c := range l.conns {
			since, idle, ok := c.closable()
			if !ok || now.Sub(since) <= ordinaryTime {
				continue
			}
			if best == nil || (bestIdle && !idle) || (bestIdle == idle && since.Before(bestSince)) {
				best, bestIdle, bestSince = c, idle, since
			}
		}
	}
	return best
}

// remove removes a closed connection, and what it was charged for its head.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detach(c)
}

// detach does the same for a caller that holds the lock. A connection may be removed twice.
func (p *Pool) detach(c *conn) {
	if _, ok := c.l.conns[c]; !ok {
		return
	}
	delete(c.l.conns, c)
	p.open--
	p.heads -= c.head.charged
	c.head.charged = 0
	c.head.closed = true
}

// charge replaces what a connection is charged for the head of its request by bytes. If there
// is no room for them, other connections are returned, which the caller must close: those whose
// requests have not arrived for the longest. It is not ok if none are old enough.
func (p *Pool) charge(c *conn, bytes int64) (victims []*conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.head.closed {
		return nil, false
	}
	excess := p.heads + bytes - c.head.charged - p.headLimit
	if bytes > c.head.charged && excess > 0 {
		if victims = p.longestHeads(c, excess); victims == nil {
			return nil, false
		}
	}
	for _, v := range victims {
		p.detach(v)
	}
	p.heads += bytes - c.head.charged
	c.head.charged = bytes
	return victims, true
}

// longestHeads returns connections other than c that are charged at least bytes for their heads
// together, the one first whose request has not arrived for the longest; nil if those that may be
// closed are charged less.
func (p *Pool) longestHeads(c *conn, bytes int64) []*conn {
	begun := time.Now().Add(-ordinaryTime).UnixNano()
	var old []*conn
	var sum int64
	for _, l := range p.listeners {
		for other := range l.conns {
			_, _, ok := other.closable()
			if other != c && ok && other.head.charged > 0 && other.head.since.Load() < begun {
				old = append(old, other)
				sum += other.head.charged
			}
		}
	}
	if sum < bytes {
		return nil
	}
	sortByHead(old)
	for i, other := range old {
		if bytes -= other.head.charged; bytes <= 0 {
			return old[:i+1]
		}
	}
	return old
}
