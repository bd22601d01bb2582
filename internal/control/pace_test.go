package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Guards against a leader whose plans and proposals grow with the events, so that its processor fills up.
func TestEventsOfOneIntervalSharePlanAndProposal(t *testing.T) {
	const (
		events       = 1000 // one each millisecond
		maxPlans     = 51
		maxProposals = 101
	)
	h, _ := newLeaderHarness(t)
	h.lead()
	l := h.core.leader
	now := h.core.s.clock()
	h.core.s.clock = func() time.Duration { return now }
	plans, proposals := 0, 0
	for i := range events {
		now += time.Millisecond
		l.polled.addReport(l.polled.workers["w"], api.Report{Task: model.TaskID{Job: 999, Index: int32(i)}, State: api.ReportStarted})
		l.dirty = true
		h.core.schedule()
		if !l.dirty {
			plans++
		}
		proposed := h.log.proposed
		h.log.proposed = nil
		proposals += len(proposed)
		for _, data := range proposed {
			h.commit(data)
		}
	}
	assert.Assert(t, plans > 0 && plans <= maxPlans, "%d plans", plans)
	assert.Assert(t, proposals > 0 && proposals <= maxProposals, "%d proposals", proposals)
}

// Guards against a leader that cannot keep up, since each plan takes its time and one is made for each event.
func TestLeaderWhoseWorkTakesTimeKeepsUpWithEvents(t *testing.T) {
	const (
		events    = 4000
		interval  = 1400 * time.Microsecond // between two events
		eventTime = 300 * time.Microsecond  // to handle one
		planTime  = 1200 * time.Microsecond
		maxDelay  = 50 * time.Millisecond // from an event until it is handled
	)
	h, _ := newLeaderHarness(t)
	h.lead()
	l := h.core.leader
	now := h.core.s.clock()
	h.core.s.clock = func() time.Duration { return now }
	start, longest := now, time.Duration(0)
	for i := range events {
		arrives := start + time.Duration(i)*interval
		now = max(now, arrives) + eventTime
		longest = max(longest, now-arrives)
		l.dirty = true
		h.core.schedule()
		if !l.dirty {
			now += planTime
		}
	}
	assert.Assert(t, longest <= maxDelay, "an event was handled after %v", longest)
}
