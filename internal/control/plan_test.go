package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Without a pause, calls and commits wait behind one long plan after the other.
func TestLongPlansTakeAtMostHalfOfControlGoroutine(t *testing.T) {
	const step = time.Millisecond
	for _, row := range []struct {
		name  string
		takes time.Duration // by each plan
		most  time.Duration // in plans of one second
	}{
		{"long plans", 100 * time.Millisecond, 550 * time.Millisecond},
		{"short plans", 2 * time.Millisecond, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			h, _ := newLeaderHarness(t)
			h.lead()
			l := h.core.leader
			now := h.core.s.clock()
			h.core.s.clock = func() time.Duration { return now }
			inPlans, longestPause, pause := time.Duration(0), time.Duration(0), time.Duration(0)
			for end := now + time.Second; now < end; now += step {
				l.dirty = true
				l.planIfDue(h.core.s.now())
				if l.dirty {
					pause += step
					longestPause = max(longestPause, pause)
					continue
				}
				pause = 0
				inPlans += row.takes
				began := h.core.s.now()
				now += row.takes
				l.recordPlan(began, h.core.s.now())
			}
			assert.Assert(t, inPlans <= row.most, "%v in plans", inPlans)
			assert.Assert(t, longestPause <= row.takes, "%v without a plan", longestPause)
		})
	}
}
