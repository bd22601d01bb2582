package control

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/exchange"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
)

// updatePolled commits what a heartbeat of the known incarnation of a worker reports
// anew: its capacity, and then that it leaves.
func (l *leader) updatePolled(req *proto.Heartbeat, order exchange.HeartbeatOrder, finish func(error)) {
	w := l.c.machine.Worker(req.Spec.ID)
	if w == nil || w.Spec.Incarnation != req.Spec.Incarnation {
		finish(nil)
		return
	}
	leave := func(err error) {
		if err != nil || !req.Leaving || w.Mode == model.WorkerLeaving {
			finish(err)
			return
		}
		l.proposeLeaving(w, finish)
	}
	capacity := exchange.NewCapacity(w.Spec.Capacity, req.Spec.Capacity, order)
	if capacity == w.Spec.Capacity {
		leave(nil)
		return
	}
	l.proposeCapacity(w, capacity, req.Sequence, leave)
}

func (l *leader) proposeCapacity(w *state.Worker, capacity model.Resources, sequence uint64, finish func(error)) {
	id, before := w.Spec.ID, w.Spec.Capacity
	cmd := &state.SetCapacity{Worker: id, Session: w.Session, Capacity: capacity, Sequence: sequence}
	l.c.propose(&state.Command{SetCapacity: cmd}, func(r state.Result, err error) {
		if err == nil && !r.Existing {
			l.c.s.metrics.capacityChanged(before, capacity)
			l.c.log.Info("Capacity of a worker has changed.", "worker", id, "before", before, "capacity", capacity, "sequence", sequence)
		}
		finish(err)
	})
}

// The reasons for which a placed task is not started any more.
const (
	noRoom      = "the capacity of the worker was reduced"
	overLimit   = "the limit of the team was lowered"
	otherWorker = "the queue is served by other workers now"
)

// startBarred returns the reason for which a task that was placed on a worker is not
// started any more, or "": its failure domain is evacuated, what may run on the worker
// exceeds its capacity, what the team may have running exceeds its limit, or the worker does
// not serve the queue. Each has then changed after the placement.
func (p *polledWorkers) startBarred(pw *polledWorker, j *state.Job) string {
	w := p.l.c.machine.Worker(pw.target.Worker)
	switch {
	case p.l.evacuatedWorker(pw.target.Worker):
		return evacuated
	case w != nil && !w.InUse().Fits(w.Spec.Capacity):
		return noRoom
	case !p.l.c.machine.WithinLimit(j.Team):
		return overLimit
	case !p.l.sched.Serves(pw.target.Worker, j.ID):
		return otherWorker
	}
	return ""
}

// dropStart handles a start that is barred. A start that was never sent is reported as
// not executed. For any other, the next poll response shows whether it runs.
func (p *polledWorkers) dropStart(pw *polledWorker, id model.TaskID, cmd *workerCommand, t *state.Task, reason string) {
	p.countWithheld(reason)
	if !cmd.maybeStarted && !p.inherited(t) {
		p.release(pw, id, t, &release{basis: basisNotSent, state: api.ReportStopped, reason: reason})
	}
}

// withdrawStart handles a start that is barred and that its worker has not executed by
// the response to a poll. One that may still be executed is stopped first.
func (p *polledWorkers) withdrawStart(pw *polledWorker, view *polledView, id model.TaskID, cmd *workerCommand, t *state.Task, reason string) {
	p.countWithheld(reason)
	switch {
	case cmd != nil && cmd.maybeStarted:
		if cmd.unansweredAt < view.poll.sentAt {
			p.revokeStart(id, reason)
		}
	case p.inherited(t):
		p.release(pw, id, t, &release{basis: basisNotExecuted, state: api.ReportStopped, reason: reason, view: view})
	default:
		p.release(pw, id, t, &release{basis: basisNotSent, state: api.ReportStopped, reason: reason})
	}
}
