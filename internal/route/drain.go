package route

import (
	"context"
	"slices"
	"sync"
)

// tracker knows the requests that are under way. It is safe for concurrent use.
type requestTracker struct{ s *trackerState }

type trackerState struct {
	mu       sync.Mutex
	inFlight map[*string]string // request IDs by a token of each
	draining bool
	idle     chan struct{} // closed when draining and nothing runs
}

func newTracker() requestTracker {
	return requestTracker{&trackerState{inFlight: make(map[*string]string), idle: make(chan struct{})}}
}

// begin notes a request and returns the function that ends it, or false when
// nothing new is taken.
func (t requestTracker) begin(id string) (func(), bool) {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, false
	}
	token := &id
	s.inFlight[token] = id
	return sync.OnceFunc(func() { s.end(token) }), true
}

func (s *trackerState) end(token *string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, token)
	s.signalIfIdle()
}

func (s *trackerState) signalIfIdle() {
	if s.draining && len(s.inFlight) == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// drain takes nothing new and waits until nothing runs. When ctx ends first it
// returns the IDs of what still runs, sorted.
func (t requestTracker) drain(ctx context.Context) []string {
	s := t.s
	s.mu.Lock()
	s.draining = true
	idle := s.idle
	s.signalIfIdle()
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var remaining []string
	for _, id := range s.inFlight {
		remaining = append(remaining, id)
	}
	slices.Sort(remaining)
	return remaining
}

// Drain takes no new requests and waits until those under way have ended. When
// ctx ends first it returns the IDs of the requests that still run, sorted.
// Waiting requests are served; the leases should be left at the same time.
func (o *Owner) Drain(ctx context.Context) []string { return o.inFlight.drain(ctx) }

// Drain takes no new requests and waits until those under way, and their
// journal records, have ended. When ctx ends first it returns the IDs of the
// requests that still run, sorted.
func (r *Router) Drain(ctx context.Context) []string { return r.inFlight.drain(ctx) }
