package session

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Defaults of Options.
const (
	DefaultMaxBatchDelay        = 500 * time.Millisecond
	DefaultMaxBatchSize         = 500 // heartbeats in one call to the leader
	DefaultMaxConcurrentBatches = 4   // calls to the leader at once
	DefaultAnnounceRate         = 200 // announcements a second at one entry
	DefaultLease                = 15 * time.Second
	DefaultMaxSessions          = 8192

	resendAfter        = 2 * time.Second // between repeats of a command that no report has confirmed
	maxPollWait        = 30 * time.Second
	upstreamTimeout    = 5 * time.Second
	sweepPeriod        = time.Second
	maxCommandsPerPoll = 256 // in one answer to a worker
	maxPendingCommands = 4096
	maxCommittedTasks  = 1024 // attempts whose last report is remembered, a session
	maxEarlyDeliveries = 64   // deliveries that overtake the answer to an announcement
)

// Upstream is the leader, as the entry reaches it.
type Upstream interface {
	// Announce commits an announcement and returns the new session.
	Announce(ctx context.Context, spec *model.WorkerSpec) (api.AnnounceAnswer, error)
	// Renew asks for new leases. It returns one result for each renewal, in order.
	Renew(ctx context.Context, batch []Renewal) ([]RenewalResult, error)
	// Report returns nil once the reports are committed.
	Report(ctx context.Context, worker model.WorkerID, session uint64, reports []api.Report) error
}

// Renewal asks for a new lease of one worker.
type Renewal struct {
	Worker  model.WorkerID
	Session uint64
	// Attach says that the worker has come here from another entry: from now on
	// its commands are to be delivered here, and the outstanding ones again.
	Attach  bool
	Leaving bool
	Usage   []api.TaskUsage
}

// RenewalResult is the leader's answer to one Renewal.
type RenewalResult struct {
	Lease time.Duration // as the worker counts it, from when it sent the heartbeat
	Err   error         // nil when granted
}

// Options configures a Manager. Zero fields take the defaults.
type Options struct {
	Upstream             Upstream
	Lease                time.Duration // after which a session without a heartbeat is forgotten here
	Now                  func() time.Time
	Logger               *log.Logger
	Registerer           prometheus.Registerer
	MaxBatchDelay        time.Duration // longest time that a heartbeat waits for its batch
	MaxBatchSize         int
	MaxConcurrentBatches int
	AnnounceRate         int
	MaxSessions          int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Lease, DefaultLease)
	setDefault(&o.MaxBatchDelay, DefaultMaxBatchDelay)
	setDefault(&o.MaxBatchSize, DefaultMaxBatchSize)
	setDefault(&o.MaxConcurrentBatches, DefaultMaxConcurrentBatches)
	setDefault(&o.AnnounceRate, DefaultAnnounceRate)
	setDefault(&o.MaxSessions, DefaultMaxSessions)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = log.Default()
	}
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
