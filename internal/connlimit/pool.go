package connlimit

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Pool bounds the connections of all listeners of a process together. Each listener is sure of a share of the connections, in proportion to
// its own limit; what others do not use it may have beyond that.
type Pool struct {
	max int // connections

	mu        sync.Mutex
	listeners []*Listener
	open      int
	limits    int // sum of the limits of the listeners
}

// NewPool returns a Pool for at most max connections, and registers its metrics.
func NewPool(max int, r prometheus.Registerer) *Pool {
	p := &Pool{max: max}
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

// remove removes a closed connection.
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
}
