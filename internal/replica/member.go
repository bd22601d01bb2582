package replica

import (
	"context"
	"errors"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// AddLearner adds the replica id at addr, which gets the log and has no vote. It
// returns once the change is committed. Calling it again is harmless.
func (n *Node) AddLearner(ctx context.Context, id ID, addr string) error {
	return n.changeMembership(ctx, func() error { return n.core.AddLearner(id, addr) })
}

// Promote makes a learner a voter. It waits until the learner holds every
// committed entry, and returns once the change is committed.
func (n *Node) Promote(ctx context.Context, id ID) error {
	return n.changeMembership(ctx, func() error { return n.core.Promote(id) })
}

// Remove takes a replica out of the group. A leader does not remove itself: it
// returns BadRequest, and leadership is handed over first.
func (n *Node) Remove(ctx context.Context, id ID) error {
	return n.changeMembership(ctx, func() error { return n.core.Remove(id) })
}

// Replace puts the replica id at addr in the place of dead: it is added as a
// learner, caught up, made a voter, and only then is dead removed. Each step is
// one committed change. After an error the call may be repeated, also on
// another leader.
func (n *Node) Replace(ctx context.Context, dead, id ID, addr string) error {
	if err := n.AddLearner(ctx, id, addr); err != nil {
		return err
	}
	if err := n.Promote(ctx, id); err != nil {
		return err
	}
	return n.Remove(ctx, dead)
}

// change tries until the core takes the change, and waits for its commit.
func (n *Node) changeMembership(ctx context.Context, try func() error) error {
	term := uint64(0)
	return n.waitFor(ctx, func() (bool, error) {
		if n.core.Role() != raft.Leader || term != 0 && n.core.Term() != term {
			return false, notLeader()
		}
		if term == 0 {
			switch err := try(); {
			case err == nil:
				term = n.core.Term()
			case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp):
				return false, nil
			default:
				return false, changeError(err)
			}
		}
		return !n.core.ChangePending(), nil
	})
}

// ErrRemoved is fatal to a replica that was taken out of the group while it was
// away. Its data folder is of no more use.
var ErrRemoved = errors.New("replica: this replica was removed from the group")

// notifyRemoved answers a replica that asks for votes though it is no member any
// more. Only a leader knows that, and only with no change open.
func (n *Node) notifyRemoved(m Message) {
	asks := m.Kind == raft.PreVote || m.Kind == raft.Vote
	if !asks || n.core.Role() != raft.Leader || n.core.ChangePending() || !n.LeaseValid() {
		return
	}
	if _, member := n.core.Config().Find(m.From); member {
		return
	}
	n.sendAll([]Message{{Kind: raft.Removed, From: n.identity.ID, To: m.From, Term: n.core.Term()}})
}

// receiveRemoved ends a replica that a later leader has told of its removal.
func (n *Node) receiveRemoved(m Message) {
	if m.Term < n.core.Term() || n.core.Config().Voters() == 0 {
		return
	}
	n.fail(ErrRemoved)
}

func changeError(err error) error {
	if errors.Is(err, raft.ErrSelf) || errors.Is(err, raft.ErrNoSuchPeer) {
		return errkind.Wrap(errkind.BadRequest, err, "replica")
	}
	return errkind.Wrap(errkind.NotLeader, err, "replica")
}

// TransferLeadership hands leadership to the live voter that is furthest ahead.
// It returns once this replica no longer leads. Where the other does not take
// over within an election timeout, this replica steps down all the same.
func (n *Node) TransferLeadership(ctx context.Context) error {
	begun := false
	return n.waitFor(ctx, func() (bool, error) {
		if n.core.Role() != raft.Leader {
			if !begun {
				return false, notLeader()
			}
			return true, nil
		}
		if begun {
			return false, nil
		}
		if err := n.core.Transfer(); err != nil {
			return false, changeError(err)
		}
		begun = true
		return false, nil
	})
}
