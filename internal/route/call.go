package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// call is one request on its way through the owners.
type call struct {
	router *Router
	req    *Request
	body   *replayBody
	// mayRun is set once a byte may have reached an executor, and stays set.
	mayRun bool

	tried        []string // owners of this round
	chargedTries int      // that count: all but those that met a move of ownership
	lastErr      error    // of the last try

	waited time.Duration // for owners, before this round
}

// run tries owners until one answers, as far as reasons, deadline and budget
// allow.
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
			r.metrics.stopped.WithLabelValues(stop).Inc()
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

// truthful converts err to a kind that may be told after what has been sent.
// A typed refusal speaks only for its own try, not for those before.
func (c *call) outcomeError(err error) error {
	if c.mayRun && errkind.RowOf(errkind.Of(err)).NotRun {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier try may have run")
	}
	return err
}

// Pauses before the owners that were tried are tried again.
const (
	roundDelay     = 20 * time.Millisecond
	ownerMoveDelay = 100 * time.Millisecond
)

// choose returns the next owner to try. When all have been tried it begins a
// new round after a pause. While there is none it waits for a change of the
// directory, at most NoExecutorWait in all.
func (c *call) chooseOwner(ctx context.Context) (candidate, error) {
	r := c.router
	start := r.opts.Now()
	for {
		v := r.opts.Directory.current.Load()
		if owner, ok := v.chooseOwner(c.req.Service, r.opts.Region, c.tried); ok {
			return owner, nil
		}
		left := r.opts.NoExecutorWait - r.opts.Now().Sub(start) - c.waited
		if left <= 0 {
			return candidate{}, c.noOwnerError()
		}
		delay := min(left, c.retryDelay())
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

// pause returns how long to wait for a change before a new round.
func (c *call) retryDelay() time.Duration {
	switch {
	case len(c.tried) == 0:
		return c.router.opts.NoExecutorWait
	case chargesBudget(c.lastErr):
		return roundDelay + rand.N(roundDelay)
	}
	return ownerMoveDelay
}

// noOwnerError returns why no owner is left to try.
func (c *call) noOwnerError() error {
	if c.lastErr != nil {
		return c.lastErr
	}
	return errkind.New(errkind.NoExecutor, "no executor of %s serves", c.req.Service)
}

// send forwards the request to one owner.
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

// classifyError gives an error without a kind, such as that of a broken stream, the
// kind that claims least.
func classifyError(ctx context.Context, err error) error {
	if errkind.Of(err) != errkind.Internal {
		return err
	}
	if ctx.Err() != nil {
		return abandonedError(ctx)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the owner did not answer")
}
