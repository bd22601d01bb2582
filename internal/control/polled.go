package control

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
)

const (
	// commandTimeout bounds one order. Without an answer it may still be carried out.
	commandTimeout = time.Second
	// commandRepeatAfter is the time without an answer after which an order is sent a
	// second time, beside the first: an order that is there already is no error.
	commandRepeatAfter = 250 * time.Millisecond
	// startRetryAfter is the time before a start without an answer is sent again.
	startRetryAfter = 50 * time.Millisecond
	// maxReportsInFlight bounds the commits of reports that are on their way.
	maxReportsInFlight = 2
)

// polledWorkers are the workers that take orders by call, as the leader reaches them.
// What is sent follows from the state; what comes back becomes reports.
type polledWorkers struct {
	l       *leader
	workers map[model.WorkerID]*polledWorker
	clocks  map[model.WorkerID]courier.Clock // of announcements that are not committed yet
	ctx     context.Context
	cancel  context.CancelFunc

	reports         []state.WorkerReport // to be committed
	uncommitted     []uncommittedEnd     // ends among them
	reportsInFlight int
	losses          courier.LossTracker // of answers to looks
}

// polledWorker is one life of a called worker.
type polledWorker struct {
	target        courier.Target
	session       uint64
	clock         courier.Clock
	cursor        uint64 // ends up to it are committed
	proposed      uint64 // ends up to it are on their way to be committed
	polls         courier.PollSeries
	repeatTimer   *time.Timer // of the newest look
	clockReported bool        // it has answered once, and told its clock
	// unresponsive is set while the last look had no answer. Nothing is renewed then:
	// a lease that is granted to nobody would never end.
	unresponsive bool
	// unverified is set from an announcement to the first answer. Nothing is placed
	// on the worker then, nor while it is silent.
	unverified bool
	commands   map[model.TaskID]*workerCommand
}

// fields names a run on the worker in a log line, followed by more.
func (pw *polledWorker) fields(attempt *courier.Attempt, more ...any) []any {
	fields := []any{"workflow", attempt.Task.Workflow, "step", attempt.Task.Step, "index", attempt.Task.Index, "attempt", attempt.Number, "worker", pw.target.Worker}
	return append(fields, more...)
}

// workerCommand is what the leader knows of the orders for one held task.
type workerCommand struct {
	attempt      uint32
	dispatch     courier.Dispatch
	repeatTimer  *time.Timer // of what was sent last
	maybeStarted bool        // a start had no answer, and may still be carried out
	confirmedAt  model.Time  // when the worker confirmed the last order; zero: it did not
	isStop       bool        // that order was a stop
}

// uncommittedEnd is an end that is on its way to be committed.
type uncommittedEnd struct {
	worker *polledWorker
	number uint64
}

func newPolledWorkers(l *leader) *polledWorkers {
	ctx, cancel := context.WithCancel(context.Background())
	return &polledWorkers{
		l:       l,
		workers: map[model.WorkerID]*polledWorker{},
		clocks:  map[model.WorkerID]courier.Clock{},
		ctx:     ctx,
		cancel:  cancel,
	}
}

func (p *polledWorkers) stop() {
	p.cancel()
	p.l.c.s.metrics.unresponsive.Set(0)
}

// drop forgets a worker that is lost.
func (p *polledWorkers) drop(id model.WorkerID) {
	if pw := p.workers[id]; pw != nil && pw.unresponsive {
		p.l.c.s.metrics.unresponsive.Dec()
	}
	delete(p.workers, id)
}

// addInherited reaches the workers that the state knows at the start of a term.
func (p *polledWorkers) addInherited() {
	for _, w := range p.l.c.machine.Workers() {
		if w.Mode != model.WorkerLost {
			p.add(&w.Spec, w.Session, false)
		}
	}
	p.l.c.log.Info("Inherited workers are called.", "workers", len(p.workers), "term", p.l.term)
}

// recordClock keeps the clock that an announcement tells until it is committed.
func (p *polledWorkers) recordClock(hb *proto.Beat) {
	var clock courier.Clock
	clock.Observe(hb.Clock, p.l.c.s.now())
	p.clocks[hb.Spec.ID] = clock
}

// workerChanged follows the sessions of called workers.
func (p *polledWorkers) workerChanged(e *state.WorkerChanged) {
	if e.Mode == model.WorkerLost {
		p.drop(e.Spec.ID)
		p.l.policy.tracker.ForgetWorker(e.Spec.ID)
		return
	}
	if pw := p.workers[e.Spec.ID]; pw != nil && pw.session == e.Session {
		return
	}
	p.l.policy.tracker.ForgetWorker(e.Spec.ID)
	p.l.c.log.Info("Worker announced itself.", "worker", e.Spec.ID, "address", e.Spec.Address, "incarnation", e.Spec.Incarnation,
		"capacity", e.Spec.Capacity, "mode", e.Mode)
	p.add(&e.Spec, e.Session, true)
}

