package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// contactFreshness is how recently the leader must have answered for a submission to be sent
// without a check. An entry of a large cell sends a few submissions a second, so that
// without the check the first one of each entry would go to a leader that is already lost.
const contactFreshness = 50 * time.Millisecond

// check is a probe of the leader before submissions are sent to it. All that wait share it.
type check struct {
	leadership leadership
	done       chan struct{}
}

// joinCheck returns the check that is under way, and starts one if there is none. The
// caller holds mu.
func (l *leaderClient) joinCheck() *check {
	if l.checking == nil || l.checking.leadership.address != l.leadership.address {
		l.checking = &check{leadership: l.leadership, done: make(chan struct{})}
		l.metrics.checks.Inc()
		go l.runCheck(l.checking)
	}
	return l.checking
}

// runCheck probes the leader and suspects it if it does not confirm that it leads.
func (l *leaderClient) runCheck(k *check) {
	current := k.leadership
	_, rtt := l.endpoint.Reception(current.address)
	ctx, cancel := context.WithTimeout(current.ctx, pingWait(rtt))
	defer cancel()
	p, err := wire.Call[proto.Empty, proto.Probe](ctx, l.endpoint, current.address, wire.KindProbe, &proto.Empty{})
	switch {
	case err != nil:
		l.suspect(current.address, suspectSilent)
	case !p.Ready:
		l.suspect(current.address, suspectNotLeader)
	default:
		l.heard(current)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checking == k {
		l.checking = nil
	}
	close(k.done)
}

// await waits for the end of a check and reports whether calls may be sent to the leader.
// If ctx ends first, the error is NoLeader: the call that waits has not been sent.
func (k *check) await(ctx context.Context, l *leaderClient) (ok bool, err error) {
	select {
	case <-k.done:
	case <-ctx.Done():
		return false, errkind.Wrap(errkind.NoLeader, ctx.Err(), "the leader did not answer a check before the deadline")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspected == notSuspected && l.leadership.address == k.leadership.address, nil
}

// heard records that the leader has just answered.
func (l *leaderClient) heard(from leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leadership.address == from.address {
		l.heardAt = time.Now()
	}
}

// mustCheck reports whether calls of a kind are sent only to a leader that has answered
// recently. Only for submissions does it matter to the caller whether one that got no
// answer has arrived.
func mustCheck(k wire.Kind) bool { return k == wire.KindSubmit || k == wire.KindSubmitWorkflow }
