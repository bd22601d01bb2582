package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// script is a sim with an explicit schedule. Nodes are identified by IDs from 1.
type script struct {
	*sim
	t    *testing.T
	drop func(*Message) bool // may also modify the message
}

func newScript(t *testing.T, size int, unsafe unsafeOptions) *script {
	opts := Options{MaxAppendBytes: 1, unsafe: unsafe}
	return &script{sim: newSim(size, opts, func(int) int { return 0 }), t: t}
}

// flush makes all pending batches of the nodes durable.
func (s *script) flush(ids ...ID) {
	for _, id := range ids {
		n := s.find(id)
		for len(n.pending) > 0 || len(n.marks) > 0 {
			s.write(n)
			s.reportPersisted(n)
		}
	}
}

// exchange delivers messages among the nodes until none is left. Messages from
// and to other nodes are lost.
func (s *script) exchange(ids ...ID) {
	within := map[ID]bool{}
	for _, id := range ids {
		within[id] = true
	}
	for {
		s.flush(ids...)
		if len(s.inFlight) == 0 {
			return
		}
		m := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		if n := s.live(m.To); n != nil && within[m.From] && within[m.To] && (s.drop == nil || !s.drop(&m)) {
			n.core.Step(m)
			s.processReady(n)
		}
	}
}

// tickNodes advances the time of the given nodes by n ticks. Messages that they
// send stay in flight.
func (s *script) tickNodes(n int, ids ...ID) {
	for range n {
		s.now++
		for _, id := range ids {
			s.find(id).core.Tick()
			s.processReady(s.find(id))
		}
	}
}

// elect makes id leader with the votes of the given nodes, after all of them have
// lost contact with their leader.
func (s *script) elect(id ID, voters ...ID) {
	s.inFlight = nil
	s.tickNodes(2*DefaultElectionTicks, voters...)
	s.inFlight = nil
	n := s.find(id)
	const tries = 3 // the first attempt may only teach the node the current term
	for range tries {
		if n.core.Role() != Leader {
			n.core.campaign()
			s.processReady(n)
			s.exchange(voters...)
		}
	}
	assert.Equal(s.t, n.core.Role(), Leader)
}

func (s *script) core(id ID) *Core { return s.find(id).core }

// A partitioned leader returns and finds its old entry on a majority. It must not
// count that entry as committed, since node 5 can still be elected and replace
// it.
func TestEarlierTermEntriesCommitOnlyWithCurrentTermEntry(t *testing.T) {
	rows := []struct {
		name   string
		unsafe unsafeOptions
		broken bool
	}{
		{name: "a majority alone does not commit an entry of an earlier term"},
		{name: "without the check a committed entry is replaced", unsafe: unsafeOptions{noTermCheck: true}, broken: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newScript(t, 5, row.unsafe)
			s.elect(1, 1, 2, 3, 4, 5)
			s.propose(s.find(1))
			s.exchange(1, 2)
			s.drop = func(m *Message) bool { return m.Kind == Append }
			s.elect(5, 3, 4, 5)
			third := s.core(5).Term()
			s.drop = func(m *Message) bool {
				if len(m.Entries) > 0 && m.Entries[0].Term > third {
					m.Entries = nil // like a probe
				}
				return false
			}
			s.elect(1, 1, 2, 3, 4)
			s.drop = nil
			s.elect(5, 2, 3, 4, 5)
			assert.Equal(t, s.violation != nil, row.broken, "%v", s.violation)
		})
	}
}

