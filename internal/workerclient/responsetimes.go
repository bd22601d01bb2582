package workerclient

import "time"

// ResponseTimes estimates how long responses to commands take, from the call until they are
// handled, as TCP estimates round trips. The zero value has seen none.
type ResponseTimes struct {
	mean      time.Duration
	deviation time.Duration // mean difference from mean
}

// Observe records the time that one response took.
func (r *ResponseTimes) Observe(took time.Duration) {
	const meanShare, deviationShare = 8, 4 // a new value counts as one of so many
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) / deviationShare
	r.mean += (took - r.mean) / meanShare
}

// Timeout returns after which time a response counts as overdue, within bounds. A fixed time
// would let a busy caller repeat calls whose responses wait for it, and be busier.
func (r *ResponseTimes) Timeout(least, most time.Duration) time.Duration {
	const deviations = 4
	return min(max(r.mean+deviations*r.deviation, least), most)
}
