package server

import (
	"context"
	"net"
	"net/http"

	"github.com/filbertmast/filbertmast/internal/connlimit"
	"github.com/filbertmast/filbertmast/internal/entry"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Adapter connects a process to an external platform's interfaces. It
// translates between them and makes no decisions of its own.
type Adapter interface {
	WorkerClient() workerclient.Client
	PolicyClient() workerclient.PolicyClient
	// Listeners returns the additional HTTP listeners of an entry.
	Listeners(*entry.Server) []Listener
}

// Listener is one address on which an adapter serves HTTP.
type Listener struct {
	Address string // IP:port
	Serves  Clients
	Handler http.Handler
}

// Clients says whose calls a listener serves. Its value is the listener's label in metrics.
type Clients string

// The clients of a listener.
const (
	ServesCallers   Clients = "callers"
	ServesWorkers   Clients = "control" // workers and operators
	ServesReadiness Clients = "readiness"
	servesAll       Clients = "outer"
)

const (
	// callerReadBuffer is the receive buffer of a caller's connection in bytes, where bodies
	// have at most smallBody bytes and the memory is limited. What a client sends beside a
	// request that is being served stays there unread. Larger bodies would need more round
	// trips.
	callerReadBuffer = 64 << 10
	smallBody        = 256 << 10
)

// readinessConnections is the limit of connections of the load balancer's checks.
const readinessConnections = 64

func workerClientOf(a Adapter) workerclient.Client {
	if a == nil {
		return nil
	}
	return a.WorkerClient()
}

func policyClientOf(a Adapter) workerclient.PolicyClient {
	if a == nil {
		return nil
	}
	return a.PolicyClient()
}

// startAdapter listens on the adapter's addresses and serves its handlers. It
// returns an internal error when an address cannot be opened.
func (p *Process) startAdapter(_ context.Context, o Options) error {
	if o.Adapter == nil {
		return nil
	}
	for _, l := range o.Adapter.Listeners(p.entry) {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			return errkind.Wrap(errkind.Internal, err, "listen on an address of the adapter")
		}
		srv := p.newHTTPServer(l.Handler)
		limited := p.limitConnections(listener, srv, l.Serves)
		p.adapterServers = append(p.adapterServers, srv)
		p.serveHTTP(func() error { return srv.Serve(limited) })
	}
	return nil
}

// limitConnections bounds the connections of listener, which srv will serve.
func (p *Process) limitConnections(listener net.Listener, srv *http.Server, serves Clients) net.Listener {
	o := connlimit.Options{
		Max:     p.maxConnections(serves),
		Name:    string(serves),
		Metrics: p.connections,
		Pool:    p.pool,
		Logger:  p.log,
	}
	if serves == ServesCallers && p.settings.Outer.MaxBodyBytes <= smallBody && p.settings.Memory.LimitMB > 0 {
		o.ReadBuffer = callerReadBuffer
	}
	l := connlimit.New(listener, o)
	l.Bind(srv)
	return l
}

// maxConnections returns how many connections a listener may have open.
func (p *Process) maxConnections(serves Clients) int {
	o := &p.settings.Outer
	share := func(part connlimit.Eighths) int {
		return connlimit.Share(part, p.openFiles, p.settings.Memory.LimitMB<<20)
	}
	switch {
	case serves == ServesReadiness:
		return readinessConnections
	case serves == ServesCallers && o.MaxCallerConnections > 0:
		return o.MaxCallerConnections
	case serves == ServesCallers:
		return share(connlimit.ForCallers)
	case serves == ServesWorkers && o.MaxWorkerConnections > 0:
		return o.MaxWorkerConnections
	case serves == ServesWorkers:
		return share(connlimit.ForWorkers)
	}
	return min(o.MaxConnections, share(connlimit.ForAll))
}
