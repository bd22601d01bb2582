// Package repair removes replicas from the group that do not come back.
package repair

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

const (
	// repairEvery is the time between checks of the membership.
	repairEvery = 500 * time.Millisecond
	// replacedTimeout is how long a replica must be unresponsive to be removed if
	// another one has taken its address; it has lost its disk and never returns.
	replacedTimeout = time.Second
	// surplusTimeout is how long a replica must be unresponsive to be removed from a
	// group that has more voters than it needs.
	surplusTimeout = 3 * time.Second
	// removeTimeout bounds one removal.
	removeTimeout = 5 * time.Second
)

// Group is the replicated log as seen by one of its replicas.
type Group interface {
	LeaseValid() bool
	Status() replica.Status
	Remove(ctx context.Context, id replica.ID) error
}

// Run removes dead replicas from the group, one after the other, while this process
// leads. Tolerate is how many voters may be lost at once; voters beyond the number that
// this needs are removed if they stay unresponsive, and none are if it is zero. Run returns
// when ctx ends.
func Run(ctx context.Context, group Group, tolerate int, logger *log.Logger) {
	t := time.NewTicker(repairEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			removeOne(ctx, group, tolerate, logger)
		}
	}
}

// removeOne removes one dead replica, if there is one.
func removeOne(ctx context.Context, group Group, tolerate int, logger *log.Logger) {
	st := group.Status()
	if st.Role != raft.Leader || !group.LeaseValid() {
		return
	}
	dead, why := removableReplica(st.Members, st.ID, tolerate)
	if why == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	logger.Warn("Replica is removed.", "id", dead, "reason", why)
	if err := group.Remove(ctx, dead); err != nil {
		logger.Warn("Replica was not removed.", "id", dead, "err", err)
	}
}

// removableReplica returns a replica to remove and the reason: one whose address
// another replica has taken, or an unresponsive one in a group with more voters than it
// needs to tolerate that many losses. The reason is empty if there is none.
func removableReplica(members []replica.Member, self replica.ID, tolerate int) (replica.ID, string) {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	for _, m := range members {
		if m.ID != self && m.SinceContact >= replacedTimeout && addressTaken(members, m) {
			return m.ID, "another replica has its address"
		}
	}
	if tolerate == 0 || voters <= 2*tolerate+1 {
		return 0, ""
	}
	for _, m := range members {
		if m.ID != self && m.Voter && m.SinceContact >= surplusTimeout {
			return m.ID, "it is unresponsive and the group has enough voters without it"
		}
	}
	return 0, ""
}

// addressTaken reports whether a voter that has responded more recently than m has the
// same address.
func addressTaken(members []replica.Member, m replica.Member) bool {
	for _, o := range members {
		if o.ID != m.ID && o.Voter && o.Address == m.Address && o.SinceContact < m.SinceContact {
			return true
		}
	}
	return false
}
