package replica

import (
	"context"
	"errors"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// AddLearner adds the replica id at addr as a learner, which receives the log and
// has no vote. It returns once the change is committed and is idempotent.
func (n *Node) AddLearner(ctx context.Context, id ID, addr string) error {
	begun := n.opts.Now()
	if err := n.changeMembership(ctx, func() error { return n.core.AddLearner(id, addr) }); err != nil {
		return err
	}
	n.logger.Info("learner added", "id", id, "after_ms", milliseconds(n.opts.Now()-begun))
	return nil
}

// Promote makes a learner a voter. It waits until the learner holds all entries
// that were committed at the first attempt, and returns once the change is
// committed.
func (n *Node) Promote(ctx context.Context, id ID) error {
	begun := n.opts.Now()
	caughtUp := begun
	err := n.changeMembership(ctx, func() error {
		caughtUp = n.opts.Now()
		return n.core.Promote(id)
	})
	if err != nil {
		return err
	}
	took := n.opts.Now() - begun
	n.metrics.catchUp.Observe(took.Seconds())
	n.logger.Info("learner became a voter", "id", id,
		"caught_up_ms", milliseconds(caughtUp-begun), "after_ms", milliseconds(took))
	return nil
}

// Remove removes a replica from the group. A leader cannot remove itself: it
// returns BadRequest, and leadership must be transferred first.
func (n *Node) Remove(ctx context.Context, id ID) error {
	return n.changeMembership(ctx, func() error { return n.core.Remove(id) })
}

// Replace replaces the replica old by the replica id at addr: id is added as a
// learner, catches up and becomes a voter, and only then is old removed. Each
// step is one committed change. After an error the call may be repeated, also on
// another leader.
func (n *Node) Replace(ctx context.Context, old, id ID, addr string) error {
	if err := n.AddLearner(ctx, id, addr); err != nil {
		return err
	}
	if err := n.Promote(ctx, id); err != nil {
		return err
	}
	return n.Remove(ctx, old)
}

// changeMembership calls try until the core accepts the change, and waits until
// the change is committed. It returns NotLeader if the term ends before that.
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

// ErrRemoved is the fatal error of a replica that was removed from the group
// while it was down or unreachable. Its data folder is no longer of use.
var ErrRemoved = errors.New("replica: this replica was removed from the group")

// notifyRemoved notifies a replica that asks for votes although it is no longer a
// member. Only a leader without a pending change knows that for certain.
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

// receiveRemoved stops this replica after a leader of the current or a later term
// has reported its removal.
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

// TransferLeadership transfers leadership to the responsive voter that is
// furthest ahead. It returns once this replica no longer leads. If the other
// replica does not take over within an election timeout, this one steps down all
// the same.
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
