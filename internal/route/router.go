package route

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// RouterOptions configures a Router. Zero values mean the defaults.
type RouterOptions struct {
	Entry     string // name of this entry
	Region    string // of this entry
	Directory *Directory
	Local     *Owner // of this entry
	Peers     Peers
	Permits   Permits
	Journal   JournalClient
	// NoExecutorWait is how long a request waits for an owner while no entry
	// owns an executor of its service.
	NoExecutorWait time.Duration
	// Linger is how long after its deadline an abandoned request counts against
	// its team's limit. It must be at least that of the owners.
	Linger       time.Duration
	ReplayBytes  int64 // largest body that is buffered for retries
	JournalBytes int64 // largest body of a request that is not repeatable
	AnswerBytes  int64 // largest answer that is read completely before it is returned
	KeepBytes    int   // largest answer that the journal stores
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

// Router serves the requests of callers that reach this entry. It is safe for
// concurrent use.
type Router struct {
	opts     RouterOptions
	metrics  *routerMetrics
	budget   *RetryBudget
	inFlight requestTracker
}

// NewRouter returns a Router.
func NewRouter(opts RouterOptions) *Router {
	opts = opts.withDefaults()
	return &Router{
		opts:     opts,
		metrics:  newRouterMetrics(opts.Metrics),
		budget:   NewRetryBudget(DefaultRetryRatio, DefaultMaxRetryTokens),
		inFlight: newRequestTracker(),
	}
}

// Serve runs one request and returns its answer, whose body must be closed.
// Every error has a kind of package errkind. A kind that says "not run" holds
// for this send and, once the journal was called, for every send with the same
// ID.
func (r *Router) Serve(ctx context.Context, req *Request) (*Answer, error) {
	start := r.opts.Now()
	ans, err := r.serve(ctx, req)
	r.metrics.requests.WithLabelValues(resultLabel(err)).Inc()
	r.metrics.seconds.Observe(r.opts.Now().Sub(start).Seconds())
	return ans, err
}

func (r *Router) serve(ctx context.Context, req *Request) (*Answer, error) {
	if !r.opts.Now().Before(req.Deadline) {
		return nil, errkind.New(errkind.DeadlineBeforeStart, "the deadline has passed")
	}
	done, ok := r.inFlight.begin(req.ID)
	if !ok {
		return nil, errkind.New(errkind.Draining, "this entry is shutting down")
	}
	if !req.Repeatable {
		return r.serveAtMostOnce(ctx, req, done)
	}
	body, err := newReplayBody(req.Body, req.Size, r.opts.ReplayBytes)
	if err != nil {
		done()
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	return r.serveWithPermit(ctx, &call{router: r, req: req, body: body}, func() { cancel(); done() })
}

// serveWithPermit runs c with a permit and calls done at its end.
func (r *Router) serveWithPermit(ctx context.Context, c *call, done func()) (*Answer, error) {
	permit, err := r.opts.Permits.Acquire(ctx, c.req.Team, c.req.Deadline)
	if err != nil {
		done()
		return nil, err
	}
	ans, err := c.run(ctx)
	if err != nil {
		r.releaseAfterEnd(c, permit.Release)
		done()
		return nil, err
	}
	return r.bufferAnswer(ans, func(complete bool) {
		if complete {
			permit.Release()
		} else {
			r.releaseAfterEnd(c, permit.Release)
		}
		done()
	})
}

// releaseAfterEnd calls release once the request can no longer be running: at
// once if it was never sent, otherwise Linger after its deadline.
func (r *Router) releaseAfterEnd(c *call, release func()) {
	if !c.mayRun {
		release()
		return
	}
	time.AfterFunc(c.req.Deadline.Add(r.opts.Linger).Sub(r.opts.Now()), release)
}

// bufferAnswer reads a small answer completely, so that a truncated one becomes
// an error instead of a short answer. It calls done once, with whether the
// answer was complete.
func (r *Router) bufferAnswer(ans *Answer, done func(complete bool)) (*Answer, error) {
	body := &completeBody{rc: ans.Body, size: ans.Size, maxSize: noSizeLimit, done: func(complete bool) {
		_ = ans.Body.Close()
		done(complete)
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
	out.Body = prependBody(head, body)
	return out, nil
}

// noSizeLimit is larger than any body.
const noSizeLimit = 1 << 62
