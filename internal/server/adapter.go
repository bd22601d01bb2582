package server

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/entry"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/obs"
)

// Adapter joins a process to an interface that is not the product's own. It
// translates, and decides nothing.
type Adapter interface {
	Caller() courier.Caller
	Advisor() courier.Advisor
	// Listeners returns what is to be served on behalf of an entry.
	Listeners(*entry.Server) []Listener
}

// Listener is one address on which an adapter serves HTTP.
type Listener struct {
	Address string // IP:port
	Handler http.Handler
}

func callerOf(a Adapter) courier.Caller {
	if a == nil {
		return nil
	}
	return a.Caller()
}

func advisorOf(a Adapter) courier.Advisor {
	if a == nil {
		return nil
	}
	return a.Advisor()
}

// startAdapter serves the addresses of the adapter.
func (p *Process) startAdapter(_ context.Context, o Options) error {
	if o.Adapter == nil {
		return nil
	}
	for _, l := range o.Adapter.Listeners(p.entry) {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			return errkind.Wrap(errkind.Internal, err, "adapter address")
		}
		srv := &http.Server{
			Handler:           l.Handler,
			ReadHeaderTimeout: p.set.Outer.ReadHeaderTimeout.Std(),
			ReadTimeout:       p.set.Outer.ReadTimeout.Std(),
			IdleTimeout:       p.set.Outer.IdleTimeout.Std(),
			MaxHeaderBytes:    p.set.Outer.MaxHeaderBytes,
			ErrorLog:          p.log.WithPrefix(obs.PrefixServer).StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		p.adapted = append(p.adapted, srv)
		p.spawn(func() {
			if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				p.failed <- err
			}
		})
	}
	return nil
}
