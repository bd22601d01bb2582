package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// electedCore returns a core that has just won an election among three voters.
func electedCore(t *testing.T) *raft.Core {
	t.Helper()
	var peers []raft.Peer
	for id := ID(1); id <= 3; id++ {
		peers = append(peers, raft.Peer{ID: id, Voter: true})
	}
	c := raft.New(raft.Options{ID: 1}, raft.Restored{})
	c.Bootstrap(raft.NewConfig(peers))
	persist := func() { c.Persisted(c.Ready().Mark) }
	persist()
	for c.Role() == raft.Follower {
		c.Tick()
	}
	c.Step(Message{Kind: raft.PreVoteReply, From: 2, To: 1, Term: 2})
	persist()
	c.Step(Message{Kind: raft.VoteReply, From: 2, To: 1, Term: 2})
	assert.Equal(t, c.Role(), raft.Leader)
	return c
}

func TestLeaseStartsWhenAcknowledgedRoundWasSent(t *testing.T) {
	c := electedCore(t)
	var l lease
	l.record(c, time.Second)
	assert.Assert(t, !l.acked, "votes alone must not start a lease")
	first := c.Seq()
	c.Tick()
	c.Tick()
	l.record(c, 2*time.Second)
	assert.Assert(t, c.Seq() > first)
	c.Step(Message{Kind: raft.HeartbeatReply, From: 2, To: 1, Term: 2, Seq: first})
	l.record(c, 9*time.Second)
	assert.Assert(t, l.acked)
	assert.Equal(t, l.quorumSentAt, time.Second)
}
