package server

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/obs"
)

// leadershipTransferTimeout bounds the leadership transfer at shutdown.
const leadershipTransferTimeout = 3 * time.Second

// Wait serves until ctx ends or a part of the process fails. When ctx ends it
// shuts down gracefully and returns nil; on a failure it closes everything at
// once and returns the error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case err := <-p.failed:
		p.log.WithPrefix(obs.PrefixServer).Error("Process stops after a fatal error.", "err", err)
		p.Close()
		return err
	case <-ctx.Done():
		p.Shutdown()
		return nil
	}
}

// Shutdown stops the process gracefully: it transfers leadership, drains the
// entry so that callers use other entries and requests in flight can finish
// within the grace period, shuts down the HTTP servers and closes the rest.
func (p *Process) Shutdown() {
	logger := p.log.WithPrefix(obs.PrefixServer)
	logger.Info("Process shuts down.", "name", p.settings.Name)
	grace := p.settings.Limits.ShutdownGrace.Std() + p.settings.Limits.ShutdownDelay.Std()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if p.node != nil {
		p.transferLeadership(ctx)
	}
	if p.entry != nil {
		for _, id := range p.entry.Drain(ctx) {
			logger.Warn("Request aborted at the end of the grace period.", "request", id)
		}
	}
	if p.http != nil {
		if err := p.http.Shutdown(ctx); err != nil {
			logger.Warn("HTTP connections were still open at the end of the grace period.", "err", err)
		}
	}
	for _, srv := range p.adapterServers {
		if err := srv.Shutdown(ctx); err != nil {
			logger.Warn("HTTP connections of the adapter were still open at the end of the grace period.", "err", err)
		}
	}
	p.Close()
	logger.Info("Process ended.", "name", p.settings.Name)
}

func (p *Process) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := p.node.TransferLeadership(ctx); err != nil {
		p.log.WithPrefix(obs.PrefixServer).Debug("Leadership was not transferred.", "err", err)
	}
}

// Close stops all parts at once, without a grace period, and waits for their
// goroutines.
func (p *Process) Close() {
	p.stop()
	if p.http != nil {
		p.http.Close()
	}
	for _, srv := range p.adapterServers {
		srv.Close()
	}
	if p.node != nil {
		p.node.Close()
	}
	if p.endpoint != nil {
		p.endpoint.Close()
	}
	p.running.Wait()
}
