package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	attemptTimeout = 1500 * time.Millisecond // of one attempt of a call that does not wait
	minRetryDelay  = 20 * time.Millisecond
	maxRetryDelay  = 400 * time.Millisecond
)

// leaderClient finds the leader among the control processes and calls it. It
// retries calls, so each of them must be idempotent at the leader.
type leaderClient struct {
	endpoint *wire.Endpoint
	metrics  *metrics

	watching atomic.Bool // a goroutine is checking whether the leader has changed

	mu         sync.Mutex
	control    []string // inner addresses of control processes
	leadership leadership
	searches   searches
}

func newLeaderClient(e *wire.Endpoint, founders []string, m *metrics) *leaderClient {
	return &leaderClient{
		endpoint:   e,
		metrics:    m,
		control:    founders,
		leadership: newLeadership(""),
		searches:   searches{pause: minSearchPause},
	}
}

// callLeader sends req to the leader and retries, with a new leader if it has
// changed, until it gets a response or ctx ends. The leader may delay its response
// by wait. If ctx ends, the error is NoLeader if no attempt can have arrived and
// OutcomeUnknown otherwise.
func callLeader[Req, Resp any](ctx context.Context, l *leaderClient, k wire.Kind, req *Req, wait time.Duration) (*Resp, error) {
	mayHaveArrived := false
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		resp, err := tryLeader[Req, Resp](ctx, l, k, req, wait)
		if err == nil {
			return resp, nil
		}
		if !retryable(errkind.Of(err)) {
			return nil, qualifyRefusal(err, mayHaveArrived)
		}
		mayHaveArrived = mayHaveArrived || !errkind.RowOf(errkind.Of(err)).NotRun
		l.metrics.retried(errkind.Of(err))
		if !sleep(ctx, jitter(pause)) {
			return nil, noConfirmation(err, mayHaveArrived)
		}
	}
}

func tryLeader[Req, Resp any](ctx context.Context, l *leaderClient, k wire.Kind, req *Req, wait time.Duration) (*Resp, error) {
	current, err := l.find(ctx)
	if err != nil {
		return nil, err
	}
	tryCtx, stop := l.bind(ctx, current, attemptTimeout+wait)
	defer stop()
	resp, err := wire.Call[Req, Resp](tryCtx, l.endpoint, current.address, k, req)
	switch {
	case err == nil:
		l.resetSearchPause()
	case retryable(errkind.Of(err)):
		l.forget(current.address)
	}
	return resp, err
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

// find returns the leadership that calls go to. If no leader is known, it waits for the
// next search.
func (l *leaderClient) find(ctx context.Context) (leadership, error) {
	l.mu.Lock()
	if l.leadership.address != "" {
		defer l.mu.Unlock()
		return l.leadership, nil
	}
	s := l.joinSearch()
	l.mu.Unlock()
	return s.await(ctx)
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

func (l *leaderClient) forget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leadership.address == addr {
		l.setLeader("")
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
