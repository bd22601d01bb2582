package lease

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// tokenBucket holds tokens that come at a steady rate.
type tokenBucket struct {
	rate        int // tokens a second
	burst       int
	microTokens int64 // tokens held, in millionths
	updatedAt   model.Time
}

const microTokensPerToken = 1_000_000

func newTokenBucket(rate, burst int, now model.Time) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, microTokens: int64(burst) * microTokensPerToken, updatedAt: now}
}

func (b *tokenBucket) available(now model.Time) int {
	if now > b.updatedAt {
		// A pause longer than the fill time fills the bucket; capping it first
		// keeps the product small.
		ms := min(int64(now-b.updatedAt), 1000*int64(b.burst)/int64(b.rate)+1)
		b.microTokens = min(b.microTokens+ms*int64(b.rate)*microTokensPerToken/1000, int64(b.burst)*microTokensPerToken)
		b.updatedAt = now
	}
	return int(b.microTokens / microTokensPerToken)
}

func (b *tokenBucket) take(n int) { b.microTokens -= int64(n) * microTokensPerToken }

// Pacer admits events at a bounded rate, and spreads the next tries of those
// that it turns away evenly over the time that the rate needs for them. It is
// not safe for concurrent use.
type Pacer struct {
	bucket          tokenBucket
	maxDelay        time.Duration
	nextRetryMicros int64 // microseconds since the Unix epoch: when the next one turned away should come
}

const (
	microsPerSecond = 1_000_000
	microsPerMilli  = 1000
)

// NewPacer returns a pacer that admits rate events a second, and burst at once.
// Its advice never exceeds maxDelay.
func NewPacer(rate, burst int, maxDelay time.Duration) Pacer {
	return Pacer{bucket: newTokenBucket(rate, burst, 0), maxDelay: maxDelay}
}

// Admit reports whether an event may happen now, and otherwise how long to wait
// before the next try.
func (p *Pacer) Admit(now model.Time) (wait time.Duration, ok bool) {
	if p.bucket.available(now) > 0 {
		p.bucket.take(1)
		return 0, true
	}
	at := int64(now) * microsPerMilli
	step := int64(microsPerSecond / p.bucket.rate)
	p.nextRetryMicros = max(p.nextRetryMicros, at) + step
	if latest := at + p.maxDelay.Microseconds(); p.nextRetryMicros > latest {
		p.nextRetryMicros = at + step // start over rather than pile all on the last moment
	}
	return time.Duration(p.nextRetryMicros-at) * time.Microsecond, false
}
