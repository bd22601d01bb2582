package lease

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// tokenBucket is refilled at a constant rate up to burst tokens.
type tokenBucket struct {
	rate        int // tokens a second
	burst       int
	microTokens int64 // available tokens, in millionths
	updatedAt   model.Time
}

const microTokensPerToken = 1_000_000

func newTokenBucket(rate, burst int, now model.Time) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, microTokens: int64(burst) * microTokensPerToken, updatedAt: now}
}

func (b *tokenBucket) available(now model.Time) int {
	if now > b.updatedAt {
		// The elapsed time is capped at the fill time, which fills the bucket, so
		// that the product does not overflow.
		ms := min(int64(now-b.updatedAt), 1000*int64(b.burst)/int64(b.rate)+1)
		b.microTokens = min(b.microTokens+ms*int64(b.rate)*microTokensPerToken/1000, int64(b.burst)*microTokensPerToken)
		b.updatedAt = now
	}
	return int(b.microTokens / microTokensPerToken)
}

func (b *tokenBucket) take(n int) { b.microTokens -= int64(n) * microTokensPerToken }

// Pacer is a rate limiter that assigns evenly spaced retry times, at the admitted
// rate, to rejected events. It is not safe for concurrent use.
type Pacer struct {
	bucket          tokenBucket
	maxDelay        time.Duration
	nextRetryMicros int64 // retry time of the last rejected event, in microseconds since the Unix epoch
}

const (
	microsPerSecond = 1_000_000
	microsPerMilli  = 1000
)

// NewPacer returns a Pacer that admits rate events a second, with bursts of up to
// burst events. The waits that it returns do not exceed maxDelay.
func NewPacer(rate, burst int, maxDelay time.Duration) Pacer {
	return Pacer{bucket: newTokenBucket(rate, burst, 0), maxDelay: maxDelay}
}

// Admit reports whether an event may happen now, and if not, how long to wait
// before retrying.
func (p *Pacer) Admit(now model.Time) (wait time.Duration, ok bool) {
	if p.bucket.available(now) > 0 {
		p.bucket.take(1)
		return 0, true
	}
	at := int64(now) * microsPerMilli
	step := int64(microsPerSecond / p.bucket.rate)
	p.nextRetryMicros = max(p.nextRetryMicros, at) + step
	if latest := at + p.maxDelay.Microseconds(); p.nextRetryMicros > latest {
		p.nextRetryMicros = at + step // start over, so that retries do not pile up at maxDelay
	}
	return time.Duration(p.nextRetryMicros-at) * time.Microsecond, false
}
