package route

import (
	"context"
	"slices"
	"sync"
)

// tracker knows the requests that are under way. It is safe for concurrent use.
type tracker struct{ s *trackerState }

type trackerState struct {
	mu       sync.Mutex
	running  map[*string]string // request IDs by a token of each
	draining bool
	empty    chan struct{} // closed when draining and nothing runs
}

func newTracker() tracker {
	return tracker{&trackerState{running: make(map[*string]string), empty: make(chan struct{})}}
}

// begin notes a request and returns the function that ends it, or false when
// nothing new is taken.
func (t tracker) begin(id string) (func(), bool) {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, false
	}
	token := &id
	s.running[token] = id
	return sync.OnceFunc(func() { s.end(token) }), true
}

func (s *trackerState) end(token *string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, token)
	s.checkEmpty()
}

func (s *trackerState) checkEmpty() {
	if s.draining && len(s.running) == 0 {
		close(s.empty)
		s.empty = make(chan struct{})
	}
}

// drain takes nothing new and waits until nothing runs. When ctx ends first it
// returns the IDs of what still runs, sorted.
func (t tracker) drain(ctx context.Context) []string {
	s := t.s
	s.mu.Lock()
	s.draining = true
	empty := s.empty
	s.checkEmpty()
	s.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var cut []string
	for _, id := range s.running {
		cut = append(cut, id)
	}
	slices.Sort(cut)
	return cut
}

// Drain takes no new requests and waits until those under way have ended. When
// ctx ends first it returns the IDs of the requests that still run, sorted.
// Waiting requests are served; the leases should be left at the same time.
func (o *Owner) Drain(ctx context.Context) []string { return o.running.drain(ctx) }

// Drain takes no new requests and waits until those under way, and their
// journal records, have ended. When ctx ends first it returns the IDs of the
// requests that still run, sorted.
func (r *Router) Drain(ctx context.Context) []string { return r.running.drain(ctx) }
