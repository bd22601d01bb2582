// Package discover finds the leader among the control processes by probing all of
// them that are known.
package discover

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// Timeout bounds one round of probes, because a dead process does not respond.
const Timeout = 300 * time.Millisecond

// Result is the result of one round of probes.
type Result struct {
	Leader string   // inner address
	Peers  []string // inner addresses of all replicas that the responses name
	// Ready reports that Leader itself has confirmed that it leads and is in contact with
	// its quorum. Otherwise others name it, which may be dead.
	Ready bool
}

// Leader probes the control processes at the inner addresses in parallel. It
// returns as soon as one of them responds that it leads. Otherwise it returns
// the leader that the response with the highest term names. The error is of kind
// NoLeader.
func Leader(ctx context.Context, e *wire.Endpoint, addresses []string) (Result, error) {
	return LeaderWithin(ctx, Timeout, e, addresses)
}

// LeaderWithin is like Leader with another timeout of the round.
func LeaderWithin(ctx context.Context, timeout time.Duration, e *wire.Endpoint, addresses []string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan *proto.Probe, len(addresses))
	for _, addr := range addresses {
		go func() {
			p, err := wire.Call[proto.Empty, proto.Probe](ctx, e, addr, wire.KindProbe, &proto.Empty{})
			if err != nil {
				p = &proto.Probe{}
			}
			answers <- p
		}()
	}
	var found Result
	var term uint64
	for range addresses {
		p := <-answers
		found.Peers = append(found.Peers, p.Peers...)
		if p.Leader != "" && p.Term >= term {
			term, found.Leader = p.Term, p.Leader
		}
		if p.Ready {
			found.Leader, found.Ready = p.Leader, true
			break
		}
	}
	if found.Leader == "" {
		return found, errkind.New(errkind.NoLeader, "no control process names a leader")
	}
	return found, nil
}