// Node 2 has just acknowledged the lease of the leader when node 3, long without
// contact, asks it for its vote.
func TestNoElectionDuringAnotherLeadersLease(t *testing.T) {
	rows := []struct {
		name    string
		unsafe  unsafeOptions
		restart bool
		broken  bool
	}{
		{name: "a voter in contact with the leader refuses its vote"},
		{name: "a restarted voter refuses its vote for an election timeout", restart: true},
		{name: "without stickiness there are two leaders at once", unsafe: unsafeOptions{noStickiness: true}, broken: true},
		{name: "without the delay of votes after a restart there are two leaders at once", unsafe: unsafeOptions{noStartupVoteDelay: true}, restart: true, broken: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newScript(t, 3, row.unsafe)
			s.elect(1, 1, 2, 3)
			for range 3 * DefaultElectionTicks {
				s.tick()
				s.exchange(1, 2)
			}
			assert.Assert(t, s.find(1).lease > s.now)
			if row.restart {
				s.crash(s.find(2))
				s.restart(s.find(2))
			}
			s.core(3).campaign()
			s.processReady(s.find(3))
			s.exchange(2, 3)
			assert.Equal(t, s.violation != nil, row.broken, "%v", s.violation)
			assert.Equal(t, s.core(3).Role() == Leader, row.broken)
		})
	}
}

// The target of a leadership transfer receives TimeoutNow only long after it was
// sent.
func TestLateTimeoutNowDoesNotBreakLease(t *testing.T) {
	rows := []struct {
		name   string
		unsafe unsafeOptions
		broken bool
	}{
		{name: "a leader steps down after a failed transfer"},
		{name: "a lease that stays valid during the transfer is violated", unsafe: unsafeOptions{leaseDuringTransfer: true}, broken: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newScript(t, 3, row.unsafe)
			s.elect(1, 1, 2, 3)
			s.tick()
			s.tick()
			s.exchange(1, 2, 3)
			assert.Assert(t, s.find(1).lease > s.now)
			s.transfer(s.find(1))
			late := s.inFlight[0]
			assert.Equal(t, late.Kind, TimeoutNow)
			s.inFlight = nil
			for range DefaultElectionTicks - 1 {
				s.tick()
				s.exchange(1, 2, 3)
			}
			target := s.find(late.To)
			target.core.Step(late)
			s.processReady(target)
			s.exchange(2, 3)
			assert.Equal(t, s.violation != nil, row.broken, "%v", s.violation)
		})
	}
}

// A replica returns after a long partition and asks for votes.
func TestPartitionedReplicaDoesNotDisruptLeader(t *testing.T) {
	rows := []struct {
		name   string
		unsafe unsafeOptions
		stays  bool
	}{
		{name: "with pre-vote its term has not increased", stays: true},
		{name: "without pre-vote the leader must step down", unsafe: unsafeOptions{noPreVote: true}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newScript(t, 3, row.unsafe)
			s.elect(1, 1, 2, 3)
			term := s.core(1).Term()
			for range 100 {
				s.tick()
				s.exchange(1, 2)
			}
			for range DefaultHeartbeatTicks + 1 {
				s.tick()
				s.exchange(1, 2, 3)
			}
			assert.Equal(t, s.core(1).Role() == Leader && s.core(1).Term() == term, row.stays)
		})
	}
}

// A one-way partition: the messages of the leader arrive and it receives none.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	rows := []struct {
		name      string
		unsafe    unsafeOptions
		stepsDown bool
	}{
		{name: "with check-quorum it steps down within an election timeout", stepsDown: true},
		{name: "without check-quorum it stays leader and no other can be elected", unsafe: unsafeOptions{noCheckQuorum: true}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newScript(t, 3, row.unsafe)
			s.elect(1, 1, 2, 3)
			s.drop = func(m *Message) bool { return m.To == 1 }
			for range 4 * DefaultElectionTicks {
				s.tick()
				s.exchange(1, 2, 3)
			}
			assert.Equal(t, s.core(1).Role() != Leader, row.stepsDown)
			other := s.core(2).Role() == Leader || s.core(3).Role() == Leader
			assert.Equal(t, other, row.stepsDown)
		})
	}
}

