package control

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const (
	// commandTimeout bounds one call of a command. The worker may still execute a
	// command whose call has timed out.
	commandTimeout = time.Second
	// commandRepeatAfter is the time without a response after which a command is sent
	// a second time while the first call continues. Commands are idempotent.
	commandRepeatAfter = 250 * time.Millisecond
	// startRetryAfter is the time before a start without a response is sent again.
	startRetryAfter = 50 * time.Millisecond
	// maxFirstPollGap is the longest time between the first polls of two inherited
	// workers.
	maxFirstPollGap = time.Millisecond
	// maxReportsInFlight bounds the proposed reports that are not committed yet.
	maxReportsInFlight = 2
)

// polledWorkers are the workers that the leader polls, as opposed to those with a
// session at an entry. The commands sent to them follow from the replicated state;
// their responses become reports that are committed to it.
type polledWorkers struct {
	l       *leader
	workers map[model.WorkerID]*polledWorker
	clocks  map[model.WorkerID]workerclient.Clock // from announcements that are not committed yet
	ctx     context.Context
	cancel  context.CancelFunc

	reports         []state.WorkerReport     // to be proposed
	uncommitted     []uncommittedEnd         // ended attempts to acknowledge after the commit of reports
	reportsInFlight int                      // proposals of reports that are not committed yet
	losses          workerclient.LossTracker // of responses to polls
}

// polledWorker is one incarnation of a polled worker.
type polledWorker struct {
	target        workerclient.Target
	session       uint64
	clock         workerclient.Clock
	cursor        uint64 // ended attempts up to this number are committed
	proposed      uint64 // ended attempts up to this number are proposed or about to be
	polls         workerclient.PollSeries
	repeatTimer   *time.Timer // repeats the newest poll
	clockReported bool        // the worker has answered a poll, and so reported its clock
	// unresponsive is set while the last poll has failed. The lease is not renewed
	// meanwhile, since otherwise the lease of a dead worker would never expire.
	unresponsive bool
	// unverified is set from an announcement to the first response. No task is placed
	// on the worker meanwhile, nor while it is unresponsive.
	unverified bool
	commands   map[model.TaskID]*workerCommand
}

// fields returns the log fields that identify an attempt on the worker, followed by
// more.
func (pw *polledWorker) fields(attempt *workerclient.Attempt, more ...any) []any {
	fields := []any{"workflow", attempt.Task.Workflow, "step", attempt.Task.Step, "index", attempt.Task.Index, "attempt", attempt.Number, "worker", pw.target.Worker}
	return append(fields, more...)
}

// workerCommand is the last command for one task that the worker holds.
type workerCommand struct {
	attempt      uint32
	dispatch     workerclient.Dispatch
	repeatTimer  *time.Timer // repeats the last command
	maybeStarted bool        // a start had no response: the worker may have executed it or may still do so
	confirmedAt  model.Time  // when the worker confirmed the last command; zero: it has not
	isStop       bool        // the last command was a stop
}

// uncommittedEnd is an ended attempt that is not acknowledged to its worker yet.
type uncommittedEnd struct {
	worker *polledWorker
	number uint64
}

func newPolledWorkers(l *leader) *polledWorkers {
	ctx, cancel := context.WithCancel(context.Background())
	return &polledWorkers{
		l:       l,
		workers: map[model.WorkerID]*polledWorker{},
		clocks:  map[model.WorkerID]workerclient.Clock{},
		ctx:     ctx,
		cancel:  cancel,
	}
}

func (p *polledWorkers) stop() {
	p.cancel()
	p.l.c.s.metrics.unresponsive.Set(0)
}

// drop removes a worker that is lost or replaced.
func (p *polledWorkers) drop(id model.WorkerID) {
	if pw := p.workers[id]; pw != nil && pw.unresponsive {
		p.l.c.s.metrics.unresponsive.Dec()
	}
	delete(p.workers, id)
}

// addInherited adds the workers that are in the state at the start of a term. Their first
// polls are spread over time: the leader has no connections yet, and its heartbeats must
// not wait behind hundreds of calls.
func (p *polledWorkers) addInherited() {
	workers := p.l.c.machine.Workers()
	gap := firstPollGap(len(workers), p.l.leases.Duration())
	at := time.Duration(0)
	for _, w := range workers {
		if w.Mode == model.WorkerLost {
			continue
		}
		if pw := p.add(&w.Spec, w.Session, false); pw != nil {
			p.after(at, func() { p.poll(pw) })
			at += gap
		}
	}
	p.l.c.log.Info("Leader polls the inherited workers.", "workers", len(p.workers), "term", p.l.term)
}

