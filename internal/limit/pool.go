package limit

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Upstream sends demands to the leader. RequestPermits returns an error of kind
// NoLeader or NotLeader if no leader answered.
type Upstream interface {
	RequestPermits(ctx context.Context, demands []Demand) ([]Grant, error)
}

// PoolOptions configures a Pool. Zero times stand for the defaults.
type PoolOptions struct {
	Upstream     Upstream
	Period       time.Duration // between permit requests to the leader if no request waits
	UrgentPeriod time.Duration // between permit requests to the leader while requests wait
	Timeout      time.Duration // of one permit request to the leader
	Now          func() time.Time
	Metrics      prometheus.Registerer // may be nil
	Log          *log.Logger           // may be nil
}

// Defaults of PoolOptions.
const (
	DefaultPeriod       = DefaultLease / 3
	DefaultUrgentPeriod = 20 * time.Millisecond
	DefaultTimeout      = DefaultLease / 3
)

func (o PoolOptions) withDefaults() PoolOptions {
	if o.Period == 0 {
		o.Period = DefaultPeriod
	}
	if o.UrgentPeriod == 0 {
		o.UrgentPeriod = DefaultUrgentPeriod
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	o.Log = o.Log.WithPrefix("limit")
	return o
}

// Pool holds an entry process's share of the permits of every team. It is safe
// for concurrent use. Permits arrive only while Run is running.
type Pool struct {
	opts    PoolOptions
	metrics *poolMetrics
	wakeup  chan struct{}

	mu                 sync.Mutex
	teams              map[string]*teamPool
	seq                uint64
	leaderUnresponsive bool // the last permit request got no answer
}

// NewPool returns a Pool without permits.
func NewPool(opts PoolOptions) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		opts:    opts,
		metrics: newPoolMetrics(opts.Metrics),
		wakeup:  make(chan struct{}, 1),
		teams:   make(map[string]*teamPool),
	}
}

// Permit allows one request to run, until it is released.
type Permit struct {
	pool *Pool
	team string
	once sync.Once
}

// Release returns the permit to its pool. Further calls do nothing.
func (p *Permit) Release() {
	p.once.Do(func() { p.pool.release(p.team) })
}

// Acquire returns a permit for a request of team that ends by deadline. It waits
// for a permit until ctx is done. The error is of kind LimitReached if the leader
// had no permit to grant, or NoLeader if no leader answered. After an error the
// request must not run.
func (p *Pool) Acquire(ctx context.Context, team string, deadline time.Time) (*Permit, error) {
	w, granted := p.acquireOrWait(team, deadline)
	if granted {
		p.metrics.acquired.Inc()
		return &Permit{pool: p, team: team}, nil
	}
	p.metrics.waited.Inc()
	p.wake()
	select {
	case <-w.ready:
		p.metrics.acquired.Inc()
		return &Permit{pool: p, team: team}, nil
	case <-ctx.Done():
		return p.stopWaiting(team, w)
	}
}

// acquireOrWait takes a free permit, or else queues and returns a waiter. It
// reports whether it took a permit.
func (p *Pool) acquireOrWait(team string, deadline time.Time) (*waiter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.teams[team]
	if !ok {
		a = &teamPool{}
		p.teams[team] = a
	}
	now := p.opts.Now()
	a.recordDuration(deadline.Sub(now))
	if len(a.waiters) == 0 && a.canStart(deadline, now) {
		a.take(deadline)
		return nil, true
	}
	w := &waiter{deadline: deadline, ready: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	return w, false
}

// stopWaiting removes w, or returns a permit if w got one in the meantime.
func (p *Pool) stopWaiting(team string, w *waiter) (*Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.teams[team]
	if a == nil || !a.removeWaiter(w) {
		p.metrics.acquired.Inc()
		return &Permit{pool: p, team: team}, nil
	}
	if p.leaderUnresponsive || p.opts.Now().After(a.leaseEnd) {
		p.metrics.refused.WithLabelValues(string(errkind.NoLeader)).Inc()
		return nil, errkind.New(errkind.NoLeader, "no leader has granted request permits")
	}
	p.metrics.refused.WithLabelValues(string(errkind.LimitReached)).Inc()
	return nil, errkind.New(errkind.LimitReached, "the upper limit of team %s is in use", team)
}

func (p *Pool) release(team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.teams[team]
	a.inUse--
	a.serveWaiters(p.opts.Now())
	if a.inUse >= a.permits {
		a.reductionUnreported = true
		p.wake()
		return
	}
	if a.inUse == 0 && !a.returnDue {
		a.returnDue = true
		time.AfterFunc(returnDelay, p.wake)
	}
}

// returnDelay is how long permits stay unused before they are returned to the
// leader.
const returnDelay = DefaultTimeSlice

// wake makes Run send a permit request soon.
func (p *Pool) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// Run requests permits from the leader until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastFull time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wakeup:
		}
		now := p.opts.Now()
		full := now.Sub(lastFull) >= p.opts.Period
		if full {
			lastFull = now
		}
		timer.Reset(p.exchange(ctx, full))
	}
}

// exchange sends one permit request, with the demands of all teams if full is set
// or else of the urgent ones, and applies the answer. It returns the time until
// the next permit request.
func (p *Pool) exchange(ctx context.Context, full bool) time.Duration {
	sent := p.opts.Now()
	demands := p.demands(sent, full)
	if len(demands) == 0 {
		return p.opts.Period
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	grants, err := p.opts.Upstream.RequestPermits(ctx, demands)
	if p.apply(sent, demands, grants, err) {
		return p.opts.UrgentPeriod
	}
	return p.opts.Period
}

// demands returns the demands of all teams, or without full those that are due
// now.
func (p *Pool) demands(now time.Time, full bool) []Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Demand, 0, len(p.teams))
	for name, a := range p.teams {
		if !full && !a.urgent() && !a.returnDue {
			continue
		}
		a.returnDue = false
		p.seq++
		a.decay(now, p.opts.Period)
		out = append(out, a.demand(name, p.seq, now, p.opts.Period))
	}
	return out
}

// apply applies the answer to a permit request and reports whether the next one
// is urgent.
func (p *Pool) apply(sent time.Time, demands []Demand, grants []Grant, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	p.recordResult(err)
	asked := make(map[string]*Demand, len(demands))
	for i := range demands {
		asked[demands[i].Team] = &demands[i]
	}
	for _, g := range grants {
		a, d := p.teams[g.Team], asked[g.Team]
		if err != nil || a == nil || d == nil || d.Seq != g.Seq {
			continue
		}
		a.applyGrant(sent, d, g, now)
		if a.idle() && d.Held == 0 {
			delete(p.teams, g.Team)
		}
	}
	for _, a := range p.teams {
		if a.urgent() {
			return true
		}
	}
	return false
}

func (p *Pool) recordResult(err error) {
	if err == nil {
		p.metrics.exchanges.WithLabelValues("answered").Inc()
		p.leaderUnresponsive = false
		return
	}
	p.metrics.exchanges.WithLabelValues("failed").Inc()
	if !p.leaderUnresponsive {
		p.opts.Log.Warn("Leader did not answer; requesting permits again", "err", err)
	}
	p.leaderUnresponsive = true
}

// Held returns the permits of team that this entry process may use, and those in
// use.
func (p *Pool) Held(team string) (permits, inUse int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.teams[team]
	if a == nil {
		return 0, 0
	}
	return a.permits, a.inUse
}
