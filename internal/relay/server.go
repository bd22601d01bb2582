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
	tooOld := s.tooOld(from, m) || !m.unshare()
	for i := range m.Calls {
		c := &m.Calls[i]
		if tooOld && c.Poll == nil || !s.begin() {
			s.output(from.Address).Add(result{ID: c.ID, Refused: true})
			continue
		}
		go func() {
			defer s.end()
			s.output(from.Address).Add(s.run(c))
		}()
	}
}

// tooOld reports whether a message took so long that its commands are not sent any more. A
// poll does no harm at any time.
func (s *Server) tooOld(from wire.Peer, m *calls) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := leaderKey{from.Address, from.Started}
	if s.ages[key] == nil {
		if len(s.ages) >= maxLeaders {
			clear(s.ages)
		}
		s.ages[key] = &ages{}
	}
	return s.ages[key].tooOld(m.SentAt, s.clock())
}

// begin counts a call as running, or returns false if too many are.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= maxCalls {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
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
			_ = wire.PostBulk(s.endpoint, leader, wire.KindRelayResults, &results{Results: r})
		}}
		if len(s.outputs) >= maxLeaders {
			clear(s.outputs)
		}
		s.outputs[leader] = b
	}
	return b
}