// recordClock keeps the clock that an announcement reports until the announcement is
// committed.
func (p *polledWorkers) recordClock(hb *proto.Heartbeat) {
	var clock workerclient.Clock
	clock.Observe(hb.Clock, p.l.c.s.now())
	p.clocks[hb.Spec.ID] = clock
}

// workerChanged adds or drops a polled worker when its session has changed.
func (p *polledWorkers) workerChanged(e *state.WorkerChanged) {
	if e.Mode == model.WorkerLost {
		p.drop(e.Spec.ID)
		p.l.policy.forgetWorker(e.Spec.ID)
		return
	}
	if pw := p.workers[e.Spec.ID]; pw != nil && pw.session == e.Session {
		return
	}
	p.l.policy.forgetWorker(e.Spec.ID)
	p.l.c.log.Info("Worker announced itself.", "worker", e.Spec.ID, "address", e.Spec.Address, "incarnation", e.Spec.Incarnation,
		"capacity", e.Spec.Capacity, "mode", e.Mode)
	if pw := p.add(&e.Spec, e.Session, true); pw != nil {
		p.poll(pw)
	}
}

// firstPollGap returns the time between the first polls of inherited workers: all of
// them are sent within an eighth of a lease.
func firstPollGap(workers int, lease time.Duration) time.Duration {
	const leasePart = 8
	return min(maxFirstPollGap, lease/leasePart/time.Duration(max(workers, 1)))
}

// add adds an incarnation of a worker and returns it, or nil if it is not a polled one.
// Unverified means that only its announcement is known: a worker that cannot be called
// may still announce itself.
func (p *polledWorkers) add(spec *model.WorkerSpec, session uint64, unverified bool) *polledWorker {
	if spec.Address == "" || p.l.c.s.opts.WorkerClient == nil {
		return nil
	}
	pw := &polledWorker{
		target:     workerclient.Target{Worker: spec.ID, Address: spec.Address, Incarnation: spec.Incarnation},
		session:    session,
		clock:      p.clocks[spec.ID],
		unverified: unverified,
		commands:   map[model.TaskID]*workerCommand{},
	}
	delete(p.clocks, spec.ID)
	p.drop(spec.ID)
	p.workers[spec.ID] = pw
	p.updateScheduler(pw)
	holder := lease.Holder{Worker: spec.ID, Session: session}
	if !p.l.leases.IsHolder(holder) {
		if err := p.l.leases.Grant(holder, p.l.c.s.now()); err != nil {
			p.l.c.log.Warn("Worker was granted no lease.", "worker", spec.ID, "err", err)
		}
	}
	p.l.c.log.Debug("Leader polls a worker.", "worker", spec.ID, "address", spec.Address, "incarnation", spec.Incarnation, "capacity", spec.Capacity)
	return pw
}

// current reports whether this process still leads and pw is the incarnation of the
// worker that it polls.
func (p *polledWorkers) current(pw *polledWorker) bool {
	return p.l.c.leader == p.l && p.workers[pw.target.Worker] == pw
}

// grant renews the lease of a worker and returns its end in milliseconds on the
// worker's clock, or zero if the lease may not be renewed.
func (p *polledWorkers) grant(pw *polledWorker) int64 {
	now := p.l.c.s.now()
	if _, err := p.l.c.leading(); err != nil || pw.unresponsive || !pw.clock.Known() {
		return 0
	}
	if err := p.l.leases.Renew(lease.Holder{Worker: pw.target.Worker, Session: pw.session}, now); err != nil {
		return 0
	}
	return pw.clock.LeaseUntil(now, p.l.leases.Duration())
}

// loseReplaced proposes the loss of an incarnation of a worker. Another one answers at
// its address, so that no attempt of it runs any more.
func (p *polledWorkers) loseReplaced(pw *polledWorker) {
	p.l.c.log.Warn("Worker incarnation ended: another one answers at its address.", "worker", pw.target.Worker, "address", pw.target.Address)
	lost := []state.LostWorker{{ID: pw.target.Worker, Session: pw.session}}
	p.l.c.propose(&state.Command{MarkWorkersLost: &state.MarkWorkersLost{Workers: lost}}, func(_ state.Result, err error) {
		if err != nil {
			p.after(pollRetryAfter, func() { p.poll(pw) })
		}
	})
}

// after runs fn in the control goroutine after d.
func (p *polledWorkers) after(d time.Duration, fn func()) *time.Timer {
	return time.AfterFunc(d, func() { p.l.c.s.post(workTimers, func(*core) { fn() }) })
}

