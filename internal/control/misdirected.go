package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// A start may be executed by a later incarnation of its worker than it was meant for. Its
// lease ends by the clock of the earlier one, so that the later one, whose clock has begun
// anew, holds the longest lease that it grants itself. Until such a lease has ended, an
// attempt is not taken for lost whose start may have been misdirected in this way.

// maxCallDelay is how late a worker may execute a call without a response.
const maxCallDelay = 4 * time.Second

// longestLease is the time from a grant after which no lease that rests on it is held,
// whichever incarnation holds it, with 2% for a slow clock.
func (t *Times) longestLease() time.Duration { return maxCallDelay + t.MaxWorkerLease*102/100 }

// mayBeMisdirected reports whether the current attempt of a task may run on a later incarnation
// of its worker. One that an earlier leader has recorded as running does not.
func (p *polledWorkers) mayBeMisdirected(pw *polledWorker, id model.TaskID, t *state.Task) bool {
	if cmd := pw.commands[id]; cmd != nil && cmd.attempt == t.Attempt {
		return cmd.calls.MayBeMisdirected(pw.answeredAt)
	}
	return p.inherited(t) && t.Phase != model.TaskRunning && pw.answeredAt == 0
}

// holdsMisdirected reports whether a worker holds an attempt that may run on a later incarnation.
func (p *polledWorkers) holdsMisdirected(pw *polledWorker, w *state.Worker) bool {
	for _, id := range w.Held {
		if _, t := p.l.task(id); t != nil && p.mayBeMisdirected(pw, id, t) {
			return true
		}
	}
	return false
}

// A call for an earlier incarnation that reaches a later one may lengthen the lease of all that
// the later one runs, up to the longest lease. It can do so until the worker has executed a call
// of its own session, which has a higher fence.

// restartWindow is how long after its announcement a restarted worker is taken to hold such a
// lease when a new leader begins. The clocks of two leaders may differ by many seconds.
const restartWindow = time.Minute

// restartedRecently reports whether the lease of a worker may have been lengthened by calls for
// an earlier incarnation.
func (p *polledWorkers) restartedRecently(id model.WorkerID) bool {
	w := p.l.c.machine.Worker(id)
	now := min(p.l.c.s.now(), p.l.c.machine.Now())
	return w != nil && w.RestartedAt != 0 && now.Sub(w.RestartedAt) < restartWindow
}

// foreignLeaseEnd returns the time until which a worker may hold a lease that a call for an
// earlier incarnation has lengthened; zero: it holds none. What ran when this leader began had
// been started before.
func (p *polledWorkers) foreignLeaseEnd(pw *polledWorker) model.Time {
	if !pw.restarted {
		return 0
	}
	t := &p.l.c.s.opts.Times
	return max(pw.addedAt, pw.firstHeard).Add(t.MaxWorkerLease*102/100 + t.Drift)
}

// deferLoss reports whether a worker whose lease has expired is not declared lost yet, since
// it may hold a longer one, or since some of its attempts may run on a later incarnation. In
// the second case the others are released.
func (p *polledWorkers) deferLoss(h lease.Holder, now model.Time) bool {
	pw, w := p.workers[h.Worker], p.l.c.machine.Worker(h.Worker)
	if pw == nil || w == nil || pw.session != h.Session || w.Session != h.Session {
		return false
	}
	if end := p.foreignLeaseEnd(pw); now < end && len(w.Held) > 0 {
		return p.deferToForeignLease(h, w, end, now)
	}
	if !p.holdsMisdirected(pw, w) {
		return false
	}
	until := pw.grantedAt.Add(p.l.c.s.opts.Times.longestLease())
	if now >= until || p.l.leases.GrantUntil(h, until, now) != nil {
		return false
	}
	p.l.c.log.Warn("Worker lease expired; starts may run on a later incarnation, so that it is not declared lost yet.",
		"worker", h.Worker, "held", len(w.Held), "until", until.Sub(now))
	p.releaseExpired(pw, w)
	return true
}

func (p *polledWorkers) deferToForeignLease(h lease.Holder, w *state.Worker, end, now model.Time) bool {
	if p.l.leases.GrantUntil(h, end, now) != nil {
		return false
	}
	p.l.c.log.Warn("Worker lease expired; a call for its earlier incarnation may have lengthened it, so that it is not declared lost yet.",
		"worker", h.Worker, "held", len(w.Held), "until", end.Sub(now))
	return true
}

// releaseExpired releases the attempts of a worker whose lease has expired, except those that
// may run on a later incarnation. Those that may have crashed the worker are lost, which
// counts as a loss of the worker under them. Without that, they would wait for the longest
// lease because of another task's start.
func (p *polledWorkers) releaseExpired(pw *polledWorker, w *state.Worker) {
	lose := &state.LoseAttempts{Worker: w.Spec.ID, Session: w.Session, CommonCause: p.commonCause(w.Spec.ID)}
	for _, id := range w.Held {
		_, t := p.l.task(id)
		if t == nil || t.Phase != model.TaskRunning || p.isEnding(pw, id) || p.mayBeMisdirected(pw, id, t) {
			continue
		}
		if pw.grantedAt.Sub(t.Since) >= state.SettledAfter {
			p.release(pw, id, t, &release{basis: basisLeaseExpired, state: api.ReportLapsed})
		} else {
			lose.Attempts = append(lose.Attempts, state.HeldAttempt{Task: id, Fence: t.Fence})
		}
	}
	if len(lose.Attempts) > 0 {
		p.l.c.log.Warn("Attempts are lost with the lease of their worker.", "worker", w.Spec.ID, "attempts", len(lose.Attempts))
		pw.attemptsLostAt = p.l.c.s.now()
		p.proposeLoss(pw, lose)
	}
}

// proposeLoss proposes the loss of attempts until it is committed or the worker has another
// incarnation. They do not run, whatever happens meanwhile: their lease has expired.
func (p *polledWorkers) proposeLoss(pw *polledWorker, lose *state.LoseAttempts) {
	p.l.c.propose(&state.Command{LoseAttempts: lose}, func(r state.Result, err error) {
		if err == nil {
			p.l.c.s.metrics.attemptsLost.Add(float64(r.Count))
			return
		}
		p.after(pollRetryAfter, func() {
			if p.current(pw) {
				p.proposeLoss(pw, lose)
			}
		})
	})
}

// explainLostAttempts records that a worker under which attempts were lost has answered a poll
// that was sent since, so that it has not crashed under them.
func (p *polledWorkers) explainLostAttempts(pw *polledWorker, sentAt model.Time) {
	w := p.l.c.machine.Worker(pw.target.Worker)
	if pw.explaining || sentAt <= pw.attemptsLostAt || pw.replaced || w == nil || len(w.Lost) == 0 || w.Mode == model.WorkerLost || w.Session != pw.session {
		return
	}
	pw.explaining = true
	heard := &state.LoseAttempts{Worker: w.Spec.ID, Session: w.Session, Heard: true}
	p.l.c.propose(&state.Command{LoseAttempts: heard}, func(state.Result, error) { pw.explaining = false })
}
