package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/limit"
)

// Guards against a log that fills with the same ceilings, each tick and each demand, while commits take long.
func TestCeilingIsNotProposedAgainBeforeItIsCommitted(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	l := h.core.leader
	demand := func(seq uint64) {
		l.permits.HandleDemands("e", 1, []limit.Demand{{Team: "stands", Seq: seq, Want: 3, DeadlineMS: 1000}}, h.core.s.now())
		l.proposeCeilings()
	}
	before := len(h.log.proposed)
	demand(1)
	demand(2)
	assert.Equal(t, len(h.log.proposed), before+1)
	h.log.proposed = nil // and is lost
	l.c.proposals.failAll(errkind.New(errkind.OutcomeUnknown, "the proposal is lost"))
	demand(3)
	assert.Equal(t, len(h.log.proposed), 1)
}
