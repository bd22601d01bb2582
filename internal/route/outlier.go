package route

import "time"

// Outlier detection: an executor that fails several times in a row is left out
// for a time, which doubles while it goes on failing. It comes back on trial,
// with one request at a time until one succeeds.
const (
	ejectAfter  = 5 // failures in a row
	ejectBase   = 2 * time.Second
	ejectMost   = time.Minute
	maxEjected  = 0.3 // share of a service's executors at one owner
	ejectStages = 5   // doublings
)

// health is what the owner has seen of an executor.
type health struct {
	failures int // in a row
	stage    int // ejections since the last success
	until    time.Time
	trial    bool // back after an ejection, nothing has succeeded yet
}

// out reports whether the executor is left out at now.
func (h *health) out(now time.Time) bool { return now.Before(h.until) }

func (h *health) success() { *h = health{} }

// failure notes a failed request and reports whether the executor should go.
func (h *health) failure() bool {
	h.failures++
	return h.trial || h.failures >= ejectAfter
}

func (h *health) eject(now time.Time) {
	d := min(ejectBase<<h.stage, ejectMost)
	h.stage = min(h.stage+1, ejectStages)
	h.until = now.Add(d)
	h.failures = 0
	h.trial = true
}

// ejectable returns how many of n executors may be out at once.
func ejectable(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(float64(n)*maxEjected))
}