// recordEnds turns newly ended attempts into reports. The worker forgets them once
// they are committed and acknowledged.
func (p *polledWorkers) recordEnds(pw *polledWorker, ends []workerclient.EndedAttempt) {
	for i := range ends {
		e := &ends[i]
		if e.Number <= pw.proposed {
			continue
		}
		pw.proposed = e.Number
		p.uncommitted = append(p.uncommitted, uncommittedEnd{pw, e.Number})
		id, t := p.currentTask(pw, &e.Attempt)
		if t == nil {
			continue // the task was placed elsewhere since, or has finished
		}
		if p.logsTasks(&e.Attempt) {
			p.l.c.log.Info("Task ended.", pw.fields(&e.Attempt, "how", e.Outcome, "phase", t.Phase)...)
		}
		delete(pw.commands, id)
		p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: reportOf(e.Outcome), Checkpoint: e.Checkpoint})
	}
}

// logsTasks reports whether each start and end of a task is logged for the workflow of
// an attempt.
func (p *polledWorkers) logsTasks(attempt *workerclient.Attempt) bool {
	return p.l.c.taskLines.Keep(string(attempt.Task.Workflow), time.Now())
}

func reportOf(outcome workerclient.Outcome) api.ReportState {
	switch outcome {
	case workerclient.Succeeded:
		return api.ReportSucceeded
	case workerclient.Failed:
		return api.ReportFailed
	case workerclient.Stopped:
		return api.ReportStopped
	case workerclient.Lapsed:
		return api.ReportLapsed
	}
	return api.ReportBroken
}

// currentTask returns the task whose current attempt on this worker is the given
// one. The task is nil if there is none.
func (p *polledWorkers) currentTask(pw *polledWorker, attempt *workerclient.Attempt) (model.TaskID, *state.Task) {
	w := p.l.c.machine.WorkflowRun(attempt.Task.Workflow, attempt.Task.Run)
	if w == nil || attempt.Task.Step < 0 || int(attempt.Task.Step) >= len(w.Jobs) {
		return model.TaskID{}, nil
	}
	id := model.TaskID{Job: w.Jobs[attempt.Task.Step], Index: attempt.Task.Index}
	_, t := p.l.task(id)
	if t == nil || !t.Phase.HoldsResources() || t.Attempt != attempt.Number || p.l.c.machine.TaskWorker(t) != pw.target.Worker {
		return id, nil
	}
	return id, t
}

// addReport keeps a report for the next proposal of reports.
func (p *polledWorkers) addReport(pw *polledWorker, r api.Report) {
	last := len(p.reports) - 1
	if last < 0 || p.reports[last].Worker != pw.target.Worker || p.reports[last].Session != pw.session {
		p.reports = append(p.reports, state.WorkerReport{Worker: pw.target.Worker, Session: pw.session})
		last++
	}
	p.reports[last].Reports = append(p.reports[last].Reports, r)
}

// commitReports proposes the reports that have accumulated. Ended attempts are
// acknowledged to the workers after the commit.
func (p *polledWorkers) commitReports() {
	if p.reportsInFlight >= maxReportsInFlight || len(p.reports)+len(p.uncommitted) == 0 {
		return
	}
	reports, ends := p.reports, p.uncommitted
	p.reports, p.uncommitted = nil, nil
	if len(reports) == 0 {
		p.acknowledge(ends)
		return
	}
	p.reportsInFlight++
	p.l.c.propose(&state.Command{Report: &state.Report{Reports: reports}}, func(_ state.Result, err error) {
		p.reportsInFlight--
		if p.l.c.leader != p.l {
			return // the workers report again to the next leader
		}
		if err != nil {
			p.l.c.log.Warn("Reports were not committed; the workers will send them again.", "err", err)
			p.resetProposed(ends)
			return
		}
		p.acknowledge(ends)
	})
}

// acknowledge advances the cursors of the workers past the ended attempts. The next
// poll carries the cursor.
func (p *polledWorkers) acknowledge(ends []uncommittedEnd) {
	for _, e := range ends {
		e.worker.cursor = max(e.worker.cursor, e.number)
	}
	for _, e := range ends {
		if e.worker.cursor == e.worker.proposed {
			p.poll(e.worker)
		}
	}
}

// resetProposed makes the workers report ended attempts again whose commit failed.
func (p *polledWorkers) resetProposed(ends []uncommittedEnd) {
	for _, e := range ends {
		e.worker.proposed = e.worker.cursor
		p.after(pollRetryAfter, func() { p.poll(e.worker) })
	}
}
