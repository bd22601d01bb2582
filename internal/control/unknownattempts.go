package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// What is known of an attempt that runs on a worker on which the state does not place it.
const (
	knownNoTask      = "no_task"      // the state knows no such task; its job may have been removed
	knownJobFinished = "job_finished" // its job has finished
	knownNotPlaced   = "not_placed"   // the state has placed fewer attempts of the task
	knownLater       = "later"        // a later attempt was placed
	knownElsewhere   = "elsewhere"    // the state places it on another worker
	knownEnded       = "ended"        // it has ended in the state
	knownBehind      = "behind"       // this process cannot prove that it leads, so that its state may lack the placement
)

// knownOf tells what the state knows of an attempt that it does not place on the worker that
// runs it, and returns fields about the task's last attempt.
func (p *polledWorkers) knownOf(worker model.WorkerID, attempt *workerclient.Attempt) (string, []any) {
	m := p.l.c.machine
	w := m.WorkflowRun(attempt.Task.Workflow, attempt.Task.Run)
	if w == nil || attempt.Task.Step < 0 || int(attempt.Task.Step) >= len(w.Jobs) {
		return knownNoTask, nil
	}
	id := model.TaskID{Job: w.Jobs[attempt.Task.Step], Index: attempt.Task.Index}
	j, t := p.l.task(id)
	switch {
	case j != nil && j.Finished != 0:
		return knownJobFinished, nil
	case t == nil:
		return knownNoTask, nil
	}
	fields := []any{"phase", t.Phase, "last_attempt", t.Attempt, "last_worker", m.TaskWorker(t), "last_placed", position(t.Fence)}
	fields = append(fields, p.earlierAttempt(id, t)...)
	switch {
	case attempt.Number > t.Attempt:
		return knownNotPlaced, fields
	case attempt.Number < t.Attempt:
		return knownLater, fields
	case m.TaskWorker(t) != worker:
		return knownElsewhere, fields
	}
	return knownEnded, fields
}

// logUnknown logs and counts an attempt that is stopped since the state does not place it on
// its worker. Where the state has never placed it there, a committed start is missing.
func (p *polledWorkers) logUnknown(pw *polledWorker, attempt *workerclient.Attempt) {
	known, fields := p.knownOf(pw.target.Worker, attempt)
	if _, err := p.l.c.leading(); err != nil {
		known = knownBehind
	}
	p.l.c.s.metrics.unknownAttempts.WithLabelValues(known).Inc()
	if !p.l.c.budgets.unknown.Take(time.Now()) {
		return
	}
	logAs := p.l.c.log.Info
	if known == knownNotPlaced || known == knownElsewhere {
		logAs = p.l.c.log.Warn
	}
	logAs("Leader stops an attempt that the state does not place on this worker.",
		pw.fields(attempt, append([]any{"known", known, "fence", pw.fence, "term", p.l.term}, fields...)...)...)
}

// logLateResponse logs and counts the response to a command of a process that has stopped
// leading since it sent it, or has lost contact with its quorum, as after a suspension. The
// worker may have carried it out at any time until now.
func (p *polledWorkers) logLateResponse(pw *polledWorker, call *commandCall, sentAt model.Time, resp *workerclient.Response) {
	stopped := p.l.c.leader != p.l
	if _, err := p.l.c.leading(); err == nil && !stopped {
		return
	}
	p.l.c.s.metrics.lateResponses.WithLabelValues(call.name, resp.Verdict.String()).Inc()
	if p.l.c.budgets.lateResponses.Take(time.Now()) {
		p.l.c.log.Warn("The response to a command came while this process could not prove that it leads.", pw.fields(&call.attempt, "order", call.name,
			"verdict", resp.Verdict, "term", p.l.term, "fence", pw.fence, "stopped_leading", stopped, "sent", age(sentAt, p.l.c.s.now()))...)
	}
}
