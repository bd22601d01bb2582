// Package control is the control process: it drives the replicated state from
// the log and, while it leads, schedules, grants leases and answers entries.
//
// One goroutine owns the state, the scheduler and every lease table. Handlers
// of the inner protocol run elsewhere and pass closures to it.
package control

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// Log is the replicated log as the control goroutine uses it.
type Log interface {
	// ProposeInTerm proposes an entry for the given term only, so that nothing that
	// was decided in one term is committed in another.
	ProposeInTerm(term uint64, data []byte) error
	Updates() <-chan replica.Update
	SaveSnapshot(index uint64, write func(io.Writer) error) error
	LeaseValid() bool
	Status() replica.Status
	Replace(ctx context.Context, dead, id replica.ID, address string) error
	AddLearner(ctx context.Context, id replica.ID, address string) error
	Promote(ctx context.Context, id replica.ID) error
	Remove(ctx context.Context, id replica.ID) error
	TransferLeadership(ctx context.Context) error
}

// Options configures a Server.
type Options struct {
	Log        Log
	Endpoint   *wire.Endpoint
	State      state.Options
	Logger     *log.Logger
	Registerer prometheus.Registerer
	// Bootstrap is the digest of an operator key that works until the first
	// configuration with keys is in force. Empty: none.
	Bootstrap model.KeyDigest
	// SnapshotEntries is how many entries are applied between snapshots.
	SnapshotEntries uint64
	Times           Times
	Scheduling      schedule.Options
	// Tolerate is how many voters may be lost at once. Beyond the voters that
	// this takes, those that stay silent are removed. Zero: none are.
	Tolerate int
	// Caller reaches workers that take orders by call. Nil: there are none.
	Caller courier.Caller
}

// Times are the durations that the leader works with.
type Times struct {
	WorkerLease  time.Duration // of a worker, counted by it from when it sent the renewal
	RequestLease time.Duration // of permits and of executors
	LongestHold  time.Duration // the longest deadline that a request may have
	Drift        time.Duration // added to every lease for the drift between two clocks
	Tick         time.Duration // between looks at the lease tables
}

// DefaultTimes are the times for regions some 20 ms apart.
func DefaultTimes() Times {
	return Times{
		WorkerLease:  15 * time.Second,
		RequestLease: 3 * time.Second,
		LongestHold:  60 * time.Second,
		Drift:        500 * time.Millisecond,
		Tick:         50 * time.Millisecond,
	}
}

const (
	defaultSnapshotEntries = 50_000
	callQueue              = 4096 // closures waiting for the control goroutine
	maxCallsPerTurn        = 512  // closures run between two looks at the log
)

// Server is one control process.
type Server struct {
	opts    Options
	log     *log.Logger
	metrics *metrics
	calls   chan func(*core)
	stopped chan struct{}
	start   time.Time
	booted  time.Duration // of the machine, at start
}

// NewServer returns a Server whose handlers are registered on the endpoint.
// Run must be called for it to answer.
func NewServer(o Options) *Server {
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	s := &Server{
		opts:    o,
		log:     o.Logger.WithPrefix("control"),
		metrics: newMetrics(o.Registerer),
		calls:   make(chan func(*core), callQueue),
		stopped: make(chan struct{}),
		start:   time.Now(),
		booted:  replica.BootTime(),
	}
	s.register()
	return s
}

// now returns the wall time at start plus the time since, so that a step of the
// wall clock moves no lease and time that the machine was suspended counts.
func (s *Server) now() model.Time {
	return model.TimeOf(s.start.Add(replica.BootTime() - s.booted))
}

// Run is the control goroutine. It returns when ctx ends or the log closes.
func (s *Server) Run(ctx context.Context) {
	defer close(s.stopped)
	c := newCore(s)
	tick := time.NewTicker(s.opts.Times.Tick)
	defer tick.Stop()
	go s.repair(ctx)
	for {
		select {
		case <-ctx.Done():
			c.stepDown("the process stops")
			return
		case u, ok := <-s.opts.Log.Updates():
			if !ok {
				c.stepDown("the log has closed")
				return
			}
			c.update(&u)
		case fn := <-s.calls:
			fn(c)
			c.drainCalls(s.calls)
		case <-tick.C:
			c.tick()
		}
		c.schedule()
	}
}

// drainCalls runs closures that already wait, so that their proposals share a commit.
func (c *core) drainCalls(calls <-chan func(*core)) {
	for range maxCallsPerTurn {
		select {
		case fn := <-calls:
			fn(c)
		default:
			return
		}
	}
}

// run hands fn to the control goroutine, unless the process stops.
func (s *Server) run(fn func(*core)) {
	select {
	case s.calls <- fn:
	case <-s.stopped:
	}
}

// reply takes the answer of one call, once.
type reply[T any] func(*T, error)

// ask runs fn in the control goroutine and waits for its reply. An error of
// kind NoLeader or Overloaded means that fn has not run; once it has, a lost
// answer is OutcomeUnknown.
func ask[T any](ctx context.Context, s *Server, fn func(c *core, done reply[T])) (*T, error) {
	type outcome struct {
		value *T
		err   error
	}
	answer := make(chan outcome, 1)
	done := func(v *T, err error) { answer <- outcome{v, err} }
	select {
	case s.calls <- func(c *core) { fn(c, done) }:
	case <-s.stopped:
		return nil, errkind.New(errkind.NoLeader, "the control process stops")
	case <-ctx.Done():
		return nil, errkind.New(errkind.Overloaded, "the control process is busy")
	}
	select {
	case o := <-answer:
		return o.value, o.err
	case <-s.stopped:
		return nil, errkind.New(errkind.OutcomeUnknown, "the control process stopped before it answered")
	case <-ctx.Done():
		return nil, errkind.New(errkind.OutcomeUnknown, "no answer within the deadline")
	}
}
