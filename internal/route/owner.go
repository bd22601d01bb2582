package route

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
)

// OwnerOptions configures an Owner. Zero values mean the defaults.
type OwnerOptions struct {
	Leases *owner.Leases
	// RenewSoon requests a renewal of the leases without delay: a request lasts
	// longer than the leader knows, or an executor is ready for its next owner.
	// It must not block. It may be nil.
	RenewSoon func()
	// Service returns the declaration of a service, for its queue and answer
	// limits. It may be nil.
	Service func(name string) (model.Service, bool)
	// Linger is how long after its deadline an abandoned request may hold its
	// slot while the executor does not confirm its end.
	Linger         time.Duration
	ConnectTimeout time.Duration // for establishing a connection
	IdleTimeout    time.Duration // after which an unused connection is closed; executors must keep theirs open longer
	MaxSkew        time.Duration // bound on the clock skew between two entries
	Now            func() time.Time
	Metrics        prometheus.Registerer
	Log            *log.Logger
}

// Defaults of OwnerOptions and of the limits of a service.
const (
	DefaultLinger         = time.Second
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 4 * time.Second
	DefaultMaxSkew        = 500 * time.Millisecond
	DefaultMaxQueue       = 256
	DefaultMaxAnswer      = 64 << 20 // bytes
	replayBytes           = 256 << 10
	maxExecutorTries      = 3 // executors that the owner tries for one request
)

func (o OwnerOptions) withDefaults() OwnerOptions {
	o.Linger = defaultTo(o.Linger, DefaultLinger)
	o.ConnectTimeout = defaultTo(o.ConnectTimeout, DefaultConnectTimeout)
	o.IdleTimeout = defaultTo(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxSkew = defaultTo(o.MaxSkew, DefaultMaxSkew)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	o.Log = o.Log.WithPrefix("route")
	return o
}

func defaultTo[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Owner sends requests to the executors that this entry owns. It is safe for
// concurrent use.
type Owner struct {
	opts     OwnerOptions
	metrics  *ownerMetrics
	budget   *RetryBudget
	inFlight requestTracker

	mu              sync.Mutex
	pools           map[string]*pool
	requestLifetime time.Duration // longest recent time from arrival to deadline
}

// NewOwner returns an Owner without executors. Reconcile must be called after
// each change of the leases.
func NewOwner(opts OwnerOptions) *Owner {
	opts = opts.withDefaults()
	return &Owner{
		opts:            opts,
		metrics:         newOwnerMetrics(opts.Metrics),
		budget:          NewRetryBudget(DefaultRetryRatio, DefaultMaxRetryTokens),
		inFlight:        newRequestTracker(),
		pools:           make(map[string]*pool),
		requestLifetime: minRequestLifetime,
	}
}

// Handle sends the request to an executor and returns its answer. Every error
// has a kind of package errkind. The body of the answer ends without an error
// only if it is complete.
func (o *Owner) Handle(ctx context.Context, h *ForwardHeader, body io.Reader) (*Answer, error) {
	ans, err := o.handle(ctx, h, body)
	o.metrics.requests.WithLabelValues(resultLabel(err)).Inc()
	return ans, err
}

func (o *Owner) handle(ctx context.Context, h *ForwardHeader, body io.Reader) (*Answer, error) {
	deadline := o.deadline(h)
	if !o.opts.Now().Before(deadline) {
		return nil, errkind.New(errkind.DeadlineBeforeStart, "the deadline passed before the request reached the owner")
	}
	o.recordRequestLifetime(deadline)
	p := o.pool(h.Service)
	if p == nil {
		return nil, errkind.New(errkind.OwnerMoved, "this entry owns no executor of service %s", h.Service)
	}
	rb, err := newReplayBody(body, h.Size, replayBytes)
	if err != nil {
		return nil, err
	}
	done, ok := o.inFlight.begin(h.RequestID)
	if !ok {
		return nil, errkind.New(errkind.Draining, "the entry that owns the executor is shutting down")
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	s := &forwardedRequest{owner: o, pool: p, header: h, body: rb, deadline: deadline, finish: func() { cancel(); done() }}
	return s.run(ctx)
}

// deadline returns the deadline of a forwarded request by the local clock.
func (o *Owner) deadline(h *ForwardHeader) time.Time {
	d := o.opts.Now().Add(time.Duration(h.DeadlineMS) * time.Millisecond)
	if h.DeadlineUnixMS == 0 {
		return d
	}
	latest := time.UnixMilli(h.DeadlineUnixMS).Add(o.opts.MaxSkew)
	if latest.Before(d) {
		return latest
	}
	return d
}

func (o *Owner) pool(service string) *pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pools[service]
}

// recordRequestLifetime records how long requests last, and requests a renewal
// of the leases for one that lasts longer than the leader knows.
func (o *Owner) recordRequestLifetime(deadline time.Time) {
	o.mu.Lock()
	o.requestLifetime = max(o.requestLifetime, deadline.Sub(o.opts.Now()))
	o.mu.Unlock()
	horizon, _ := o.opts.Leases.Limits()
	if deadline.After(horizon) {
		o.renewSoon()
	}
}

func (o *Owner) renewSoon() {
	if o.opts.RenewSoon != nil {
		o.opts.RenewSoon()
	}
}

// RequestLifetime returns how long after a lease renewal that is sent now
// requests may still run, counting those already sent and those sent before the
// second renewal after it. The estimate decays by an eighth per call, but
// always covers queued requests.
func (o *Owner) RequestLifetime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Now()
	lifetime := o.requestLifetime
	for _, p := range o.pools {
		lifetime = max(lifetime, p.longestQueuedLifetime(now))
	}
	o.requestLifetime = max(o.requestLifetime-o.requestLifetime/8, minRequestLifetime)
	return lifetime + 2*owner.DefaultLease/3
}

// minRequestLifetime is the request lifetime that is always covered by the
// leases, so that shorter requests need no renewal first.
const minRequestLifetime = 5 * time.Second

// Load returns the fraction of slots in use, from 0 to 1.
func (o *Owner) Load() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var inUse, slots int32
	for _, p := range o.pools {
		u, s := p.slotUsage()
		inUse += u
		slots += s
	}
	return float64(inUse) / float64(max(slots, 1))
}

