// Package server assembles one process: it opens the inner endpoint, starts the
// roles that the settings name, serves HTTP and shuts down in order.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertmast/filbertmast/internal/certs"
	"github.com/filbertmast/filbertmast/internal/connlimit"
	"github.com/filbertmast/filbertmast/internal/control"
	"github.com/filbertmast/filbertmast/internal/entry"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/link"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/relay"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/storage"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Options are the options of Run and Start that do not come from the settings.
type Options struct {
	TLS *tls.Config // of the inner endpoint; nil: from the settings
	Log io.Writer   // nil: standard error
	// Faults injects network partitions at the inner endpoint in tests.
	Faults *wire.Faults
	// Adapter connects the process to an external platform; nil for none.
	Adapter Adapter
}

// Process is one running process of a deployment.
type Process struct {
	settings       *settings.Settings
	log            *log.Logger
	registry       *prometheus.Registry
	endpoint       *wire.Endpoint
	node           *replica.Node
	control        *control.Server
	entry          *entry.Server
	http           *http.Server
	outer          net.Listener
	adapterServers []*http.Server
	connections    *connlimit.Metrics
	pool           *connlimit.Pool
	openFiles      int // limit of the process
	failed         chan error
	running        sync.WaitGroup
	stop           context.CancelFunc
}

