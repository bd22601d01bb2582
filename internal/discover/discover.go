// Package discover finds the leading control process by asking all control
// processes that are known.
package discover

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// Timeout bounds one round of questions. A dead process answers none.
const Timeout = 300 * time.Millisecond

// Result is what a round of questions gave.
type Result struct {
	Leader string   // inner address
	Peers  []string // inner addresses of all replicas, as far as they were told
}

// Leader asks the control processes at the inner addresses, all at once, and
// returns as soon as one of them leads, else the leader that the answer of the
// highest term names. The error is of kind NoLeader.
func Leader(ctx context.Context, e *wire.Endpoint, addresses []string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
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
			break
		}
	}
	if found.Leader == "" {
		return found, errkind.New(errkind.NoLeader, "no control process names a leader")
	}
	return found, nil
}
