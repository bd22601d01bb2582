package control

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

const (
	// repairEvery is the time between looks at the membership.
	repairEvery = 500 * time.Millisecond
	// replacedSilence is how long a replica must be silent whose address another
	// one has taken; it has lost its disk and never comes back.
	replacedSilence = time.Second
	// surplusSilence is how long a replica must be silent to be removed from a
	// group that has more voters than it needs.
	surplusSilence = 3 * time.Second
	removeTimeout  = 5 * time.Second
)

// repair removes dead replicas from the group while this process leads, one
// after the other.
func (s *Server) repair(ctx context.Context) {
	t := time.NewTicker(repairEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.repairOnce(ctx)
		}
	}
}

func (s *Server) repairOnce(ctx context.Context) {
	st := s.opts.Log.Status()
	if st.Role != raft.Leader || !s.opts.Log.LeaseValid() {
		return
	}
	dead, why := superseded(st.Members, st.ID, s.opts.Tolerate)
	if why == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	s.log.Warn("Replica is removed.", "id", dead, "reason", why)
	if err := s.opts.Log.Remove(ctx, dead); err != nil {
		s.log.Warn("Replica was not removed.", "id", dead, "err", err)
	}
}

// superseded returns a replica that the group is better without, and why: one
// whose address another has taken, or one that is silent in a group with more
// voters than tolerate losses take. The reason is empty where there is none.
func superseded(members []replica.Member, self replica.ID, tolerate int) (replica.ID, string) {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	for _, m := range members {
		if m.ID != self && m.SinceContact >= replacedSilence && addressTaken(members, m) {
			return m.ID, "another replica has its address"
		}
	}
	if tolerate == 0 || voters <= 2*tolerate+1 {
		return 0, ""
	}
	for _, m := range members {
		if m.ID != self && m.Voter && m.SinceContact >= surplusSilence {
			return m.ID, "it is silent and the group is whole without it"
		}
	}
	return 0, ""
}

// addressTaken reports whether a voter that was heard later has the address of m.
func addressTaken(members []replica.Member, m replica.Member) bool {
	for _, o := range members {
		if o.ID != m.ID && o.Voter && o.Address == m.Address && o.SinceContact < m.SinceContact {
			return true
		}
	}
	return false
}
