package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// Without pauses, calls and commits wait behind one plan after the other.
func TestPlansTakeAtMostQuarterOfControlGoroutine(t *testing.T) {
	const step = time.Millisecond
	for _, row := range []struct {
		name  string
		takes time.Duration // by each plan
		most  time.Duration // in plans of one second
	}{
		{"long plans", 100 * time.Millisecond, 300 * time.Millisecond},
		{"short plans", 2 * time.Millisecond, 250 * time.Millisecond},
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
				began := now
				now += row.takes
				l.recordPlan(began, now)
			}
			assert.Assert(t, inPlans <= row.most, "%v in plans", inPlans)
			assert.Assert(t, longestPause <= max(3*row.takes, 20*time.Millisecond), "%v without a plan", longestPause)
		})
	}
}

// Guards against a control goroutine that spends each tick on proposals which a full log refuses.
func TestDecisionsAreNotAllProposedAgainWhileLogIsFull(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	l := h.core.leader
	const decisions = 1000
	for i := range decisions {
		l.uncommitted = append(l.uncommitted, &state.Command{Fail: &state.Fail{Job: model.JobID(1000 + i), Task: state.WholeJob}})
	}
	h.log.full = true
	for range decisions {
		l.proposeUncommitted()
	}
	assert.Equal(t, h.log.refused, decisions)
	assert.Equal(t, len(l.uncommitted), decisions)
	h.log.full = false
	before := len(h.log.proposed)
	l.proposeUncommitted()
	assert.Equal(t, len(h.log.proposed), before+decisions)
}
