// Package control implements the control process. It applies the replicated log to the
// state and, while it leads, schedules tasks, grants leases and answers entries.
//
// One goroutine, the control goroutine, owns the state, the scheduler and every lease
// table. Handlers of the inner protocol run in other goroutines and pass closures to
// it.
package control

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/repair"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Log is the replicated log as the control goroutine uses it.
type Log interface {
	// ProposeInTerm proposes an entry for the given term only, so that no decision of one
	// term is committed in another.
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
	SetLowElectionPriority(low bool)
	Resign()
}

// Options configures a Server.
type Options struct {
	Log        Log
	Endpoint   *wire.Endpoint
	State      state.Options
	Logger     *log.Logger
	Registerer prometheus.Registerer
	// Bootstrap is the digest of an operator key that is valid while no operator key is
	// granted. Empty: none.
	Bootstrap model.KeyDigest
	// SnapshotEntries is how many log entries are applied between snapshots. Zero: the
	// default.
	SnapshotEntries uint64
	Times           Times
	Scheduling      schedule.Options
	// WorkerSpeed enables the estimation of the speed of workers, and its use in placements.
	WorkerSpeed bool
	// PastUseHalfLife is the half-life with which the past use of teams counts in their
	// order. Zero: it does not count. Replicas that are restarted one at a time may differ;
	// the value of the leader is in force.
	PastUseHalfLife model.Duration
	// Tolerate is how many voters may be lost at once. Voters beyond the number that
	// this needs are removed if they stay unresponsive. Zero: none are.
	Tolerate int
	// WorkerClient calls the polled workers. Nil: there are none.
	WorkerClient workerclient.Client
	// Relays are the processes through which WorkerClient may call workers. Nil: it calls them
	// itself.
	Relays Relays
}

// Times are the lease lengths and other durations that the leader uses.
type Times struct {
	WorkerLease        time.Duration // of a worker, which runs from when the worker sent the renewal
	MaxWorkerLease     time.Duration // the longest lease that a polled worker accepts; at least WorkerLease
	RequestLease       time.Duration // of request permits, of the ownership of executors and of entries
	MaxRequestDeadline time.Duration // the longest deadline that a request may have
	Drift              time.Duration // added to every lease for the drift between two clocks
	Tick               time.Duration // between checks of the lease tables
}

// DefaultTimes returns the Times for regions about 20 ms apart.
func DefaultTimes() Times {
	return Times{
		WorkerLease:        15 * time.Second,
		MaxWorkerLease:     15 * time.Second,
		RequestLease:       3 * time.Second,
		MaxRequestDeadline: 60 * time.Second,
		Drift:              500 * time.Millisecond,
		Tick:               50 * time.Millisecond,
	}
}

const (
	defaultSnapshotEntries = 50_000
	callQueue              = 4096 // closures that may wait for the control goroutine
	maxCallsPerTurn        = 512  // closures run before the control goroutine checks the log again
)

// Server is one control process.
type Server struct {
	opts      Options
	log       *log.Logger
	metrics   *metrics
	calls     chan call
	stopped   chan struct{}
	startTime time.Time
	bootTime  time.Duration        // time since the machine booted, at startTime
	clock     func() time.Duration // time since the machine booted
}

// NewServer returns a Server and registers its handlers on the endpoint. The handlers
// answer only while Run runs.
func NewServer(o Options) *Server {
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	calls := make(chan call, callQueue)
	s := &Server{
		opts:      o,
		log:       o.Logger.WithPrefix("control"),
		metrics:   newMetrics(o.Registerer, func() float64 { return float64(len(calls)) }),
		calls:     calls,
		stopped:   make(chan struct{}),
		startTime: time.Now(),
		bootTime:  replica.BootTime(),
		clock:     replica.BootTime,
	}
	s.register()
	return s
}

// now returns the wall time at the start of the process plus the boot time that has
// passed since. A step of the wall clock therefore shifts no lease, and time for which
// the machine was suspended counts.
func (s *Server) now() model.Time {
	return model.TimeOf(s.startTime.Add(s.clock() - s.bootTime))
}

// Run runs the control goroutine. It returns when ctx ends or the log closes.
func (s *Server) Run(ctx context.Context) {
	defer close(s.stopped)
	c := newCore(s)
	tick := time.NewTicker(s.opts.Times.Tick)
	defer tick.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	go repair.Run(ctx, s.opts.Log, s.opts.Tolerate, s.log)
	for {
		select {
		case <-ctx.Done():
			c.stepDown("the process is stopping")
			return
		case u, ok := <-s.opts.Log.Updates():
			if !ok {
				c.stepDown("the log has closed")
				return
			}
			c.load.begin(time.Now(), len(s.calls))
			c.update(&u)
			c.load.end(workUpdates, time.Now())
		case next := <-s.calls:
			c.load.begin(time.Now(), len(s.calls)+1)
			c.run(next)
			c.runQueuedCalls(s.calls)
		case <-tick.C:
			c.load.begin(time.Now(), len(s.calls))
			c.tick()
			c.load.end(workTicks, time.Now())
		case <-due.C:
			c.load.begin(time.Now(), len(s.calls))
		}
		c.schedule()
		if wait, any := c.untilRun(); any {
			due.Reset(wait)
		}
	}
}

// call is a closure that runs in the control goroutine.
type call struct {
	kind workKind
	fn   func(*core)
}

func (c *core) run(next call) {
	next.fn(c)
	c.load.end(next.kind, time.Now())
}

// runQueuedCalls runs closures that are already queued, so that their proposals share a commit.
func (c *core) runQueuedCalls(calls <-chan call) {
	for range maxCallsPerTurn {
		select {
		case next := <-calls:
			c.run(next)
		default:
			return
		}
	}
}

// post queues fn for the control goroutine, or drops it if the process is stopping.
func (s *Server) post(kind workKind, fn func(*core)) {
	select {
	case s.calls <- call{kind, fn}:
	case <-s.stopped:
	}
}

// reply receives the response to one call. It is called once.
type reply[T any] func(*T, error)

// callControl runs fn in the control goroutine and waits for its reply. If fn cannot be
// queued, the error is of kind NoLeader or Overloaded and fn does not run. If fn was
// queued and no reply arrives in time, the error is of kind OutcomeUnknown.
func callControl[T any](ctx context.Context, s *Server, fn func(c *core, done reply[T])) (*T, error) {
	type outcome struct {
		value *T
		err   error
	}
	answer := make(chan outcome, 1)
	done := func(v *T, err error) { answer <- outcome{v, err} }
	select {
	case s.calls <- call{workCalls, func(c *core) {
		if ctx.Err() == nil { // else the caller waits no longer, and may have called again
			fn(c, done)
		}
	}}:
	case <-s.stopped:
		return nil, errkind.New(errkind.NoLeader, "the control process is stopping")
	case <-ctx.Done():
		return nil, errkind.New(errkind.Overloaded, "the control process is busy: its call queue stayed full until the deadline")
	}
	select {
	case o := <-answer:
		return o.value, o.err
	case <-s.stopped:
		return nil, errkind.New(errkind.OutcomeUnknown, "the control process stopped before it answered")
	case <-ctx.Done():
		return nil, errkind.New(errkind.OutcomeUnknown, "the control process did not answer within the deadline")
	}
}
