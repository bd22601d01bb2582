package session

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Deliver accepts commands from the leader. It drops those for a session that
// is not held here and those superseded by an equal or newer command: the
// leader sends outstanding commands again.
func (m *Manager) Deliver(worker model.WorkerID, session uint64, commands []api.Command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[worker]
	if s == nil {
		m.countDropped(reasonUnknownSession, len(commands))
		return
	}
	m.applyDelivery(s, delivery{session: session, commands: commands})
}

func (m *Manager) countDropped(reason string, n int) {
	m.metrics.commands.WithLabelValues(reason).Add(float64(n))
}

func (m *Manager) applyDelivery(s *session, d delivery) {
	switch {
	case d.session < s.number:
		m.countDropped(reasonStaleSession, len(d.commands))
	case d.session > s.number && s.announcesInFlight > 0 && len(s.early) < maxEarlyDeliveries:
		s.early = append(s.early, d)
	case d.session > s.number:
		m.countDropped(reasonUnknownSession, len(d.commands))
	default:
		m.addCommands(s, d.commands)
	}
}

func (m *Manager) addCommands(s *session, commands []api.Command) {
	accepted := 0
	for _, c := range commands {
		if c.Op == api.CommandStart && s.committed.hasEnded(c.Task, c.Fence) {
			m.countDropped(reasonRepeated, 1)
			continue
		}
		if reason := s.pending.add(c, m.opts.Now()); reason != "" {
			m.countDropped(reason, 1)
			continue
		}
		if s.leaving && c.Op == api.CommandStart {
			m.countDropped(reasonWorkerLeaves, 1)
		}
		accepted++
	}
	m.metrics.commands.WithLabelValues("taken").Add(float64(accepted))
	if accepted > 0 {
		s.wakePolls()
	}
}

// Commands returns the commands for the worker. It returns at once if there is
// a new command, or one sent at least resendAfter ago that no report has
// acknowledged. Otherwise it waits, and returns no commands after wait, or
// after maxPollWait if that is shorter. It fails with UnknownWorker if the
// session is not held here, in which case the worker's next heartbeat attaches
// it, with StaleLease if a later session has replaced it, and with Draining
// while this entry shuts down.
func (m *Manager) Commands(ctx context.Context, worker model.WorkerID, number uint64, wait time.Duration) (api.Commands, error) {
	timeout := time.NewTimer(min(wait, maxPollWait))
	defer timeout.Stop()
	resend := time.NewTicker(resendAfter)
	defer resend.Stop()
	for {
		commands, changed, err := m.due(worker, number)
		if err != nil || len(commands) > 0 {
			return api.Commands{Commands: commands}, err
		}
		select {
		case <-changed:
		case <-resend.C:
		case <-m.drainStarted:
			return api.Commands{}, errkind.New(errkind.Draining, "this entry is shutting down")
		case <-timeout.C:
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
		return nil, nil, m.refuse(reasonUnknownSession, errkind.UnknownWorker, "session %d of worker %s is not attached to this entry; send a heartbeat to attach it", number, worker)
	case s.number > number:
		return nil, nil, m.refuse(reasonStaleSession, errkind.StaleLease, "session %d of worker %s has been replaced by a later one", number, worker)
	case !s.attached:
		return nil, s.changed, nil
	}
	return s.pending.due(m.opts.Now(), s.leaving), s.changed, nil
}

// Report forwards reports on tasks and returns nil once they are committed.
// Reports that are already committed are acknowledged without a second commit.
func (m *Manager) Report(ctx context.Context, worker model.WorkerID, r *api.Reports) error {
	newReports, err := m.newReports(worker, r)
	if err != nil || len(newReports) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamTimeout)
	defer cancel()
	if err := m.opts.Upstream.Report(ctx, worker, r.Session, newReports); err != nil {
		m.metrics.reports.WithLabelValues(string(errkind.Of(err))).Add(float64(len(newReports)))
		return err
	}
	m.metrics.reports.WithLabelValues("committed").Add(float64(len(newReports)))
	m.recordCommitted(worker, r.Session, newReports)
	return nil
}

// newReports returns the reports that are not yet committed. One that is
// committed still acknowledges a command that was sent again.
func (m *Manager) newReports(worker model.WorkerID, r *api.Reports) ([]api.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[worker]
	if s != nil && s.number > r.Session {
		return nil, m.refuse(reasonStaleSession, errkind.StaleLease, "session %d of worker %s has been replaced by a later one", r.Session, worker)
	}
	if s == nil || s.number < r.Session {
		return r.Reports, nil // held by another entry; the leader decides
	}
	var out []api.Report
	for _, report := range r.Reports {
		if s.committed.covers(report) {
			m.metrics.reports.WithLabelValues(reasonRepeated).Inc()
			s.pending.acknowledge(report)
			continue
		}
		out = append(out, report)
	}
	return out, nil
}

func (m *Manager) recordCommitted(worker model.WorkerID, number uint64, reports []api.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[worker]
	if s == nil || s.number != number {
		return
	}
	for _, r := range reports {
		s.committed.add(r)
		s.pending.acknowledge(r)
	}
}