// Reconcile updates the executors to match the leases, and dispatches queued
// requests that may now be sent.
func (o *Owner) Reconcile() {
	byService := make(map[string][]owner.Owned)
	for _, owned := range o.opts.Leases.Owned() {
		byService[owned.Executor.Service] = append(byService[owned.Executor.Service], owned)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range byService {
		if o.pools[name] == nil {
			o.pools[name] = o.newPool(name)
		}
	}
	for name, p := range o.pools {
		if p.reconcile(byService[name], transportTimeouts{o.opts.ConnectTimeout, o.opts.IdleTimeout}) == 0 {
			delete(o.pools, name)
		}
	}
}

func (o *Owner) newPool(service string) *pool {
	maxQueue := DefaultMaxQueue
	if s, ok := o.service(service); ok && s.MaxQueue > 0 {
		maxQueue = int(s.MaxQueue)
	}
	return &pool{
		service:  service,
		maxQueue: maxQueue,
		now:      o.opts.Now,
		metrics:  o.metrics,
		owns: func(x *executor, now, deadline time.Time) bool {
			return o.opts.Leases.Owns(x.spec.ID, x.epoch, now, deadline)
		},
		leased: func(now time.Time) bool {
			_, until := o.opts.Leases.Limits()
			return now.Before(until)
		},
		onIdle: func(c owner.Grant) {
			o.opts.Leases.Release(c.Executor, c.Epoch)
			o.renewSoon()
		},
	}
}

func (o *Owner) service(name string) (model.Service, bool) {
	if o.opts.Service == nil {
		return model.Service{}, false
	}
	return o.opts.Service(name)
}

func (o *Owner) maxAnswer(service string) int64 {
	if s, ok := o.service(service); ok && s.MaxAnswer > 0 {
		return s.MaxAnswer
	}
	return DefaultMaxAnswer
}
