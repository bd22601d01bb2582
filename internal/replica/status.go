package replica

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// Status is what a replica shows of itself.
type Status struct {
	ID            ID
	Role          Role
	Term          uint64
	Leader        ID // raft.None: unknown
	LeaderAddress string
	Commit        uint64
	Deliverable   uint64 // highest index that may be given to the state
	Last          uint64
	Formed        bool // the replica is part of a group
	StorageFull   bool
	Members       []Member

	uncommittedBytes int
}

// Member is one replica of the group.
type Member struct {
	ID      ID
	Address string
	Voter   bool
	// Match is, on a leader, the highest index known to be durable there.
	Match uint64
	// SinceContact is, on a leader, the time since the member was last heard.
	SinceContact time.Duration
}

// Status returns the state after the last step.
func (n *Node) Status() Status {
	s := *n.status.Load()
	s.StorageFull = n.diskFull.Load() || n.lowSpace.Load()
	return s
}

// publish shows the state of the core to other goroutines.
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
