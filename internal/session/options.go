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
	DefaultMaxConcurrentBatches = 4   // concurrent calls to the leader
	DefaultAnnounceRate         = 200 // announcements per second at one entry
	DefaultLease                = 15 * time.Second
	DefaultMaxSessions          = 8192

	resendAfter = 2 * time.Second // before a command that no report has acknowledged is sent again
	// startValid is how long after its delivery a start may be sent. The leader delivers it
	// again with later renewals; an entry that is cut off would otherwise go on sending
	// starts that the leader has revoked, such as those in an evacuated failure domain.
	startValid         = 4 * time.Second
	maxPollWait        = 30 * time.Second
	upstreamTimeout    = 5 * time.Second
	sweepPeriod        = time.Second
	maxCommandsPerPoll = 256 // in one answer to a worker
	maxPendingCommands = 4096
	maxCommittedTasks  = 1024 // tasks per session whose last committed report is kept
	maxEarlyDeliveries = 64   // deliveries kept until an announcement is answered
)

// Upstream calls the leader.
type Upstream interface {
	// Announce commits an announcement and returns the new session.
	Announce(ctx context.Context, spec *model.WorkerSpec) (api.AnnounceAnswer, error)
	// Renew requests new leases. It returns one result for each renewal, in
	// order.
	Renew(ctx context.Context, batch []Renewal) ([]RenewalResult, error)
	// Report returns nil once the reports are committed.
	Report(ctx context.Context, worker model.WorkerID, session uint64, reports []api.Report) error
}

// Renewal requests a new lease for one worker.
type Renewal struct {
	Worker  model.WorkerID
	Session uint64
	// Attach reports that the worker has moved here from another entry: the
	// leader must deliver its commands here from now on, and send outstanding
	// ones again.
	Attach  bool
	Leaving bool
	Usage   []api.TaskUsage
}

// RenewalResult is the leader's answer to one Renewal.
type RenewalResult struct {
	Lease time.Duration // length, counted by the worker from when it sent the heartbeat
	Err   error         // nil when granted
}

// Options configures a Manager. Zero values mean the defaults.
type Options struct {
	Upstream             Upstream
	Lease                time.Duration // time without a granted heartbeat after which a session is removed here
	Now                  func() time.Time
	Logger               *log.Logger
	Registerer           prometheus.Registerer
	MaxBatchDelay        time.Duration // longest time that a heartbeat waits for its batch to be sent
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
