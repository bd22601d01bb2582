package replica

import (
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

func proposalOf(b byte) proposal { return proposal{data: []byte{b}} }

func TestProposalsBeyondRateShareOneGroup(t *testing.T) {
	b := newInbox()
	b.groups = rate.NewLimiter(0, 1)
	assert.Assert(t, b.addProposal(proposalOf(1), 0))
	assert.DeepEqual(t, len(b.take().proposals), 1)

	assert.Assert(t, b.addProposal(proposalOf(2), 0))
	b.addMark(raft.Mark{})
	limited := b.take()
	assert.Equal(t, len(limited.proposals), 0)
	assert.Equal(t, len(limited.marks), 1, "only proposals may be delayed")

	assert.Assert(t, b.addProposal(proposalOf(3), 0))
	b.groups = rate.NewLimiter(rate.Inf, 1)
	group := b.take().proposals
	assert.Equal(t, len(group), 2)
	assert.Equal(t, group[0].data[0], byte(2), "delayed proposals must keep their order")
	assert.Equal(t, group[1].data[0], byte(3))
}

func TestDelayedProposalsWakeTheLoop(t *testing.T) {
	b := newInbox()
	b.groups = rate.NewLimiter(0, 0)
	assert.Assert(t, b.addProposal(proposalOf(1), 0))
	<-b.wake // for the proposal itself
	assert.Equal(t, len(b.take().proposals), 0)
	<-b.wake // for the retry after groupRetry
}

func TestDelayedProposalsCountTowardsLimit(t *testing.T) {
	b := newInbox()
	b.groups = rate.NewLimiter(0, 0)
	assert.Assert(t, !b.addProposal(proposal{data: make([]byte, maxUncommittedBytes+1)}, 0))
	assert.Assert(t, b.addProposal(proposal{data: make([]byte, maxUncommittedBytes)}, 0))
	assert.Equal(t, len(b.take().proposals), 0)
	assert.Assert(t, !b.addProposal(proposalOf(1), 0))
}

// Guards against a leader whose messages and syncs grow with the proposals, not with the writes of its disk.
func TestProposalsDuringWriteShareOneGroup(t *testing.T) {
	b := newInbox()
	propose := func() { assert.Assert(t, b.addProposal(proposal{data: []byte("x")}, 0)) }
	propose()
	assert.Equal(t, len(b.take().proposals), 1)
	b.addWrite()
	for range 3 {
		propose()
		assert.Equal(t, len(b.take().proposals), 0)
	}
	b.addMark(raft.Mark{})
	assert.Equal(t, len(b.take().proposals), 3)
}

func TestProposalsDoNotWaitForStalledWrite(t *testing.T) {
	b := newInbox()
	b.addWrite()
	assert.Assert(t, b.addProposal(proposal{data: []byte("x")}, 0))
	for len(b.take().proposals) == 0 {
		<-b.wake
	}
	assert.Assert(t, time.Since(b.waitingSince) >= maxGroupWait)
}
