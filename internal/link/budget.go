package link

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	// DefaultRate is an eighth of 30 Mbit/s, in bytes a second.
	DefaultRate = 30_000_000 / 8 / 8
	// Unlimited is a rate that holds nothing back.
	Unlimited = math.MaxInt64

	// maxRegions bounds the buckets; regions beyond it share one.
	maxRegions  = 16
	otherRegion = "other"

	minRetryWait = time.Millisecond
)

// Options configures a Budget.
type Options struct {
	// Rates holds this process's part of the link to each region, in bytes a second.
	Rates map[string]int64
	// Rate is that for a region that Rates does not name. Zero takes DefaultRate.
	Rate       int64
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Budget shapes the traffic of one process to other regions. It implements
// wire.Shaper and is safe for concurrent use.
type Budget struct {
	now     func() time.Time
	start   time.Time
	metrics *metrics

	mu      sync.Mutex
	rates   map[string]int64
	rate    int64
	regions map[string]*region
}

var _ wire.Shaper = (*Budget)(nil)

// region is the link to one other region.
type region struct {
	name    string
	bucket  bucket
	waiting int // admitted requests that wait to go on; copies stand behind them
}

// New returns a Budget with nothing spent.
func New(o Options) *Budget {
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Budget{
		now:     o.Now,
		start:   o.Now(),
		metrics: newMetrics(o.Registerer),
		rates:   maps.Clone(o.Rates),
		rate:    o.Rate,
		regions: make(map[string]*region),
	}
}

// SetRate changes this process's part of the link to one region, for instance
// because the number of processes that share it has changed.
func (b *Budget) SetRate(to string, rate int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rates == nil {
		b.rates = make(map[string]int64)
	}
	b.rates[to] = rate
	if r := b.regions[to]; r != nil {
		r.bucket.rate = rate
	}
}

func (b *Budget) rateOf(region string) int64 {
	if rate, ok := b.rates[region]; ok {
		return rate
	}
	return b.rate
}

// elapsed returns nanoseconds since the start, from the monotonic clock.
func (b *Budget) elapsed() int64 { return int64(b.now().Sub(b.start)) }

func (b *Budget) region(name string) *region {
	if r := b.regions[name]; r != nil {
		return r
	}
	if len(b.regions) >= maxRegions {
		name = otherRegion
	}
	r := b.regions[name]
	if r == nil {
		r = &region{name: name, bucket: newBucket(b.rateOf(name), b.elapsed())}
		b.regions[name] = r
	}
	return r
}

// Admit implements wire.Shaper.
func (b *Budget) Admit(ctx context.Context, c wire.Class, to string, n int) error {
	switch c {
	case wire.ClassConsensus:
		b.forceCharge(c, to, n)
		return nil
	case wire.ClassSnapshot:
		return b.waitAndCharge(ctx, c, to, n)
	}
	wait := b.tryRequest(to, n)
	if wait <= 0 {
		return nil
	}
	err := errkind.New(errkind.Overloaded, "the link to region %s is full", to)
	return errkind.WithRetryAfter(err, max(wait, minRetryWait))
}

// Continue implements wire.Shaper.
func (b *Budget) Continue(ctx context.Context, c wire.Class, to string, n int) error {
	if c == wire.ClassConsensus {
		b.forceCharge(c, to, n)
		return nil
	}
	return b.waitAndCharge(ctx, c, to, n)
}

// forceCharge charges n bytes whatever the state of the budget.
func (b *Budget) forceCharge(c wire.Class, to string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge(b.region(to), c, n)
}

func (b *Budget) charge(r *region, c wire.Class, n int) {
	over := r.bucket.charge(b.elapsed(), n)
	b.metrics.recordCharge(c, r.name, n, over)
}

// tryRequest charges a new request, or returns how long it would have to wait.
// Requests that are under way come first.
func (b *Budget) tryRequest(to string, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.region(to)
	wait := r.bucket.requestWait(b.elapsed())
	if wait <= 0 && r.waiting == 0 {
		b.charge(r, wire.ClassRequest, n)
		return 0
	}
	b.metrics.refused.WithLabelValues(r.name).Inc()
	return max(wait, minRetryWait)
}

// waitAndCharge charges n bytes once there is room for their class.
func (b *Budget) waitAndCharge(ctx context.Context, c wire.Class, to string, n int) error {
	if b.tryCharge(c, to, n) <= 0 {
		return nil
	}
	start := b.now()
	defer func() { b.metrics.recordWait(c, b.now().Sub(start)) }()
	done := b.countWaiting(c, to)
	defer done()
	for {
		wait := b.tryCharge(c, to, n)
		if wait <= 0 {
			return nil
		}
		if err := sleep(ctx, max(wait, minRetryWait)); err != nil {
			return errkind.Wrap(errkind.DeadlineExceeded, err, "no room on the link to region "+to)
		}
	}
}

// tryCharge charges n bytes, or returns when to look again.
func (b *Budget) tryCharge(c wire.Class, to string, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.region(to)
	wait := r.bucket.requestWait(b.elapsed())
	if c == wire.ClassSnapshot {
		wait = r.bucket.copyWait(b.elapsed())
		if wait <= 0 && r.waiting > 0 {
			wait = minRetryWait
		}
	}
	if wait <= 0 {
		b.charge(r, c, n)
	}
	return wait
}

// countWaiting counts an admitted request that waits. The returned function ends that.
func (b *Budget) countWaiting(c wire.Class, to string) (done func()) {
	if c == wire.ClassSnapshot {
		return func() {}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.region(to)
	r.waiting++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		r.waiting--
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
