package obs

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedLatencies is the histogram of the Go runtime of the time that goroutines were
// ready to run before they ran.
const schedLatencies = "/sched/latencies:seconds"

// SchedWait reads how long goroutines have waited for a processor. A process that is
// paused or has too little processor time shows it here. It is not safe for concurrent
// use.
type SchedWait struct {
	sample [1]metrics.Sample
	counts []uint64 // at the last call of Take
}

// NewSchedWait returns a SchedWait that starts to count now.
func NewSchedWait() *SchedWait {
	s := &SchedWait{}
	s.sample[0].Name = schedLatencies
	s.Take()
	return s
}

// Take returns the 99th percentile and the maximum of the waits since its last call, as
// the bounds of the histogram's buckets. Both are zero if there were none.
func (s *SchedWait) Take() (p99, longest time.Duration) {
	metrics.Read(s.sample[:])
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0, 0
	}
	h := s.sample[0].Value.Float64Histogram()
	if s.counts == nil {
		s.counts = make([]uint64, len(h.Counts))
	}
	since := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		since[i] = n - s.counts[i]
	}
	copy(s.counts, h.Counts)
	return quantileBound(h.Buckets, since, 0.99), quantileBound(h.Buckets, since, 1)
}

// quantileBound returns the upper bound of the bucket that contains quantile q, or its
// lower bound if the upper is infinite. Bounds are in seconds; bucket i lies between
// bounds i and i+1.
func quantileBound(bounds []float64, counts []uint64, q float64) time.Duration {
	var total uint64
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(total)))
	var seen uint64
	for i, n := range counts {
		seen += n
		if seen < rank {
			continue
		}
		bound := bounds[i+1]
		if math.IsInf(bound, 1) {
			bound = bounds[i]
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