// add begins to call a life of a worker. Unheard, an announcement is all there
// is of it: a worker that no order reaches may go on announcing itself.
func (p *polledWorkers) add(spec *model.WorkerSpec, session uint64, unverified bool) {
	if spec.Address == "" || p.l.c.s.opts.WorkerClient == nil {
		return
	}
	pw := &polledWorker{
		target:     courier.Target{Worker: spec.ID, Address: spec.Address, Incarnation: spec.Incarnation},
		session:    session,
		clock:      p.clocks[spec.ID],
		unverified: unverified,
		commands:   map[model.TaskID]*workerCommand{},
	}
	delete(p.clocks, spec.ID)
	p.drop(spec.ID)
	p.workers[spec.ID] = pw
	p.updateScheduler(pw)
	claim := lease.Claim{Worker: spec.ID, Session: session}
	if !p.l.leases.Holds(claim) {
		if err := p.l.leases.Grant(claim, p.l.c.s.now()); err != nil {
			p.l.c.log.Warn("Worker gets no lease.", "worker", spec.ID, "err", err)
		}
	}
	p.l.c.log.Debug("Worker is called.", "worker", spec.ID, "address", spec.Address, "incarnation", spec.Incarnation, "capacity", spec.Capacity)
	p.poll(pw)
}

// current reports whether m is still the life of the worker that is called.
func (p *polledWorkers) current(pw *polledWorker) bool {
	return p.l.c.leader == p.l && p.workers[pw.target.Worker] == pw
}

// grant renews the lease of a worker and returns its end on the worker's clock;
// zero where nothing may be renewed.
func (p *polledWorkers) grant(pw *polledWorker) int64 {
	now := p.l.c.s.now()
	if _, err := p.l.c.leading(); err != nil || pw.unresponsive || !pw.clock.Known() {
		return 0
	}
	if err := p.l.leases.Renew(lease.Claim{Worker: pw.target.Worker, Session: pw.session}, now); err != nil {
		return 0
	}
	return pw.clock.LeaseUntil(now, p.l.leases.Length())
}

// loseReplaced takes in that a life of a worker has ended, which another one at its
// address proves. Nothing of it runs any more.
func (p *polledWorkers) loseReplaced(pw *polledWorker) {
	p.l.c.log.Warn("Life of a worker is over, another one answers at its address.", "worker", pw.target.Worker, "address", pw.target.Address)
	lost := []state.LostWorker{{ID: pw.target.Worker, Session: pw.session}}
	p.l.c.propose(&state.Command{MarkWorkersLost: &state.MarkWorkersLost{Workers: lost}}, func(_ state.Result, err error) {
		if err != nil {
			p.after(pollRetryAfter, func() { p.poll(pw) })
		}
	})
}

// after runs fn in the control goroutine after d.
func (p *polledWorkers) after(d time.Duration, fn func()) *time.Timer {
	return time.AfterFunc(d, func() { p.l.c.s.post(func(*core) { fn() }) })
}

// recordEnds turns ends that are new into reports. The worker forgets them once
// they are committed.
func (p *polledWorkers) recordEnds(pw *polledWorker, ends []courier.EndedAttempt) {
	for i := range ends {
		e := &ends[i]
		if e.Number <= pw.proposed {
			continue
		}
		pw.proposed = e.Number
		p.uncommitted = append(p.uncommitted, uncommittedEnd{pw, e.Number})
		id, t := p.currentTask(pw, &e.Attempt)
		if t == nil {
			continue // placed elsewhere since, or finished
		}
		p.l.c.log.Info("Task ended.", pw.fields(&e.Attempt, "how", e.Outcome, "phase", t.Phase)...)
		delete(pw.commands, id)
		p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: reportOf(e.Outcome), Checkpoint: e.Checkpoint})
	}
}

func reportOf(outcome courier.Outcome) api.ReportState {
	switch outcome {
	case courier.Succeeded:
		return api.ReportSucceeded
	case courier.Failed:
		return api.ReportFailed
	case courier.Stopped:
		return api.ReportStopped
	case courier.Lapsed:
		return api.ReportLapsed
	}
	return api.ReportBroken
}

// currentTask finds the held task that a run on m is the current attempt of; nil where
// there is none.
func (p *polledWorkers) currentTask(pw *polledWorker, attempt *courier.Attempt) (model.TaskID, *state.Task) {
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

// addReport keeps a report for the next commit.
func (p *polledWorkers) addReport(pw *polledWorker, r api.Report) {
	last := len(p.reports) - 1
	if last < 0 || p.reports[last].Worker != pw.target.Worker || p.reports[last].Session != pw.session {
		p.reports = append(p.reports, state.WorkerReport{Worker: pw.target.Worker, Session: pw.session})
		last++
	}
	p.reports[last].Reports = append(p.reports[last].Reports, r)
}

// commitReports commits what workers told. Ends are acknowledged after the commit.
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
			return // the next leader is told again
		}
		if err != nil {
			p.l.c.log.Warn("Reports were not committed, the workers tell them again.", "err", err)
			p.resetProposed(ends)
			return
		}
		p.acknowledge(ends)
	})
}

// acknowledge acknowledges ends with the next look.
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

// resetProposed has ends told again whose commit failed.
func (p *polledWorkers) resetProposed(ends []uncommittedEnd) {
	for _, e := range ends {
		e.worker.proposed = e.worker.cursor
		p.after(pollRetryAfter, func() { p.poll(e.worker) })
	}
}