// Run starts a process with the given settings and serves until ctx ends; then
// it shuts down gracefully. It returns an error when the start or a part of the
// running process fails.
func Run(ctx context.Context, set *settings.Settings, o Options) error {
	p, err := Start(set, o)
	if err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Start opens the endpoint and the data folder and begins to serve. On an error
// it closes what it has opened.
func Start(set *settings.Settings, o Options) (*Process, error) {
	if o.Log == nil {
		o.Log = os.Stderr
	}
	p := &Process{
		settings: set,
		log:      obs.NewLogger(o.Log, set.Log.Level, set.Log.Format),
		registry: obs.NewRegistry(),
		failed:   make(chan error, 4),
	}
	var err error
	if p.openFiles, err = connlimit.OpenFiles(); err != nil {
		return nil, err
	}
	p.connections = connlimit.NewMetrics(p.registry)
	memory := set.Memory.LimitMB << 20
	p.pool = connlimit.NewPool(connlimit.Share(connlimit.InAll, p.openFiles, memory), connlimit.HeadLimit(memory, set.Outer.MaxHeaderBytes), p.registry)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	steps := []func(context.Context, Options) error{p.openEndpoint, p.startControl, p.startEntry, p.startHTTP, p.startAdapter}
	for _, step := range steps {
		if err := step(ctx, o); err != nil {
			p.Close()
			return nil, err
		}
	}
	p.log.WithPrefix(obs.PrefixServer).Info("Process started.", "name", set.Name, "inner", set.Inner.Address, "outer", set.Outer.Address)
	return p, nil
}

func (p *Process) openEndpoint(_ context.Context, o Options) error {
	conf := o.TLS
	if conf == nil && !p.settings.Inner.Open {
		var err error
		conf, err = certs.LoadTLS(p.settings.Inner.Certificate, p.settings.Inner.Key, p.settings.Inner.CA)
		if err != nil {
			return err
		}
	}
	e, err := wire.Listen(wire.Options{
		Address:              p.settings.Inner.Address,
		Name:                 p.settings.Name,
		Region:               p.settings.Region,
		FailureDomain:        p.settings.FailureDomain,
		TLS:                  conf,
		AcceptAnyCertificate: p.settings.Inner.Open,
		Logger:               p.log,
		Registerer:           p.registry,
		Budget:               p.linkBudget(),
		Faults:               o.Faults,
	})
	p.endpoint = e
	return err
}

// linkBudget returns the shaper of this process's traffic to other regions.
// Traffic to a region without a configured rate is counted but not limited.
func (p *Process) linkBudget() wire.Shaper {
	rates := make(map[string]int64)
	for _, l := range p.settings.Limits.Links {
		if l.From == p.settings.Region {
			rates[l.To] = l.BytesPerSecond
		}
	}
	return link.New(link.Options{Rates: rates, Rate: link.Unlimited, Registerer: p.registry})
}

// maxTrailingEntries is the largest number of log entries that stay behind a snapshot, for
// replicas that were away for a short time.
const maxTrailingEntries = 10_000

// trailingEntries returns how many log entries stay behind a snapshot. They are at most
// half of those between two snapshots, since a replica with an empty disk needs them too.
func trailingEntries(s *settings.Settings) uint64 {
	return uint64(min(s.Data.SnapshotEntries/2, maxTrailingEntries))
}

func (p *Process) startControl(ctx context.Context, o Options) error {
	if !p.settings.Has(settings.RoleControl) {
		return nil
	}
	founders := make([]replica.Founder, len(p.settings.Control.Founders))
	for i, a := range p.settings.Control.Founders {
		founders[i] = replica.Founder{Address: a}
	}
	node, err := replica.Start(replica.Options{
		Dir:                 p.settings.Data.Dir,
		StateLimit:          p.settings.AcceptedLimit(diskBytes(p.settings.Data.Dir)),
		MinFreeBytes:        uint64(p.settings.Data.MinFreeBytes),
		TrailingEntries:     trailingEntries(p.settings),
		Address:             p.settings.Inner.Address,
		Founders:            founders,
		Join:                p.settings.Control.Join,
		Tick:                p.settings.Control.Tick.Std(),
		LowElectionPriority: inMinorityRegion(p.settings),
		Transport:           replicaTransport{p.endpoint},
		Logger:              p.log,
		Registerer:          p.registry,
		Seed:                uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	p.node = node
	handleReplicaMessages(p.endpoint, node)
	workers, relays := p.relayedClient(workerClientOf(o.Adapter))
	p.control = control.NewServer(control.Options{
		Log:             node,
		Endpoint:        p.endpoint,
		State:           stateOptions(p.settings),
		Logger:          p.log,
		Registerer:      p.registry,
		Bootstrap:       model.KeyDigest(p.settings.Bootstrap.OperatorKeyDigest),
		SnapshotEntries: uint64(p.settings.Data.SnapshotEntries),
		Times:           controlTimes(p.settings),
		Tolerate:        p.settings.Control.Tolerate,
		WorkerClient:    workers,
		Relays:          relays,
		Scheduling:      schedulingOptions(p.settings),
		WorkerSpeed:     p.settings.Scheduling.WorkerSpeed,
		PastUseHalfLife: p.settings.Scheduling.PastUseHalfLife,
	})
	p.spawn(func() { p.control.Run(ctx) })
	if p.settings.Control.Join {
		p.spawn(func() { p.join(ctx) })
	}
	p.spawn(func() {
		select {
		case err := <-node.Fatal():
			p.failed <- p.wipeIfRemoved(err)
		case <-ctx.Done():
		}
	})
	return nil
}

// diskBytes returns the bytes that a data folder takes or may take on its disk; zero if that
// cannot be determined.
func diskBytes(dir string) int64 {
	if err := (storage.OS{}).MkdirAll(dir); err != nil {
		return 0
	}
	free, err := storage.OS{}.FreeBytes(dir)
	if err != nil {
		return 0
	}
	total := int64(free)
	names, err := storage.OS{}.List(dir)
	if err != nil {
		return total
	}
	for _, name := range names {
		if info, err := os.Stat(filepath.Join(dir, name)); err == nil && info.Mode().IsRegular() {
			total += info.Size()
		}
	}
	return total
}

// relayedClient makes this process a relay and returns a client that may call workers through
// others. Both results are nil if the process has no client of workers.
func (p *Process) relayedClient(direct workerclient.Client) (workerclient.Client, control.Relays) {
	c := relay.NewClient(p.endpoint, direct, replica.BootTime, p.registry)
	if direct == nil {
		return nil, nil
	}
	relay.Serve(p.endpoint, direct, replica.BootTime)
	return c, c
}

// wipeIfRemoved empties the data folder when err is replica.ErrRemoved and the
// settings name seeds, so that the process joins as a new replica after a
// restart. It returns err, joined with the error of the wipe if that fails.
func (p *Process) wipeIfRemoved(err error) error {
	if !errors.Is(err, replica.ErrRemoved) || len(p.settings.Control.Seeds) == 0 {
		return err
	}
	if wipeErr := replica.Wipe(storage.OS{}, p.settings.Data.Dir); wipeErr != nil {
		return errors.Join(err, wipeErr)
	}
	return err
}

// schedulingOptions returns the options of the scheduler. All control processes
// use the same seed, so that successive leaders break ties in the same way.
func schedulingOptions(set *settings.Settings) schedule.Options {
	s := set.Scheduling
	return schedule.Options{
		Seed:          1,
		BackoffBase:   set.Limits.RestartBackoff.Std(),
		PressingSlack: s.PressingSlack.Std(),
		AgeingSpan:    s.AgeingSpan.Std(),
		Lateness: lateness.Options{
			Margin:       s.LateMargin.Std(),
			Grace:        s.LateGrace.Std(),
			UsefulFactor: s.UsefulFactor,
			Shift:        s.LateShift.Std(),
		},
		KeepRunning:     s.KeepRunning,
		MaxReservations: s.MaxReservations,
	}
}

// inMinorityRegion reports whether another region has more failure domains than
// the region of this process. A leader in the smaller region would need the
// link between regions for every commit.
func inMinorityRegion(set *settings.Settings) bool {
	domains := map[string]int{}
	for _, region := range set.Platform.Regions {
		domains[region]++
	}
	for _, n := range domains {
		if n > domains[set.Region] {
			return true
		}
	}
	return false
}

func stateOptions(set *settings.Settings) state.Options {
	return state.Options{KeepFinished: set.Limits.KeepFinished, Journal: journal.Options{
		Retention:           set.Limits.JournalKeep.Std(),
		MaxAnswerBytes:      int(set.Limits.AnswerBytes),
		MaxTotalAnswerBytes: int(set.Limits.JournalBytes),
		MaxRecords:          maxJournalRecords,
	}}
}

// maxJournalRecords is the maximum number of requests in a cell's journal.
const maxJournalRecords = 1_000_000

func controlTimes(set *settings.Settings) control.Times {
	t := control.DefaultTimes()
	t.WorkerLease = set.Limits.WorkerLease.Std()
	t.MaxWorkerLease = max(set.Limits.MaxWorkerLease.Std(), t.WorkerLease)
	t.RequestLease = set.Limits.RequestLease.Std()
	t.MaxRequestDeadline = set.Limits.MaxDeadline.Std()
	return t
}

func (p *Process) startEntry(ctx context.Context, o Options) error {
	if !p.settings.Has(settings.RoleEntry) {
		return nil
	}
	p.entry = entry.NewServer(entry.Options{
		Settings:     p.settings,
		Endpoint:     p.endpoint,
		Logger:       p.log,
		Registerer:   p.registry,
		Gatherer:     p.registry,
		PolicyClient: policyClientOf(o.Adapter),
	})
	p.spawn(func() { p.entry.Run(ctx) })
	return nil
}

func (p *Process) startHTTP(context.Context, Options) error {
	o := &p.settings.Outer
	if o.Address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "listen on the outer address")
	}
	p.outer = listener
	p.http = p.newHTTPServer(p.handler())
	limited := p.limitConnections(listener, p.http, servesAll)
	serve := func() error { return p.http.Serve(limited) }
	if o.TLS() {
		conf, err := certs.LoadServerTLS(o.Certificate, o.Key)
		if err != nil {
			return err
		}
		p.http.TLSConfig = conf
		serve = func() error { return p.http.ServeTLS(limited, "", "") }
	}
	p.serveHTTP(serve)
	return nil
}

// The limits of HTTP/2, which is used with TLS. A connection holds what its clients have sent and
// no handler has read, before the budgets of package bodylimit count it: with the defaults of
// net/http this is 1 MiB for each connection and stream, which the connections of one crowd
// multiply beyond the memory of a small process.
const (
	http2Streams          = 64
	http2ConnectionBuffer = 128 << 10
	http2StreamBuffer     = 64 << 10
	http2FrameSize        = 16 << 10
)

// newHTTPServer returns a server for handler with the timeouts and the header
// limit of the settings.
func (p *Process) newHTTPServer(handler http.Handler) *http.Server {
	o := &p.settings.Outer
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: o.ReadHeaderTimeout.Std(),
		ReadTimeout:       o.ReadTimeout.Std(),
		WriteTimeout:      o.WriteTimeout.Std(),
		IdleTimeout:       o.IdleTimeout.Std(),
		MaxHeaderBytes:    o.MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          http2Streams,
			MaxReceiveBufferPerConnection: http2ConnectionBuffer,
			MaxReceiveBufferPerStream:     http2StreamBuffer,
			MaxReadFrameSize:              http2FrameSize,
		},
		ErrorLog: p.log.WithPrefix(obs.PrefixServer).StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// serveHTTP runs serve in the background. If it returns for another reason than
// a closed server, the process fails with its error.
func (p *Process) serveHTTP(serve func() error) {
	p.spawn(func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- err
		}
	})
}

func (p *Process) spawn(fn func()) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		fn()
	}()
}

// OuterAddress returns the IP:port of the outer HTTP listener.
func (p *Process) OuterAddress() string { return p.outer.Addr().String() }
