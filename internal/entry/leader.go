package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/discover"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	attemptTimeout = 1500 * time.Millisecond // of one attempt of a call that does not wait
	minRetryDelay  = 20 * time.Millisecond
	maxRetryDelay  = 400 * time.Millisecond
	// A call that has not been sent yet is sent only while more than a tenth of its time,
	// but at most maxSendReserve, is left. One that is sent later is unlikely to be answered
	// in time, and the caller would not know whether it arrived.
	sendReservePart = 10
	maxSendReserve  = 300 * time.Millisecond
	maxTryHold      = discover.Timeout // of a call that is attempted once
)

// leaderClient finds the leader among the control processes and calls it. It
// retries calls, so each of them must be idempotent at the leader.
type leaderClient struct {
	endpoint *wire.Endpoint
	metrics  *metrics
	log      *log.Logger

	watching atomic.Bool // a goroutine is checking whether the leader has changed

	mu         sync.Mutex
	control    []string // inner addresses of control processes
	leadership leadership
	suspected  suspicion // why calls to the leader are held back
	inFlight   int       // calls to the leader
	observing  bool      // a goroutine observes the leader
	heardAt    time.Time // when the leader answered last
	checking   *check    // nil: none is under way
	searches   searches
}

func newLeaderClient(e *wire.Endpoint, founders []string, m *metrics, logger *log.Logger) *leaderClient {
	return &leaderClient{
		endpoint:   e,
		metrics:    m,
		log:        logger,
		control:    founders,
		leadership: newLeadership(""),
		suspected:  suspectUnknown,
		searches:   searches{pause: minSearchPause},
	}
}

// callLeader sends req to the leader and retries, with a new leader if it has
// changed, until it gets a response or ctx ends. The leader may delay its response
// by wait. If ctx ends, the error is NoLeader if no attempt can have arrived and
// OutcomeUnknown otherwise. The error is NoLeader a little earlier if the call is
// still unsent then, see maxSendReserve.
func callLeader[Req, Resp any](ctx context.Context, l *leaderClient, k wire.Kind, req *Req, wait time.Duration) (*Resp, error) {
	reserve := sendReserve(ctx)
	mayHaveArrived := false
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		resp, err := attemptCall[Req, Resp](ctx, l, k, req, wait, timeLeft(ctx)-reserve)
		if err == nil {
			l.metrics.confirmed(mayHaveArrived)
			return resp, nil
		}
		if !retryable(errkind.Of(err)) {
			l.metrics.confirmed(mayHaveArrived)
			return nil, qualifyRefusal(err, mayHaveArrived)
		}
		if !errkind.RowOf(errkind.Of(err)).NotRun {
			mayHaveArrived, reserve = true, 0
		}
		l.metrics.retried(errkind.Of(err))
		if timeLeft(ctx) <= reserve || !sleep(ctx, jitter(pause)) {
			l.metrics.unconfirmed(mayHaveArrived)
			return nil, noConfirmation(err, mayHaveArrived)
		}
	}
}

// tryLeader makes one attempt of a call to the leader. The call is held back for a short time
// only: what these callers are granted counts from when they made the call.
func tryLeader[Req, Resp any](ctx context.Context, l *leaderClient, k wire.Kind, req *Req, wait time.Duration) (*Resp, error) {
	return attemptCall[Req, Resp](ctx, l, k, req, wait, maxTryHold)
}

// attemptCall makes one attempt of a call, which is held back for at most hold.
func attemptCall[Req, Resp any](ctx context.Context, l *leaderClient, k wire.Kind, req *Req, wait, hold time.Duration) (*Resp, error) {
	current, err := l.find(ctx, k, hold)
	if err != nil {
		return nil, err
	}
	tryCtx, stop := l.bind(ctx, current, attemptTimeout+wait)
	defer stop()
	resp, err := wire.Call[Req, Resp](tryCtx, l.endpoint, current.address, k, req)
	switch {
	case err == nil:
		l.resetSearchPause()
		l.heard(current)
	case retryable(errkind.Of(err)) && tryCtx.Err() == nil:
		l.suspect(current.address, suspicionOf(errkind.Of(err)))
	}
	return resp, err
}

// sendReserve returns the time that must be left for a call to be sent for the first time.
func sendReserve(ctx context.Context) time.Duration {
	return min(timeLeft(ctx)/sendReservePart, maxSendReserve)
}

// timeLeft returns the time until the deadline of ctx; without a deadline, a long time.
func timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return math.MaxInt64
}

// retryable reports whether an idempotent call that failed with k can be retried.
func retryable(k errkind.Kind) bool {
	switch k {
	case errkind.NotLeader, errkind.NoLeader, errkind.Unreachable, errkind.Overloaded,
		errkind.OutcomeUnknown, errkind.DeadlineExceeded:
		return true
	}
	return false
}

// qualifyRefusal changes the refusal of a retry if an earlier attempt may have
// arrived, because the refusal would claim that nothing was done. Conflicts are
// kept: they report the state at the leader.
func qualifyRefusal(err error, mayHaveArrived bool) error {
	k := errkind.Of(err)
	if !mayHaveArrived || k == errkind.VersionConflict || k == errkind.IdempotencyConflict {
		return err
	}
	return errkind.AfterSend(err)
}

func noConfirmation(last error, mayHaveArrived bool) error {
	if mayHaveArrived {
		return errkind.Wrap(errkind.OutcomeUnknown, last, "no leader confirmed the call before its deadline")
	}
	return errkind.Wrap(errkind.NoLeader, last, "no leader responded before the deadline")
}

// find returns the leadership that a call of kind k goes to. While none is known, or the
// leader is suspected, it holds the call back. The error is NoLeader if no leader is found
// within hold.
func (l *leaderClient) find(ctx context.Context, k wire.Kind, hold time.Duration) (leadership, error) {
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		l.mu.Lock()
		if l.suspected != notSuspected {
			return l.hold(ctx)
		}
		current := l.leadership
		if !mustCheck(k) || time.Since(l.heardAt) < contactFreshness {
			l.mu.Unlock()
			return current, nil
		}
		c := l.joinCheck()
		l.mu.Unlock()
		if ok, err := c.await(ctx, l); ok || err != nil {
			return c.leadership, err
		}
	}
}

// hold holds a call back until a leader is confirmed. The caller has locked mu.
func (l *leaderClient) hold(ctx context.Context) (leadership, error) {
	why := l.suspected
	s := l.startSearch()
	s.waiting++
	l.mu.Unlock()
	l.metrics.callsHeld.WithLabelValues(string(why)).Inc()
	found, err := l.await(ctx, s)
	l.metrics.heldCallEnded(err == nil)
	return found, err
}

// current returns the leadership, which may be suspected.
func (l *leaderClient) current() leadership {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leadership
}

// addControl adds control processes that have joined since the settings were
// written. It keeps the founders, because they may be the only ones reachable
// later.
func (l *leaderClient) addControl(peers []string) {
	for _, a := range peers {
		if !slices.Contains(l.control, a) {
			l.control = append(slices.Clip(l.control), a)
		}
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits for d or the end of ctx and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
