package route

import "time"

// Outlier detection: an executor that fails several times in a row is left out
// for a time, which doubles while it goes on failing. It comes back on trial,
// with one request at a time until one succeeds.
const (
	ejectAfterFailures = 5 // failures in a row
	minEjectTime       = 2 * time.Second
	maxEjectTime       = time.Minute
	maxEjectedRatio    = 0.3 // share of a service's executors at one owner
	maxEjectStage      = 5   // doublings
)

// health is what the owner has seen of an executor.
type health struct {
	failures     int // in a row
	stage        int // ejections since the last success
	ejectedUntil time.Time
	onTrial      bool // back after an ejection, nothing has succeeded yet
}

// out reports whether the executor is left out at now.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) recordSuccess() { *h = health{} }

// failure notes a failed request and reports whether the executor should go.
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

// ejectable returns how many of n executors may be out at once.
func maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(float64(n)*maxEjectedRatio))
}