// A group replaces a lost replica and loses a second one right after.
func TestSecondLossRightAfterRepairLosesNothing(t *testing.T) {
	rows := []struct {
		name    string
		unsafe  unsafeOptions
		refused bool
	}{
		{name: "a learner that is behind is not promoted", refused: true},
		{name: "without the check it becomes a voter before it has the log", unsafe: unsafeOptions{promoteLagging: true}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newScript(t, 3, row.unsafe)
			s.elect(1, 1, 2, 3)
			for range 20 {
				s.propose(s.find(1))
			}
			s.exchange(1, 2, 3)
			s.crash(s.find(3))
			s.nodes = append(s.nodes, s.startNode(4, simDisk{}))
			assert.NilError(t, s.core(1).AddLearner(4, "4"))
			s.processReady(s.find(1))
			s.exchange(1, 2)
			err := s.core(1).Promote(4)
			assert.Equal(t, err != nil, row.refused)
			if !row.refused {
				return
			}
			for range 3 {
				s.tick()
				s.exchange(1, 2, 4)
			}
			assert.NilError(t, s.core(1).Promote(4))
			s.processReady(s.find(1))
			s.exchange(1, 2, 4)
			assert.NilError(t, s.core(1).Remove(3))
			s.processReady(s.find(1))
			s.exchange(1, 2, 4)

			s.crash(s.find(1))
			s.elect(4, 2, 4)
			assert.NilError(t, s.violation)
			assert.Equal(t, s.core(4).Config().Voters(), 3)
			assert.Assert(t, s.core(4).Commit() >= uint64(len(s.committed)))
		})
	}
}

// A replica whose election delay equals the spread of the election timeouts never
// starts an election before the others.
func TestElectionDelayPutsReplicaAfterOthers(t *testing.T) {
	for seed := range uint64(200) {
		normal := New(Options{ID: 1, Seed: seed}, Restored{})
		delayed := New(Options{ID: 2, Seed: seed + 1, ElectionDelayTicks: DefaultElectionTicks}, Restored{})
		assert.Assert(t, normal.electionTimeout < 2*DefaultElectionTicks)
		assert.Assert(t, delayed.electionTimeout >= 2*DefaultElectionTicks)
	}
}

// A learner that always lags by one round, since proposals never pause, must be
// promoted all the same.
func TestDistantLearnerIsPromotedUnderLoad(t *testing.T) {
	s := newScript(t, 3, unsafeOptions{})
	s.elect(1, 1, 2, 3)
	s.crash(s.find(3))
	s.nodes = append(s.nodes, s.startNode(4, simDisk{}))
	assert.NilError(t, s.core(1).AddLearner(4, "4"))
	s.processReady(s.find(1))
	promoted := false
	for round := 0; round < 10 && !promoted; round++ {
		s.propose(s.find(1))
		s.exchange(1, 2)
		promoted = s.core(1).Promote(4) == nil
		s.tick()
		s.exchange(1, 2, 4)
	}
	assert.Assert(t, promoted)
	assert.NilError(t, s.violation)
}

// heal restarts all nodes and lets them exchange all messages for ten election
// timeouts.
func (s *script) heal() {
	var ids []ID
	for _, n := range s.nodes {
		n.frozen = 0
		if n.down {
			s.restart(n)
		}
		ids = append(ids, n.id)
	}
	for range 10 * DefaultElectionTicks {
		s.tick()
		s.exchange(ids...)
		for range 4 {
			s.deliverAllSnapshots()
			for _, n := range s.nodes {
				s.answerReads(n)
			}
			s.exchange(ids...)
		}
	}
}

func (s *script) deliverAllSnapshots() {
	s.choose = func(n int) int { return n - 1 }
	for len(s.snapshots) > 0 {
		s.deliverSnapshot()
	}
}

// onlyLeader returns the leader, or nil unless exactly one node is a leader.
func (s *script) onlyLeader() *simNode {
	var leader *simNode
	for _, n := range s.nodes {
		if n.core.Role() == Leader {
			if leader != nil {
				return nil
			}
			leader = n
		}
	}
	return leader
}
