package session

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Deliver takes commands from the leader. Those for a session that is not held
// here, or that an equal or newer one has overtaken, are left out: the leader
// sends outstanding commands again.
func (m *Manager) Deliver(worker model.WorkerID, session uint64, commands []api.Command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[worker]
	if s == nil {
		m.leftOut(reasonUnknownSession, len(commands))
		return
	}
	m.take(s, delivery{session: session, commands: commands})
}

func (m *Manager) leftOut(reason string, n int) {
	m.metrics.commands.WithLabelValues(reason).Add(float64(n))
}

func (m *Manager) take(s *session, d delivery) {
	switch {
	case d.session < s.number:
		m.leftOut(reasonStaleSession, len(d.commands))
	case d.session > s.number && s.announcing > 0 && len(s.early) < maxEarlyMessages:
		s.early = append(s.early, d)
	case d.session > s.number:
		m.leftOut(reasonUnknownSession, len(d.commands))
	default:
		m.takeCommands(s, d.commands)
	}
}

func (m *Manager) takeCommands(s *session, commands []api.Command) {
	taken := 0
	for _, c := range commands {
		if reason := s.orders.add(c); reason != "" {
			m.leftOut(reason, 1)
			continue
		}
		if s.leaving && c.Op == api.CommandStart {
			m.leftOut(reasonWorkerLeaves, 1)
		}
		taken++
	}
	m.metrics.commands.WithLabelValues("taken").Add(float64(taken))
	if taken > 0 {
		s.wake()
	}
}

// Commands returns what the worker is to do: at once where there is something
// new, or something told tellAgainAfter ago that no report has confirmed, and
// otherwise empty after wait. It fails with UnknownWorker when the session is
// not held here; the worker's next heartbeat attaches it.
func (m *Manager) Commands(ctx context.Context, worker model.WorkerID, number uint64, wait time.Duration) (api.Commands, error) {
	limit := time.NewTimer(min(wait, maxWait))
	defer limit.Stop()
	again := time.NewTicker(tellAgainAfter)
	defer again.Stop()
	for {
		commands, changed, err := m.due(worker, number)
		if err != nil || len(commands) > 0 {
			return api.Commands{Commands: commands}, err
		}
		select {
		case <-changed:
		case <-again.C:
		case <-m.drained:
			return api.Commands{}, errkind.New(errkind.Draining, "this entry is shutting down")
		case <-limit.C:
			return api.Commands{Commands: []api.Command{}}, nil
		case <-ctx.Done():
			return api.Commands{}, errkind.Wrap(errkind.CallerGone, ctx.Err(), "poll for commands")
		}
	}
}

func (m *Manager) due(worker model.WorkerID, number uint64) ([]api.Command, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining {
		return nil, nil, m.refuseDraining()
	}
	s := m.sessions[worker]
	switch {
	case s == nil || s.number < number:
		return nil, nil, m.refuse(reasonUnknownSession, errkind.UnknownWorker, "session %d of worker %s is not held here; send a heartbeat", number, worker)
	case s.number > number:
		return nil, nil, m.refuse(reasonStaleSession, errkind.StaleLease, "session %d of worker %s is over", number, worker)
	case !s.attached:
		return nil, s.changed, nil
	}
	return s.orders.due(m.o.Now(), s.leaving), s.changed, nil
}

// Report passes on what became of tasks, and returns nil once it is committed.
// Reports that tell nothing new are acknowledged without a second commit.
func (m *Manager) Report(ctx context.Context, worker model.WorkerID, r *api.Reports) error {
	fresh, err := m.fresh(worker, r)
	if err != nil || len(fresh) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamTimeout)
	defer cancel()
	if err := m.o.Upstream.Report(ctx, worker, r.Session, fresh); err != nil {
		m.metrics.reports.WithLabelValues(string(errkind.Of(err))).Add(float64(len(fresh)))
		return err
	}
	m.metrics.reports.WithLabelValues("committed").Add(float64(len(fresh)))
	m.confirm(worker, r.Session, fresh)
	return nil
}

// fresh leaves out what is committed already. Such a report still settles the
// command that was told again.
func (m *Manager) fresh(worker model.WorkerID, r *api.Reports) ([]api.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[worker]
	if s != nil && s.number > r.Session {
		return nil, m.refuse(reasonStaleSession, errkind.StaleLease, "session %d of worker %s is over", r.Session, worker)
	}
	if s == nil || s.number < r.Session {
		return r.Reports, nil // held elsewhere; the leader knows
	}
	var out []api.Report
	for _, report := range r.Reports {
		if s.confirmed.covers(report) {
			m.metrics.reports.WithLabelValues(reasonRepeated).Inc()
			s.orders.confirm(report)
			continue
		}
		out = append(out, report)
	}
	return out, nil
}

func (m *Manager) confirm(worker model.WorkerID, number uint64, reports []api.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[worker]
	if s == nil || s.number != number {
		return
	}
	for _, r := range reports {
		s.confirmed.add(r)
		s.orders.confirm(r)
	}
}
