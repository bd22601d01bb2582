package route

import (
	"context"
	"slices"
	"sync"
)

// requestTracker tracks requests in flight. It is safe for concurrent use.
type requestTracker struct{ s *trackerState }

type trackerState struct {
	mu       sync.Mutex
	inFlight map[*string]string // request IDs, by a token unique to each request
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
}

func newRequestTracker() requestTracker {
	return requestTracker{&trackerState{inFlight: make(map[*string]string), idle: make(chan struct{})}}
}

// begin records a request and returns the function that ends it. It returns
// false while draining.
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

// drain rejects new requests and waits until none is in flight. When ctx ends
// first it returns the sorted IDs of those still in flight.
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

// Drain rejects new requests and waits until those in flight have ended. When
// ctx ends first it returns the sorted IDs of the requests still in flight.
// Queued requests are still served. The leases should be given up at the same
// time.
func (o *Owner) Drain(ctx context.Context) []string { return o.inFlight.drain(ctx) }

// Drain rejects new requests and waits until those in flight have ended and
// their ends are journaled. When ctx ends first it returns the sorted IDs of
// the requests still in flight.
func (r *Router) Drain(ctx context.Context) []string { return r.inFlight.drain(ctx) }
