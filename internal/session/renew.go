package session

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// batch collects heartbeats for one call to the leader.
type batch struct {
	renewals []Renewal
	index    map[model.WorkerID]int
	timer    *time.Timer
	done     chan struct{} // closed once results are set
	results  []RenewalResult
	err      error
}

// Heartbeat renews the lease of a worker. The leader makes the grant after the
// call has arrived here. Heartbeat fails with StaleLease or UnknownWorker when
// the session has ended. If the leader cannot be reached, the kind of the error
// allows a retry, at this or another entry.
func (m *Manager) Heartbeat(ctx context.Context, worker model.WorkerID, h *api.Heartbeat) (api.HeartbeatAnswer, error) {
	b, i, err := m.addToBatch(worker, h)
	if err != nil {
		m.metrics.heartbeats.WithLabelValues(string(errkind.Of(err))).Inc()
		return api.HeartbeatAnswer{}, err
	}
	select {
	case <-b.done:
	case <-ctx.Done():
		m.metrics.heartbeats.WithLabelValues("caller_gone").Inc()
		return api.HeartbeatAnswer{}, errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "heartbeat")
	}
	r := b.result(i)
	if r.Err != nil {
		m.metrics.heartbeats.WithLabelValues(string(errkind.Of(r.Err))).Inc()
		return api.HeartbeatAnswer{}, r.Err
	}
	m.metrics.heartbeats.WithLabelValues("granted").Inc()
	return api.HeartbeatAnswer{LeaseMS: r.Lease.Milliseconds()}, nil
}

func (b *batch) result(i int) RenewalResult {
	if b.err != nil {
		return RenewalResult{Err: b.err}
	}
	return b.results[i]
}

// addToBatch adds a heartbeat to the current batch and returns its index there.
// Nothing is added to a batch once it is sent, so that no grant is older than
// the heartbeat.
func (m *Manager) addToBatch(worker model.WorkerID, h *api.Heartbeat) (*batch, int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return nil, 0, m.refuseDraining()
	}
	s, err := m.getOrCreate(worker, h.Session)
	if err != nil {
		return nil, 0, err
	}
	if h.Session < s.number {
		return nil, 0, m.refuse(reasonStaleSession, errkind.StaleLease, "session %d of worker %s has been replaced by a later one", h.Session, worker)
	}
	if h.Session > s.number {
		s.restart(h.Session)
	}
	startsLeaving := h.Leaving && !s.leaving
	s.leaving = s.leaving || h.Leaving
	b := m.currentBatch()
	s.usage.prune(h.Usage)
	changed := s.usage.changed(h.Usage)
	i := b.add(Renewal{Worker: worker, Session: h.Session, Attach: !s.attached, Leaving: s.leaving, Usage: changed})
	if startsLeaving || len(b.renewals) >= m.opts.MaxBatchSize {
		m.flush()
	}
	return b, i, nil
}

func (m *Manager) currentBatch() *batch {
	if m.batch != nil {
		return m.batch
	}
	b := &batch{index: make(map[model.WorkerID]int), done: make(chan struct{})}
	b.timer = time.AfterFunc(m.opts.MaxBatchDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.batch == b {
			m.flush()
		}
	})
	m.batch = b
	return b
}

// add returns the index of the renewal. It merges repeated heartbeats of one
// session into one renewal.
func (b *batch) add(r Renewal) int {
	if i, ok := b.index[r.Worker]; ok && b.renewals[i].Session == r.Session {
		r.Attach = r.Attach || b.renewals[i].Attach
		b.renewals[i] = r
		return i
	}
	i := len(b.renewals)
	b.renewals = append(b.renewals, r)
	b.index[r.Worker] = i
	return i
}

// flush sends the current batch. m.mu is held.
func (m *Manager) flush() {
	b := m.batch
	if b == nil {
		return
	}
	m.batch = nil
	b.timer.Stop()
	m.batchesInFlight.Add(1)
	go m.send(b)
}

// send calls the leader. Concurrent calls are bounded; a batch that waits for a
// slot is still sent after its heartbeats arrived.
func (m *Manager) send(b *batch) {
	defer m.batchesInFlight.Done()
	m.slots <- struct{}{}
	defer func() { <-m.slots }()
	ctx, cancel := context.WithTimeout(context.Background(), upstreamTimeout)
	defer cancel()
	m.metrics.batchSize.Observe(float64(len(b.renewals)))
	b.results, b.err = m.opts.Upstream.Renew(ctx, b.renewals)
	if b.err == nil && len(b.results) != len(b.renewals) {
		b.err = errkind.New(errkind.Internal, "the leader returned %d results for %d renewals", len(b.results), len(b.renewals))
	}
	outcome := "ok"
	if b.err != nil {
		outcome = string(errkind.Of(b.err))
		m.log.Warn("The leader did not renew a batch of worker leases; the workers retry.", "renewals", len(b.renewals), "err", b.err)
	}
	m.metrics.batches.WithLabelValues(outcome).Inc()
	m.applyResults(b)
	close(b.done)
}

// applyResults applies the results of a batch to the sessions.
func (m *Manager) applyResults(b *batch) {
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, r := range b.renewals {
		s := m.sessions[r.Worker]
		if s == nil || s.number != r.Session {
			continue
		}
		m.applyResult(s, r, b.result(i), now)
	}
}

func (m *Manager) applyResult(s *session, r Renewal, res RenewalResult, now time.Time) {
	switch {
	case res.Err == nil:
		if r.Attach && !s.attached {
			m.metrics.attached.Inc()
			s.pending.resendAll()
		}
		s.recordGrant(now, res.Lease)
		s.usage.recordReported(r.Usage)
	case errkind.Is(res.Err, errkind.StaleLease), errkind.Is(res.Err, errkind.UnknownWorker):
		if s.announcesInFlight == 0 {
			m.remove(r.Worker)
		}
	}
}
