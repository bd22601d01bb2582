package relay

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/batch"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const (
	// resultLinger is how long a result waits for others.
	resultLinger = 10 * time.Millisecond
	// maxCalls bounds the calls that a relay makes at the same time.
	maxCalls = 4096
	// maxLeaders bounds the processes whose messages are remembered.
	maxLeaders = 16
)

// Server is a relay: it makes calls to workers for leaders.
type Server struct {
	endpoint *wire.Endpoint
	workers  workerclient.Client
	clock    func() time.Duration

	mu      sync.Mutex
	running int
	ages    map[leaderKey]*ages
	outputs map[string]*batch.Batch[result] // by the leader's address
}

// leaderKey identifies one run of a process that may lead.
type leaderKey struct {
	address string
	started int64
}

// Serve makes this process a relay, which calls workers through the given client. The clock
// must count time for which the machine is suspended.
func Serve(e *wire.Endpoint, workers workerclient.Client, clock func() time.Duration) {
	s := &Server{endpoint: e, workers: workers, clock: clock, ages: map[leaderKey]*ages{}, outputs: map[string]*batch.Batch[result]{}}
	wire.HandlePost(e, wire.KindRelayCalls, s.receive)
}

func (s *Server) receive(from wire.Peer, m *calls) {
	accepted := s.accept(from, m)
	for i := range m.Calls {
		c := &m.Calls[i]
		if i >= accepted {
			s.output(from.Address).Add(result{ID: c.ID, Refused: true})
			continue
		}
		go func() {
			s.output(from.Address).Add(s.run(c))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running--
		}()
	}
}

// accept returns how many of the calls are made, and counts them as running.
func (s *Server) accept(from wire.Peer, m *calls) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := leaderKey{from.Address, from.Started}
	if s.ages[key] == nil {
		if len(s.ages) >= maxLeaders {
			clear(s.ages)
		}
		s.ages[key] = &ages{}
	}
	if s.ages[key].tooOld(m.SentAt, s.clock()) {
		return 0
	}
	n := min(len(m.Calls), maxCalls-s.running)
	s.running += n
	return n
}

// run makes a call.
func (s *Server) run(c *call) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout.Std())
	defer cancel()
	out := result{ID: c.ID}
	switch {
	case c.Poll != nil:
		out.Poll = newPollResult(s.workers.Poll(ctx, c.Target, c.Poll))
	case c.Start != nil:
		r := s.workers.Start(ctx, c.Target, c.Start)
		out.Command = &r
	case c.Stop != nil:
		r := s.workers.Stop(ctx, c.Target, c.Stop)
		out.Command = &r
	}
	return out
}

// output returns the results for a leader that wait to be sent.
func (s *Server) output(leader string) *batch.Batch[result] {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.outputs[leader]
	if b == nil {
		b = &batch.Batch[result]{Linger: resultLinger, Send: func(r []result) {
			// A result that is not sent counts as lost.
			_ = wire.Post(s.endpoint, leader, wire.KindRelayResults, &results{Results: r})
		}}
		if len(s.outputs) >= maxLeaders {
			clear(s.outputs)
		}
		s.outputs[leader] = b
	}
	return b
}
