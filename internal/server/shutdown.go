package server

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/obs"
)

// transferTimeout bounds the hand-over of leadership at shutdown.
const transferTimeout = 3 * time.Second

// Wait serves until ctx ends or a part fails, then shuts down. The error is
// that of the part that failed.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case err := <-p.failed:
		p.log.WithPrefix(obs.PrefixServer).Error("Process stops on a fatal error.", "err", err)
		p.close()
		return err
	case <-ctx.Done():
		p.Shutdown()
		return nil
	}
}

// Shutdown ends the process in order: callers are sent elsewhere, leadership is
// handed over, what runs may end within the grace time, then the rest closes.
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
			logger.Warn("Request cut off at the end of the grace time.", "request", id)
		}
	}
	if p.http != nil {
		if err := p.http.Shutdown(ctx); err != nil {
			logger.Warn("Connections still open at the end of the grace time.", "err", err)
		}
	}
	for _, srv := range p.adapterServers {
		if err := srv.Shutdown(ctx); err != nil {
			logger.Warn("Connections of the adapter still open at the end of the grace time.", "err", err)
		}
	}
	p.close()
	logger.Info("Process ended.", "name", p.settings.Name)
}

func (p *Process) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := p.node.TransferLeadership(ctx); err != nil {
		p.log.WithPrefix(obs.PrefixServer).Debug("Leadership not handed over.", "err", err)
	}
}

// close releases everything at once.
func (p *Process) close() {
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
