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
	// DefaultRate is one eighth of 30 Mbit/s, in bytes per second.
	DefaultRate = 30_000_000 / 8 / 8
	// Unlimited is a rate that delays nothing.
	Unlimited = math.MaxInt64

	// maxRegions bounds the number of buckets; further regions share one.
	maxRegions  = 16
	otherRegion = "other"

	minRetryWait = time.Millisecond
)

// Options configures a Budget.
type Options struct {
	// Rates holds this process's share of the link to each region, in bytes per
	// second.
	Rates map[string]int64
	// Rate applies to regions that are not in Rates. Zero means DefaultRate.
	Rate       int64
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Budget limits the traffic of one process to other regions. It implements
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
	waiting int // admitted requests that wait to continue; copies wait for them
}

// New returns a Budget of which nothing is spent.
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

// Admit implements wire.Shaper. Consensus is always admitted. While the budget
// is spent, a request fails with Overloaded and the time after which to retry,
// and a copy waits until the budget admits it or ctx ends.
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
	err := errkind.New(errkind.Overloaded, "the traffic budget of the link to region %s is spent", to)
	return errkind.WithRetryAfter(err, max(wait, minRetryWait))
}

// Continue implements wire.Shaper. It waits until the budget admits n more
// bytes of an admitted message, except for consensus.
func (b *Budget) Continue(ctx context.Context, c wire.Class, to string, n int) error {
	if c == wire.ClassConsensus {
		b.forceCharge(c, to, n)
		return nil
	}
	return b.waitAndCharge(ctx, c, to, n)
}

// forceCharge charges n bytes regardless of the budget.
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
// Admitted requests that wait to continue go first.
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

// waitAndCharge waits until the budget admits n bytes of the class and charges
// them. It fails with DeadlineExceeded when ctx ends first.
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
			return errkind.Wrap(errkind.DeadlineExceeded, err, "wait for traffic budget of the link to region "+to)
		}
	}
}

// tryCharge charges n bytes, or returns how long to wait before the next
// attempt.
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

// countWaiting counts an admitted request that waits to continue, until done is
// called. Copies are not counted.
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
