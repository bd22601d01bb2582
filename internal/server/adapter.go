package server

import (
	"context"
	"net"
	"net/http"

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
	Handler http.Handler
}

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
		p.adapterServers = append(p.adapterServers, srv)
		p.serveHTTP(func() error { return srv.Serve(listener) })
	}
	return nil
}
