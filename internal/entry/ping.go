package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	pingInterval   = 250 * time.Millisecond // also the delay before the first ping of a forwarded request
	pingTimeout    = 250 * time.Millisecond
	maxMissedPings = 2 // in a row, after which a peer is regarded as dead
)

// watchPeer calls onDead once the peer at address no longer responds to pings.
// A repeatable request can then be sent elsewhere before its deadline. A peer that
// is only slow responds to pings and is waited for. Stop ends the watch.
func (s *Server) watchPeer(ctx context.Context, address string, onDead func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(pingInterval, func() {
		for missed := 0; ctx.Err() == nil; {
			if s.ping(ctx, address) {
				missed = 0
				sleep(ctx, pingInterval)
				continue
			}
			missed++
			if missed == maxMissedPings && ctx.Err() == nil {
				s.log.Debug("Peer does not respond to pings, the request to it is cancelled.", "address", address)
				onDead()
				return
			}
		}
	})
	return func() {
		timer.Stop()
		cancel()
	}
}

func (s *Server) ping(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := wire.Call[proto.Empty, proto.Empty](ctx, s.opts.Endpoint, address, wire.KindPing, &proto.Empty{})
	return err == nil
}
