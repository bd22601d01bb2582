package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// ownerRenewalsPerLease is how many renewals of ownership fall into one lease.
const ownerRenewalsPerLease = 4

// renewOwners keeps up the leases on executors until ctx ends.
func (s *Server) renewOwners(ctx context.Context) {
	period := s.set.Limits.RequestLease.Std() / ownerRenewalsPerLease
	for {
		s.renewOwnersOnce(ctx, period)
		timer := time.NewTimer(jitter(period))
		select {
		case <-timer.C:
		case <-s.renewNow:
			timer.Stop()
			sleep(ctx, earlyRenewal)
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// earlyRenewal is the pause before a renewal out of turn, so that many reasons
// for one share it.
const earlyRenewal = 10 * time.Millisecond

// renewSoon asks for a renewal of ownership out of turn.
func (s *Server) renewSoon() {
	select {
	case s.renewNow <- struct{}{}:
	default:
	}
}

func (s *Server) renewOwnersOnce(ctx context.Context, period time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	// The horizon must still lie beyond the deadline of a request that comes
	// just before the answer to the next renewal.
	life := max(s.owner.RequestLifetime(), s.set.Limits.RequestTimeout.Std()+3*period)
	req := s.leases.Renewal(time.Now(), s.owner.Load(), life)
	resp, err := tryLeader[owner.Renewal, owner.Renewed](ctx, s.leader, wire.KindOwners, req, 0)
	if err != nil {
		s.metrics.retried(errkind.Of(err))
		return
	}
	s.leases.Apply(resp)
	s.owner.Reconcile() // also without a change: requests may wait for the longer lease
}
