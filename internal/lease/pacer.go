package lease

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// bucket holds tokens that come at a steady rate.
type bucket struct {
	rate   int // tokens a second
	burst  int
	micros int64 // tokens held, in millionths
	at     model.Time
}

const tokenMicros = 1_000_000

func newBucket(rate, burst int, now model.Time) bucket {
	return bucket{rate: rate, burst: burst, micros: int64(burst) * tokenMicros, at: now}
}

func (b *bucket) available(now model.Time) int {
	if now > b.at {
		// A pause longer than the fill time fills the bucket; capping it first
		// keeps the product small.
		ms := min(int64(now-b.at), 1000*int64(b.burst)/int64(b.rate)+1)
		b.micros = min(b.micros+ms*int64(b.rate)*tokenMicros/1000, int64(b.burst)*tokenMicros)
		b.at = now
	}
	return int(b.micros / tokenMicros)
}

func (b *bucket) take(n int) { b.micros -= int64(n) * tokenMicros }

// Pacer admits events at a bounded rate, and spreads the next tries of those
// that it turns away evenly over the time that the rate needs for them. It is
// not safe for concurrent use.
type Pacer struct {
	b        bucket
	maxDelay time.Duration
	nextSlot int64 // microseconds since the Unix epoch: when the next one turned away should come
}

const (
	microsPerSecond = 1_000_000
	microsPerMilli  = 1000
)

// NewPacer returns a pacer that admits rate events a second, and burst at once.
// Its advice never exceeds maxDelay.
func NewPacer(rate, burst int, maxDelay time.Duration) Pacer {
	return Pacer{b: newBucket(rate, burst, 0), maxDelay: maxDelay}
}

// Admit reports whether an event may happen now, and otherwise how long to wait
// before the next try.
func (p *Pacer) Admit(now model.Time) (wait time.Duration, ok bool) {
	if p.b.available(now) > 0 {
		p.b.take(1)
		return 0, true
	}
	at := int64(now) * microsPerMilli
	step := int64(microsPerSecond / p.b.rate)
	p.nextSlot = max(p.nextSlot, at) + step
	if latest := at + p.maxDelay.Microseconds(); p.nextSlot > latest {
		p.nextSlot = at + step // start over rather than pile all on the last moment
	}
	return time.Duration(p.nextSlot-at) * time.Microsecond, false
}
