// Package entry implements the entry process. It serves callers, operators and
// targets over HTTP, keeps a copy of the configuration, holds worker sessions,
// owns executors and routes requests. Every entry process can serve every client.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/owner"
	"github.com/filbertmast/filbertmast/internal/route"
	"github.com/filbertmast/filbertmast/internal/session"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Options configures a Server.
type Options struct {
	Settings     *settings.Settings
	Endpoint     *wire.Endpoint
	Logger       *log.Logger
	Registerer   prometheus.Registerer
	Gatherer     prometheus.Gatherer
	PolicyClient workerclient.PolicyClient // nil if no policy service is configured
}

// Server is an entry process.
type Server struct {
	opts        Options
	set         *settings.Settings
	log         *log.Logger
	metrics     *metrics
	self        state.Member
	leader      *leaderClient
	heartbeats  *heartbeats
	config      *configCopy
	sessions    *session.Manager
	permits     *limit.Pool
	leases      *owner.Leases
	owner       *route.Owner
	router      *route.Router
	dir         *directory
	renewNow    chan struct{} // requests an early renewal of ownership
	configStale bool          // whether staleness was logged; used only by the goroutine of keepRegistered
	bodies      *bodylimit.Limiter
	documents   documents
	echo        *echo.Echo
	ready       atomic.Bool
	draining    atomic.Bool
}

// NewServer returns a Server and registers its handlers at the inner endpoint.
// It becomes ready only after Run has been called.
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
	budgets := set.BodyBudgets()
	s.bodies = bodylimit.New(bodylimit.Options{
		Budgets: map[bodylimit.Class]int64{
			bodylimit.Callers: budgets.Callers, bodylimit.Workers: budgets.Workers, bodylimit.Operators: budgets.Operators,
		},
		MinRate:    set.Outer.MinBodyRate,
		Grace:      set.Outer.BodyGrace.Std(),
		Registerer: o.Registerer,
		Logger:     o.Logger,
	})
	s.documents.fetching = make(chan struct{}, 1)
	s.leader = newLeaderClient(o.Endpoint, set.Control.Founders, s.metrics)
	s.heartbeats = newHeartbeats(s.leader)
	s.buildSessions()
	s.buildRequests()
	s.buildHTTP()
	wire.Handle(o.Endpoint, wire.KindPolicyQuery, s.advise)
	return s
}

// Handler returns the handler of the HTTP API.
func (s *Server) Handler() http.Handler { return s.echo }

// Run renews leases and refreshes the copies of the configuration and the
// directory until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.permits.Run(ctx)
	go s.sessions.Run(ctx)
	go s.renewOwnership(ctx)
	s.keepRegistered(ctx)
}

// Drain takes this entry process out of service. It reports not ready to the
// load balancer, hands its executors over to other entry processes, refuses new
// requests and then waits for requests in flight. It returns the IDs of the
// requests that were still running when ctx ended.
func (s *Server) Drain(ctx context.Context) []string {
	s.ready.Store(false)
	s.draining.Store(true)
	s.log.Info("Draining.")
	s.leases.Leave()
	s.renewSoon()
	sleep(ctx, s.set.Limits.ShutdownDelay.Std())
	unfinished := s.router.Drain(ctx)
	s.awaitHandover(ctx)
	unfinished = append(unfinished, s.owner.Drain(ctx)...)
	s.sessions.Drain(ctx)
	return unfinished
}

// handoverPollInterval is the interval between checks for owned executors.
const handoverPollInterval = 20 * time.Millisecond

// awaitHandover waits until this entry process owns no executor, because a drain
// before that refuses requests from entry processes that still route to it as
// the owner. If no process can take over, it waits for one lease only.
func (s *Server) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.set.Limits.RequestLease.Std())
	defer cancel()
	for len(s.leases.Owned()) > 0 {
		if !sleep(ctx, handoverPollInterval) {
			return
		}
	}
}
