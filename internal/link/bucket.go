package link

import "time"

// Limits of a bucket, as times at the full rate.
const (
	burstTime       = 250 * time.Millisecond // unused budget that accumulates
	copyReserveTime = burstTime / 2          // budget that a copy must leave to the other classes
	maxDebtTime     = 2 * time.Second        // bound on the debt that consensus can run up
)

// bucket is a token bucket that counts link time: the budget is charged up to
// paidUntil. It reads no clock; times are in nanoseconds of one monotonic
// clock.
type bucket struct {
	rate      int64 // bytes a second
	paidUntil int64
}

func newBucket(rate, now int64) bucket {
	return bucket{rate: rate, paidUntil: now - int64(burstTime)}
}

// cost returns the link time of n bytes, in nanoseconds.
func (b *bucket) cost(n int) int64 {
	return int64(float64(n) / float64(b.rate) * float64(time.Second))
}

// charge spends n bytes and returns how many of them exceed the budget.
func (b *bucket) charge(now int64, n int) (over int) {
	b.paidUntil = max(b.paidUntil, now-int64(burstTime)) + b.cost(n)
	debt := b.paidUntil - now
	b.paidUntil = min(b.paidUntil, now+int64(maxDebtTime))
	if debt <= 0 {
		return 0
	}
	return min(n, int(float64(debt)/float64(time.Second)*float64(b.rate)))
}

// requestWait returns how long a request has to wait; zero or less means not at
// all. Any unspent budget admits one message, regardless of its size.
func (b *bucket) requestWait(now int64) time.Duration {
	return time.Duration(b.paidUntil - now + 1)
}

// copyWait returns how long a copy has to wait if no other class sends.
func (b *bucket) copyWait(now int64) time.Duration {
	return time.Duration(b.paidUntil - now + int64(copyReserveTime) + 1)
}
