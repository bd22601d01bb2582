package route

import "time"

// Outlier detection: an executor that fails ejectAfterFailures times in a row
// is ejected for a time, which doubles while it keeps failing. It then returns
// on trial, with one request at a time until one succeeds.
const (
	ejectAfterFailures = 5 // consecutive failures
	minEjectTime       = 2 * time.Second
	maxEjectTime       = time.Minute
	maxEjectedRatio    = 0.3 // of a service's executors at one owner
	maxEjectStage      = 5   // number of times the ejection time doubles
)

// health is an executor's health as observed by its owner.
type health struct {
	failures     int // consecutive
	stage        int // ejections since the last success
	ejectedUntil time.Time
	onTrial      bool // was ejected, and no request has succeeded since
}

// ejected reports whether the executor is ejected at now.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) recordSuccess() { *h = health{} }

// recordFailure records a failed request and reports whether the executor
// should be ejected.
func (h *health) recordFailure() bool {
	h.failures++
	return h.onTrial || h.failures >= ejectAfterFailures
}

func (h *health) eject(now time.Time) {
	d := min(minEjectTime<<h.stage, maxEjectTime)
	h.stage = min(h.stage+1, maxEjectStage)
	h.ejectedUntil = now.Add(d)
	h.failures = 0
	h.onTrial = true
}

// maxEjected returns how many of n executors may be ejected at the same time.
func maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(float64(n)*maxEjectedRatio))
}
