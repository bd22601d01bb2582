package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// call is one request that the Router forwards to owners.
type call struct {
	router *Router
	req    *Request
	body   *replayBody
	// mayRun is set once a byte may have reached an executor, and never
	// cleared.
	mayRun bool

	tried        []string // owners tried in this round
	chargedTries int      // all tries but those that failed because ownership moved
	lastErr      error    // of the last try; nil after an answer with an error status

	waited time.Duration // time spent waiting for owners before this round
}

// run tries owners until one answers, as long as the errors, the deadline and
// the retry budget allow.
func (c *call) run(ctx context.Context) (*Answer, error) {
	r := c.router
	for {
		owner, err := c.chooseOwner(ctx)
		if err != nil {
			return nil, c.outcomeError(err)
		}
		ans, err := c.forward(ctx, owner)
		if err == nil && !c.hasRetryableStatus(ans) {
			r.budget.RecordSuccess()
			return ans, nil
		}
		reason, stop := c.mayRetry(ctx, err)
		if stop != "" {
			r.metrics.stoppedRetries.WithLabelValues(stop).Inc()
			if err == nil {
				return ans, nil
			}
			return nil, c.outcomeError(err)
		}
		if ans != nil {
			_ = ans.Body.Close()
		}
		r.metrics.retries.WithLabelValues(reason).Inc()
		c.tried = append(c.tried, owner.owner)
		c.lastErr = err
	}
}

// outcomeError returns err, or OutcomeUnknown if the kind of err says "not run"
// but an earlier try may have run: a typed refusal applies only to its own try.
func (c *call) outcomeError(err error) error {
	if c.mayRun && errkind.RowOf(errkind.Of(err)).NotRun {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier try of the request may have run")
	}
	return err
}

// Delays before owners that were already tried are tried again.
const (
	roundDelay     = 20 * time.Millisecond
	ownerMoveDelay = 100 * time.Millisecond
)

// chooseOwner returns the next owner to try. When all have been tried it starts
// a new round after a delay. While there is no owner it waits for a change of
// the directory. All waiting together is limited to NoExecutorWait.
func (c *call) chooseOwner(ctx context.Context) (candidate, error) {
	r := c.router
	start := r.opts.Now()
	for {
		v := r.opts.Directory.current.Load()
		if owner, ok := v.chooseOwner(c.req.Service, r.opts.Region, c.tried); ok {
			return owner, nil
		}
		remaining := r.opts.NoExecutorWait - r.opts.Now().Sub(start) - c.waited
		if remaining <= 0 {
			return candidate{}, c.noOwnerError()
		}
		delay := min(remaining, c.retryDelay())
		timer := time.NewTimer(delay)
		select {
		case <-v.changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return candidate{}, notStartedError(ctx)
		}
		timer.Stop()
		if len(c.tried) > 0 {
			c.tried = nil
			c.waited += r.opts.Now().Sub(start)
			start = r.opts.Now()
		}
	}
}

// retryDelay returns how long to wait for a change of the directory before a
// new round.
func (c *call) retryDelay() time.Duration {
	switch {
	case len(c.tried) == 0:
		return c.router.opts.NoExecutorWait
	case chargesBudget(c.lastErr):
		return roundDelay + rand.N(roundDelay)
	}
	return ownerMoveDelay
}

// noOwnerError returns the error of the last try, or NoExecutor if there was
// none.
func (c *call) noOwnerError() error {
	if c.lastErr != nil {
		return c.lastErr
	}
	return errkind.New(errkind.NoExecutor, "no executor of service %s is available", c.req.Service)
}

// forward forwards the request to one owner.
func (c *call) forward(ctx context.Context, to candidate) (*Answer, error) {
	r := c.router
	h := c.forwardHeader(r.opts.Now())
	to.load.inFlight.Add(1)
	defer to.load.inFlight.Add(-1)
	start := r.opts.Now()
	var ans *Answer
	var err error
	if to.owner == r.opts.Entry {
		ans, err = r.opts.Local.Handle(ctx, h, c.body.reader())
	} else {
		ans, err = r.opts.Peers.Forward(ctx, to.owner, h, c.body.reader())
	}
	if err == nil {
		to.load.recordLatency(r.opts.Now().Sub(start))
		c.mayRun = true
		return ans, nil
	}
	err = classifyError(ctx, err)
	if !errkind.RowOf(errkind.Of(err)).NotRun {
		c.mayRun = true
	}
	return nil, err
}

func (c *call) forwardHeader(now time.Time) *ForwardHeader {
	return &ForwardHeader{
		RequestID:      c.req.ID,
		Team:           c.req.Team,
		Service:        c.req.Service,
		Path:           c.req.Path,
		Header:         forwardedHeaders(c.req.Header),
		Size:           c.body.size,
		DeadlineMS:     c.req.Deadline.Sub(now).Milliseconds(),
		DeadlineUnixMS: c.req.Deadline.UnixMilli(),
		PatienceMS:     c.req.Patience.Milliseconds(),
		Repeatable:     c.req.Repeatable,
		Origin:         c.router.opts.Entry,
	}
}

// classifyError gives an error without a kind, such as that of a broken stream,
// the kind that makes the weakest claim about what ran.
func classifyError(ctx context.Context, err error) error {
	if errkind.Of(err) != errkind.Internal {
		return err
	}
	if ctx.Err() != nil {
		return abandonedError(ctx)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed before the owner answered")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the entry that owns the executor did not answer")
}
