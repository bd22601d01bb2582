package route

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// RouterOptions sets up a Router. Zero values take defaults.
type RouterOptions struct {
	Entry     string // this entry
	Region    string // of this entry
	Directory *Directory
	Local     *Owner // of this entry
	Peers     Peers
	Permits   Permits
	Journal   JournalClient
	// NoExecutorWait is how long a request waits for an owner while nobody owns
	// an executor of its service.
	NoExecutorWait time.Duration
	// Linger is how long past its deadline an abandoned request counts against
	// its team's limit; at least that of the owners.
	Linger       time.Duration
	ReplayBytes  int64 // largest body that is kept for a further try
	JournalBytes int64 // largest body of a request that is not repeatable
	AnswerBytes  int64 // largest answer that is read to its end before it is handed on
	KeepBytes    int   // largest answer that the journal keeps
	Now          func() time.Time
	Metrics      prometheus.Registerer
	Log          *log.Logger
}

// Defaults of RouterOptions.
const (
	DefaultNoExecutorWait = 2 * time.Second
	DefaultReplayBytes    = 256 << 10
	DefaultJournalBytes   = 4 << 20
	DefaultAnswerBytes    = 256 << 10
	DefaultKeepBytes      = 16 << 10
)

func (o RouterOptions) withDefaults() RouterOptions {
	o.NoExecutorWait = defaultTo(o.NoExecutorWait, DefaultNoExecutorWait)
	o.Linger = defaultTo(o.Linger, DefaultLinger)
	o.ReplayBytes = defaultTo(o.ReplayBytes, DefaultReplayBytes)
	o.JournalBytes = defaultTo(o.JournalBytes, DefaultJournalBytes)
	o.AnswerBytes = defaultTo(o.AnswerBytes, DefaultAnswerBytes)
	o.KeepBytes = defaultTo(o.KeepBytes, DefaultKeepBytes)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	o.Log = o.Log.WithPrefix("route")
	return o
}

// Router serves the requests of the callers that reach this entry. It is safe
// for concurrent use.
type Router struct {
	opts    RouterOptions
	metrics *routerMetrics
	budget  *Budget
	running tracker
}

// NewRouter returns a Router.
func NewRouter(opts RouterOptions) *Router {
	opts = opts.withDefaults()
	return &Router{
		opts:    opts,
		metrics: newRouterMetrics(opts.Metrics),
		budget:  NewBudget(DefaultRetryShare, DefaultRetrySaved),
		running: newTracker(),
	}
}

// Serve runs one request and returns its answer, whose body must be closed.
// Errors are of the closed list. A kind that says "not run" holds for this send
// and, once the journal was asked, for every send with the same ID.
func (r *Router) Serve(ctx context.Context, req *Request) (*Answer, error) {
	start := r.opts.Now()
	ans, err := r.serve(ctx, req)
	r.metrics.requests.WithLabelValues(resultLabel(err)).Inc()
	r.metrics.seconds.Observe(r.opts.Now().Sub(start).Seconds())
	return ans, err
}

