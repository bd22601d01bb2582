package replica

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// Status is a summary of a replica for operators and other parts of the process.
type Status struct {
	ID            ID
	Role          Role
	Term          uint64
	Leader        ID // raft.None if unknown
	LeaderAddress string
	Commit        uint64
	Deliverable   uint64 // highest index that is committed and durable here
	Last          uint64
	Formed        bool // the replica belongs to a group
	StorageFull   bool
	Members       []Member
	// StateLimit is the least size of the state in bytes that this replica and, on a leader, the
	// others have memory and disk for. Zero: unknown.
	StateLimit int64

	uncommittedBytes int
}

// Member is one replica of the group.
type Member struct {
	ID      ID
	Address string
	Voter   bool
	// Match is, on a leader, the highest index known to be durable on the member.
	Match uint64
	// SinceContact is, on a leader, the time since the last message from the
	// member.
	SinceContact time.Duration
}

// Status returns the status after the last step of the core.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.StorageFull = n.lacksSpace()
	return s
}

// publish makes the status of the core visible to other goroutines.
func (n *Node) publish() {
	leader := n.core.LeaderID()
	address, _ := n.addrs.find(leader)
	s := &Status{
		ID:            n.identity.ID,
		Role:          n.core.Role(),
		Term:          n.core.Term(),
		Leader:        leader,
		LeaderAddress: address,
		Commit:        n.core.Commit(),
		Deliverable:   n.core.Deliverable(),
		Last:          n.core.Last().Index,
		Formed:        n.core.Last().Index > 0,
		StateLimit:    n.core.StateLimit(),

		uncommittedBytes: n.core.UncommittedBytes(),
	}
	for _, p := range n.core.Progress() {
		s.Members = append(s.Members, Member{
			ID:           p.ID,
			Address:      p.Address,
			Voter:        p.Voter,
			Match:        p.Match,
			SinceContact: time.Duration(p.SinceContact) * n.opts.Tick,
		})
	}
	if old := n.status.Swap(s); old != nil && old.Role != s.Role {
		n.logRole(s)
	}
	n.metrics.observe(s)
}

func (n *Node) logRole(s *Status) {
	if s.Role == raft.Leader {
		n.metrics.elections.Inc()
	}
	n.logger.Info("role changed", "role", s.Role, "term", s.Term, "leader", s.Leader)
}
