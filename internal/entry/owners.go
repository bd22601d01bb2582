package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// ownerRenewalsPerLease is the number of ownership renewals in one lease.
const ownerRenewalsPerLease = 4

// renewOwnership renews the leases on executors until ctx ends.
func (s *Server) renewOwnership(ctx context.Context) {
	period := s.set.Limits.RequestLease.Std() / ownerRenewalsPerLease
	for {
		s.renewOwnershipOnce(ctx, period)
		timer := time.NewTimer(jitter(period))
		select {
		case <-timer.C:
		case <-s.renewNow:
			timer.Stop()
			sleep(ctx, earlyRenewalDelay)
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// earlyRenewalDelay is the delay before an early renewal. Requests for a renewal
// that arrive in this time share it.
const earlyRenewalDelay = 10 * time.Millisecond

// renewSoon requests an early renewal of ownership.
func (s *Server) renewSoon() {
	select {
	case s.renewNow <- struct{}{}:
	default:
	}
}

// renewOwnershipOnce renews the leases on executors, unless there is none to own.
func (s *Server) renewOwnershipOnce(ctx context.Context, period time.Duration) {
	if !s.dir.hasExecutors() && len(s.leases.Owned()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	// The max deadline must still cover the deadline of a request that arrives
	// just before the response to the next renewal.
	lifetime := max(s.owner.RequestLifetime(), s.set.Limits.RequestTimeout.Std()+3*period)
	req := s.leases.Renewal(time.Now(), s.owner.Load(), lifetime)
	resp, err := tryLeader[owner.Renewal, owner.RenewalResponse](ctx, s.leader, wire.KindOwners, req, 0)
	if err != nil {
		s.metrics.retried(errkind.Of(err))
		return
	}
	s.leases.Apply(resp)
	s.owner.Reconcile() // needed without a change too: requests may wait for the extended lease
}