func (r *Router) serve(ctx context.Context, req *Request) (*Answer, error) {
	if !r.opts.Now().Before(req.Deadline) {
		return nil, errkind.New(errkind.DeadlineBeforeStart, "the deadline is past")
	}
	done, ok := r.running.begin(req.ID)
	if !ok {
		return nil, errkind.New(errkind.Draining, "this entry is shutting down")
	}
	if !req.Repeatable {
		return r.once(ctx, req, done)
	}
	body, err := newReplayBody(req.Body, req.Size, r.opts.ReplayBytes)
	if err != nil {
		done()
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	return r.permitted(ctx, &call{router: r, req: req, body: body}, func() { cancel(); done() })
}

// permitted runs c with a permit and calls done at its end.
func (r *Router) permitted(ctx context.Context, c *call, done func()) (*Answer, error) {
	permit, err := r.opts.Permits.Acquire(ctx, c.req.Team, c.req.Deadline)
	if err != nil {
		done()
		return nil, err
	}
	ans, err := c.run(ctx)
	if err != nil {
		r.afterEnd(c, permit.Release)
		done()
		return nil, err
	}
	return r.settle(ans, func(whole bool) {
		if whole {
			permit.Release()
		} else {
			r.afterEnd(c, permit.Release)
		}
		done()
	})
}

// afterEnd calls release once the request surely runs no more: at once when it
// never started, else when it is past its deadline.
func (r *Router) afterEnd(c *call, release func()) {
	if !c.mayRun {
		release()
		return
	}
	time.AfterFunc(c.req.Deadline.Add(r.opts.Linger).Sub(r.opts.Now()), release)
}

// settle reads a small answer to its end, so that a cut-off becomes an error in
// place of a short answer. Done is called once, with whether it was whole.
func (r *Router) settle(ans *Answer, done func(whole bool)) (*Answer, error) {
	body := &wholeBody{rc: ans.Body, size: ans.Size, most: noBound, done: func(whole bool) {
		_ = ans.Body.Close()
		done(whole)
	}}
	if ans.Size > r.opts.AnswerBytes {
		return &Answer{Status: ans.Status, Header: ans.Header, Body: body, Size: ans.Size}, nil
	}
	head, err := io.ReadAll(io.LimitReader(body, r.opts.AnswerBytes+1))
	if err != nil {
		return nil, err
	}
	out := &Answer{Status: ans.Status, Header: ans.Header, Size: ans.Size}
	if body.err != nil {
		out.Size = int64(len(head))
	}
	out.Body = headed(head, body)
	return out, nil
}

// noBound is a size that no body reaches.
const noBound = 1 << 62

// call is one request on its way through the owners.
type call struct {
	router *Router
	req    *Request
	body   *replayBody
	// mayRun is set once a byte may have reached an executor, and stays set.
	mayRun bool

	tried []string // owners of this round
	tries int      // that count: all but those that met a move of ownership
	last  error    // of the last try

	waited time.Duration // for owners, before this round
}

// run tries owners until one answers, as far as reasons, deadline and budget
// allow.
func (c *call) run(ctx context.Context) (*Answer, error) {
	r := c.router
	for {
		owner, err := c.choose(ctx)
		if err != nil {
			return nil, c.truthful(err)
		}
		ans, err := c.send(ctx, owner)
		if err == nil && !c.wantsRetry(ans) {
			r.budget.Success()
			return ans, nil
		}
		reason, stop := c.mayRetry(ctx, err)
		if stop != "" {
			r.metrics.stopped.WithLabelValues(stop).Inc()
			if err == nil {
				return ans, nil
			}
			return nil, c.truthful(err)
		}
		if ans != nil {
			_ = ans.Body.Close()
		}
		r.metrics.retries.WithLabelValues(reason).Inc()
		c.tried = append(c.tried, owner.owner)
		c.last = err
	}
}

// truthful converts err to a kind that may be told after what has been sent.
// A typed refusal speaks only for its own try, not for those before.
func (c *call) truthful(err error) error {
	if c.mayRun && errkind.RowOf(errkind.Of(err)).NotRun {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier try may have run")
	}
	return err
}

// wantsRetry reports whether the answer is one that another executor may better.
func (c *call) wantsRetry(ans *Answer) bool {
	if !c.req.Repeatable {
		return false
	}
	switch ans.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// maxTries bounds the tries of one request.
const maxTries = 4

// reasonStatus is the reason of a retry after an answer with an error status.
const reasonStatus = "error_status"

// mayRetry returns the reason for a further try after err (nil for an answer
// with an error status), or what stops it.
func (c *call) mayRetry(ctx context.Context, err error) (reason, stop string) {
	reason = reasonStatus
	if err != nil {
		reason = string(errkind.Of(err))
	}
	if charged(err) {
		c.tries++
	}
	switch {
	case err != nil && !retryable(err, c.req.Repeatable):
		return reason, "reason"
	case !c.body.replayable():
		return reason, "body"
	case c.tries >= maxTries:
		return reason, "tries"
	case ctx.Err() != nil:
		return reason, "deadline"
	case charged(err) && !c.router.budget.Take():
		return reason, "budget"
	}
	return reason, ""
}

// retryable reports whether a further try can help and does no harm.
func retryable(err error, repeatable bool) bool {
	switch errkind.Of(err) {
	case errkind.Unreachable, errkind.ExecutorRefused, errkind.OwnerMoved,
		errkind.Draining, errkind.Overloaded, errkind.NoExecutor:
		return true
	case errkind.OutcomeUnknown, errkind.AnswerCutOff:
		return repeatable
	}
	return false
}

// charged reports whether a retry after err is paid from the budget. Moves of
// ownership cost the owner nothing and are not failures.
func charged(err error) bool {
	return !errkind.Is(err, errkind.OwnerMoved) && !errkind.Is(err, errkind.Draining)
}

// Pauses before the owners that were tried are tried again.
const (
	roundPause = 20 * time.Millisecond
	movePause  = 100 * time.Millisecond
)

// choose returns the next owner to try. When all have been tried it begins a
// new round after a pause. While there is none it waits for a change of the
// directory, at most NoExecutorWait in all.
func (c *call) choose(ctx context.Context) (candidate, error) {
	r := c.router
	start := r.opts.Now()
	for {
		v := r.opts.Directory.current.Load()
		if owner, ok := v.choose(c.req.Service, r.opts.Region, c.tried); ok {
			return owner, nil
		}
		left := r.opts.NoExecutorWait - r.opts.Now().Sub(start) - c.waited
		if left <= 0 {
			return candidate{}, c.noOwner()
		}
		pause := min(left, c.pause())
		timer := time.NewTimer(pause)
		select {
		case <-v.changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return candidate{}, notStarted(ctx)
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
func (c *call) pause() time.Duration {
	switch {
	case len(c.tried) == 0:
		return c.router.opts.NoExecutorWait
	case charged(c.last):
		return roundPause + rand.N(roundPause)
	}
	return movePause
}

// noOwner returns why no owner is left to try.
func (c *call) noOwner() error {
	if c.last != nil {
		return c.last
	}
	return errkind.New(errkind.NoExecutor, "no executor of %s serves", c.req.Service)
}

// send forwards the request to one owner.
func (c *call) send(ctx context.Context, to candidate) (*Answer, error) {
	r := c.router
	h := c.header(r.opts.Now())
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
		to.load.note(r.opts.Now().Sub(start))
		c.mayRun = true
		return ans, nil
	}
	err = withKind(ctx, err)
	if !errkind.RowOf(errkind.Of(err)).NotRun {
		c.mayRun = true
	}
	return nil, err
}

func (c *call) header(now time.Time) *ForwardHeader {
	return &ForwardHeader{
		RequestID:      c.req.ID,
		Team:           c.req.Team,
		Service:        c.req.Service,
		Path:           c.req.Path,
		Header:         forwarded(c.req.Header),
		Size:           c.body.size,
		DeadlineMS:     c.req.Deadline.Sub(now).Milliseconds(),
		DeadlineUnixMS: c.req.Deadline.UnixMilli(),
		PatienceMS:     c.req.Patience.Milliseconds(),
		Repeatable:     c.req.Repeatable,
		Origin:         c.router.opts.Entry,
	}
}

// withKind gives an error without a kind, such as that of a broken stream, the
// kind that claims least.
func withKind(ctx context.Context, err error) error {
	if errkind.Of(err) != errkind.Internal {
		return err
	}
	if ctx.Err() != nil {
		return abandoned(ctx)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the owner did not answer")
}
