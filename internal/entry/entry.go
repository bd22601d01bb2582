// Package entry is the entry process: it serves callers, operators and targets
// over HTTP, follows the configuration, holds worker sessions, owns executors
// and carries requests. Any entry serves any of them.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/session"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// Options configures a Server.
type Options struct {
	Settings   *settings.Settings
	Endpoint   *wire.Endpoint
	Logger     *log.Logger
	Registerer prometheus.Registerer
	Gatherer   prometheus.Gatherer
	Advisor    courier.PolicyClient // nil: no policy service is known here
}

// Server is one entry process.
type Server struct {
	opts     Options
	set      *settings.Settings
	log      *log.Logger
	metrics  *metrics
	self     state.Member
	leader   *leaderClient
	config   *configCopy
	sessions *session.Manager
	permits  *limit.Pool
	leases   *owner.Leases
	owner    *route.Owner
	router   *route.Router
	dir      *directory
	renewNow chan struct{} // asks for an early renewal of ownership
	stale    bool          // of the configuration; owned by the goroutine that follows
	echo     *echo.Echo
	ready    atomic.Bool
	draining atomic.Bool
}

// NewServer returns a Server whose handlers of the inner protocol are
// registered. Run must be called for it to serve.
func NewServer(o Options) *Server {
	set := o.Settings
	s := &Server{
		opts:    o,
		set:     set,
		log:     o.Logger.WithPrefix(obs.PrefixEntry),
		metrics: newMetrics(o.Registerer),
		self: state.Member{
			Name:          set.Name,
			Inner:         set.Inner.Address,
			Outer:         set.AdvertisedAddress(),
			Region:        set.Region,
			FailureDomain: set.FailureDomain,
			Incarnation:   uint64(time.Now().UnixNano()),
		},
		config:   newConfigCopy(set.Limits.Freshness.Std(), model.KeyDigest(set.Bootstrap.OperatorKeyDigest)),
		dir:      newDirectory(),
		renewNow: make(chan struct{}, 1),
	}
	s.leader = newLeaderClient(o.Endpoint, set.Control.Founders, s.metrics)
	s.buildSessions()
	s.buildRequests()
	s.buildHTTP()
	wire.Handle(o.Endpoint, wire.KindPolicyQuery, s.advise)
	return s
}

// Handler returns the HTTP interface, for serving and for tests.
func (s *Server) Handler() http.Handler { return s.echo }

// Run keeps up leases and copies until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.permits.Run(ctx)
	go s.sessions.Run(ctx)
	go s.renewOwners(ctx)
	s.follow(ctx)
}

// Drain takes this entry out of service in order: not ready to the balancer,
// executors handed over to other entries, nothing new, then the end of what
// runs. It returns the request IDs that were still running when ctx ended.
func (s *Server) Drain(ctx context.Context) []string {
	s.ready.Store(false)
	s.draining.Store(true)
	s.log.Info("Draining.")
	s.leases.Leave()
	s.renewSoon()
	sleep(ctx, s.set.Limits.ShutdownDelay.Std())
	cut := s.router.Drain(ctx)
	s.awaitHandover(ctx)
	cut = append(cut, s.owner.Drain(ctx)...)
	s.sessions.Drain(ctx)
	return cut
}

// handoverPoll is the pause between looks at what is still owned.
const handoverPoll = 20 * time.Millisecond

// awaitHandover waits until this entry owns no executor any more, so that its
// own drain refuses nobody who still takes it for their owner. Where nobody can
// take over, it waits for one lease only.
func (s *Server) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.set.Limits.RequestLease.Std())
	defer cancel()
	for len(s.leases.Owned()) > 0 {
		if !sleep(ctx, handoverPoll) {
			return
		}
	}
}
