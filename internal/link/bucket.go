package link

import "time"

// Shape of a bucket, as times at the full rate.
const (
	burstTime       = 250 * time.Millisecond // how much unused budget is kept
	copyReserveTime = burstTime / 2          // what a copy must leave to the other classes
	maxDebtTime     = 2 * time.Second        // how far consensus may spend ahead
)

// bucket is a token bucket counted in link time: spent is the moment up to
// which the link is paid for. It is pure; times are nanoseconds of one
// monotonic clock.
type bucket struct {
	rate      int64 // bytes a second
	paidUntil int64
}

func newBucket(rate, now int64) bucket {
	return bucket{rate: rate, paidUntil: now - int64(burstTime)}
}

// cost returns the link time of n bytes.
func (b *bucket) cost(n int) int64 {
	return int64(float64(n) / float64(b.rate) * float64(time.Second))
}

// charge spends n bytes, and returns how many of them were over the budget.
func (b *bucket) charge(now int64, n int) (over int) {
	b.paidUntil = max(b.paidUntil, now-int64(burstTime)) + b.cost(n)
	debt := b.paidUntil - now
	b.paidUntil = min(b.paidUntil, now+int64(maxDebtTime))
	if debt <= 0 {
		return 0
	}
	return min(n, int(float64(debt)/float64(time.Second)*float64(b.rate)))
}

// requestWait returns how long a request has to wait; zero or less for none.
// Budget that is not spent at all covers one message of any size.
func (b *bucket) requestWait(now int64) time.Duration {
	return time.Duration(b.paidUntil - now + 1)
}

// copyWait returns how long a copy has to wait while no one else sends.
func (b *bucket) copyWait(now int64) time.Duration {
	return time.Duration(b.paidUntil - now + int64(copyReserveTime) + 1)
}
