package control

import (
	"errors"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// The reasons for which tasks are given up, as metrics name them.
const (
	givenUpCrashes     = "crashes"      // as many workers crashed as under no innocent task
	givenUpLosses      = "losses"       // workers were lost in its starts and not heard of since
	givenUpDoubtful    = "doubtful"     // workers crashed that may not have got its starts
	givenUpSoleSuspect = "sole_suspect" // no other job can have caused the last crash
)

// heardWithin is the time since the last response of a worker for which it is taken to be
// in touch. It is more than a poll may wait.
const heardWithin = 1250 * time.Millisecond

// recordBroken records that the connection of a start ended before the response, and that
// the worker has got the start if it also stopped answering. If nothing was heard of the
// worker for some time, the start may have been lost on its way, and the connection ended
// by the next incarnation.
func (p *polledWorkers) recordBroken(pw *polledWorker, id model.TaskID, cmd *workerCommand, resp workerclient.Response) {
	now := p.l.c.s.now()
	if !resp.Broken || !p.isCurrent(pw, id, cmd) || now.Sub(pw.heardAt) > heardWithin {
		return
	}
	cmd.brokenAt = now
	p.recordReceived(pw, id, cmd)
}

// recordReceived records that a worker has got a start, if the connection of the start and
// that of a poll ended and the worker has answered nothing since. It was in touch when it
// crashed, then. A connection alone may also be reset while the worker goes on.
func (p *polledWorkers) recordReceived(pw *polledWorker, id model.TaskID, cmd *workerCommand) {
	if !pw.connectionEnded || cmd.brokenAt == 0 || cmd.brokenAt < pw.answeredAt {
		return
	}
	if _, t := p.l.task(id); t != nil && t.Attempt == cmd.attempt && t.Phase.HoldsResources() && !t.Received {
		p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: api.ReportReceived})
	}
}

// recordReceivedStarts records which starts a worker has got that stopped answering with
// an error of its last poll.
func (p *polledWorkers) recordReceivedStarts(pw *polledWorker, err error) {
	pw.connectionEnded = errors.Is(err, workerclient.ErrConnectionEnded)
	for id, cmd := range pw.commands {
		p.recordReceived(pw, id, cmd)
	}
	p.commitReports()
}

// reportSettled reports that a suspected task has run past its start, so that it did
// not crash its worker. SentAt is when the poll was sent that lists it.
func (p *polledWorkers) reportSettled(pw *polledWorker, sentAt model.Time, id model.TaskID, t *state.Task) {
	if t.Phase != model.TaskRunning || sentAt.Sub(t.Since) < state.SettledAfter {
		return
	}
	if j := p.l.c.machine.Job(id.Job); j.Suspected(id.Index) {
		p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: api.ReportStarted})
	}
}

// suspicionOf returns how a task is kept apart from others. After a crash, its next start
// is to be the only one on its worker, so that another crash has no other cause.
func suspicionOf(e *state.TaskSuspected) schedule.Suspicion {
	switch {
	case e.Crashes+e.Doubtful > 0 || e.Unexplained > 1:
		return schedule.KeepAlone
	case e.Near:
		return schedule.KeepIsolated
	case e.Unexplained > 0:
		return schedule.KeepApart
	}
	return schedule.NotSuspected
}

// recordCrashes logs and counts the crashes of workers and what follows from them for
// tasks.
func (l *leader) recordCrashes(ev state.Event) {
	switch e := ev.(type) {
	case state.WorkerCrashed:
		l.c.s.metrics.workerCrashes.Inc()
		l.c.log.Warn("Worker crashed under tasks.", "worker", e.Worker, "suspects", e.Suspects)
	case state.TaskSuspected:
		l.recordSuspicion(&e)
	case state.TaskGivenUp:
		reason := givenUpCrashes
		switch {
		case e.Sole:
			reason = givenUpSoleSuspect
		case e.Silent > 0:
			reason = givenUpLosses
		case e.Doubtful > 0:
			reason = givenUpDoubtful
		}
		l.c.s.metrics.tasksGivenUp.WithLabelValues(reason).Inc()
		l.c.log.Warn("Task is given up: workers crash under it.", "task", e.Task, "worker", e.Worker, "crashes", e.Crashes, "doubtful", e.Doubtful, "silent", e.Silent, "reason", reason)
	}
}

func (l *leader) recordSuspicion(e *state.TaskSuspected) {
	fields := []any{"task", e.Task, "worker", e.Worker, "crashes", e.Crashes, "doubtful", e.Doubtful, "unexplained", e.Unexplained, "held", max(e.HeldUntil.Sub(e.At), 0)}
	if e.HeldUntil > e.At {
		l.c.s.metrics.tasksHeld.Inc()
	}
	if e.Crashes+e.Doubtful == 0 && e.HeldUntil <= e.At {
		l.c.log.Debug("Task may run anywhere.", fields...)
		return
	}
	l.c.log.Info("Task is suspected of crashing its workers.", fields...)
}
