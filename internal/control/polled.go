package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/exchange"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/outage"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const (
	// commandTimeout bounds one call of a command. The worker may still execute a
	// command whose call has timed out.
	commandTimeout = time.Second
	// commandRepeatAfter is the least time without a response after which a command is sent
	// a second time while the first call continues. Commands are idempotent.
	commandRepeatAfter = 250 * time.Millisecond
	// maxRepeatAfter bounds that time, and that of polls, while responses take long.
	maxRepeatAfter = 600 * time.Millisecond
	// startRetryAfter is the time before a start without a response is sent again.
	startRetryAfter = 50 * time.Millisecond
)

// polledWorkers are the workers that the leader polls, as opposed to those with a
// session at an entry. The commands sent to them follow from the replicated state;
// their responses become reports that are committed to it.
type polledWorkers struct {
	l       *leader
	workers map[model.WorkerID]*polledWorker
	clocks  map[model.WorkerID]announcedClock // from announcements that are not committed yet
	ctx     context.Context
	cancel  context.CancelFunc

	reports     exchange.ReportQueue[reportedEnd]
	losses      workerclient.LossTracker // of responses to polls
	responses   workerclient.ResponseTimes
	settlements map[model.WorkerID]*settlement
	outages     outage.Log
}

// polledWorker is one incarnation of a polled worker.
type polledWorker struct {
	target        workerclient.Target
	session       uint64
	fence         uint64
	clock         workerclient.Clock
	ends          exchange.Ends
	polls         workerclient.PollSeries
	repeatTimer   *time.Timer // repeats the newest poll
	clockReported bool        // the worker has answered a poll, and so reported its clock
	addedAt       model.Time  // when this leader began to poll it
	// restarted is set if an earlier incarnation, which may have been called until recently,
	// had the same ID.
	restarted bool
	// unresponsive is set while the last poll has failed. The lease is not renewed
	// meanwhile, since otherwise the lease of a dead worker would never expire.
	unresponsive bool
	// connectionEnded is set while the worker is unresponsive and its last poll has failed
	// since the connection ended, as it does if the worker crashes.
	connectionEnded bool
	// replaced is set once a later incarnation is known. It may answer calls that are
	// meant for this one.
	replaced   bool
	replacedAt model.Time
	// unverified is set from an announcement to the first response. No task is placed
	// on the worker meanwhile, nor while it is unresponsive.
	unverified bool
	// unheard is set for an inherited worker until its first response to a poll.
	unheard    bool
	refusals   exchange.Refusals
	answeredAt model.Time // when the last poll was sent that it has answered; zero: none was
	heardAt    model.Time // when its last response to a poll arrived; zero: none has
	firstHeard model.Time // when its first response to a poll arrived; zero: none has
	grantedAt  model.Time // the last time at which a lease may have been sent to it
	// unreadableSince is since when each response has had rows that cannot be read; zero:
	// the last one had none.
	unreadableSince model.Time
	// acknowledged is the highest cursor that it has answered, and acknowledgedBy the
	// fence of the last poll with one.
	acknowledged   uint64
	acknowledgedBy uint64
	postponed      bool       // its next poll waits, since its ends cannot be acknowledged yet
	attemptsLostAt model.Time // when attempts were lost although the worker was not; zero: never
	explaining     bool       // it is proposed that it has not crashed under attempts that were lost
	commands       map[model.TaskID]*workerCommand
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
	maybeStarted bool        // a start was accepted or had no response: it may have been executed or may still be
	unansweredAt model.Time  // when the last start without a response was given up; zero: none was
	brokenAt     model.Time  // when the connection of a start ended before the response; zero: none did
	confirmedAt  model.Time  // when the worker confirmed the last command; zero: it has not
	isStop       bool        // the last command was a stop
	accepted     bool        // a start was accepted, perhaps by a later incarnation
	calls        exchange.StartCalls

	sent int                    // calls of commands for the attempt
	last *workerclient.Response // the last response; nil: none was received
}

// lastResponse describes the last response to a command.
func (c *workerCommand) lastResponse() string {
	if c.last == nil {
		return "none"
	}
	return c.last.Verdict.String() + " " + c.last.Reason
}

func newPolledWorkers(l *leader) *polledWorkers {
	ctx, cancel := context.WithCancel(context.Background())
	return &polledWorkers{
		l:       l,
		workers: map[model.WorkerID]*polledWorker{},
		clocks:  map[model.WorkerID]announcedClock{},
		reports: exchange.NewReportQueue[reportedEnd](),
		ctx:     ctx,
		cancel:  cancel,

		settlements: map[model.WorkerID]*settlement{},
	}
}

func (p *polledWorkers) stop() {
	p.cancel()
	p.endSettlements()
	p.l.c.s.metrics.unresponsive.Set(0)
}

// drop removes a worker that is lost or replaced.
func (p *polledWorkers) drop(id model.WorkerID) {
	if pw := p.workers[id]; pw != nil && pw.unresponsive {
		p.l.c.s.metrics.unresponsive.Dec()
	}
	delete(p.workers, id)
}

// addInherited adds the workers that are in the state at the start of a term.
func (p *polledWorkers) addInherited() {
	for _, w := range p.l.c.machine.Workers() {
		if w.Mode != model.WorkerLost {
			p.add(&w.Spec, w.Session, false)
			if pw := p.workers[w.Spec.ID]; pw != nil {
				pw.unheard = true
			}
		}
	}
	p.l.c.log.Info("Leader polls the inherited workers.", "workers", len(p.workers), "term", p.l.term)
}

// announcedClock is the clock of one incarnation of a worker.
type announcedClock struct {
	incarnation uint64
	clock       workerclient.Clock
}

// recordClock keeps the clock that an announcement reports until the announcement is
// committed. That of a later incarnation stays.
func (p *polledWorkers) recordClock(hb *proto.Heartbeat) {
	if p.clocks[hb.Spec.ID].incarnation > hb.Spec.Incarnation {
		return
	}
	a := announcedClock{incarnation: hb.Spec.Incarnation}
	a.clock.Observe(hb.Clock, p.l.c.s.now())
	p.clocks[hb.Spec.ID] = a
}

// clockOf returns the clock that an incarnation of a worker has reported. It has no
// reading if none has been.
func (p *polledWorkers) clockOf(spec *model.WorkerSpec) workerclient.Clock {
	if a := p.clocks[spec.ID]; a.incarnation == spec.Incarnation {
		return a.clock
	}
	return workerclient.Clock{}
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
	p.add(&e.Spec, e.Session, true)
}

// add starts to poll an incarnation of a worker. Unverified means that only its
// announcement is known: a worker that cannot be called may still announce itself.
func (p *polledWorkers) add(spec *model.WorkerSpec, session uint64, unverified bool) {
	if spec.Address == "" || p.l.c.s.opts.WorkerClient == nil {
		return
	}
	pw := &polledWorker{
		target:     workerclient.Target{Worker: spec.ID, Address: spec.Address, Incarnation: spec.Incarnation, Region: spec.Region},
		session:    session,
		fence:      exchange.FenceOf(p.l.term, session),
		clock:      p.clockOf(spec),
		unverified: unverified,
		addedAt:    p.l.c.s.now(),
		restarted:  p.restartedRecently(spec.ID),
		grantedAt:  p.l.c.s.now(), // by an earlier leader
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
	p.poll(pw)
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
	if _, err := p.l.c.leading(); err != nil || pw.unresponsive || pw.replaced || !pw.clock.Known() {
		return 0
	}
	if err := p.l.leases.Renew(lease.Holder{Worker: pw.target.Worker, Session: pw.session}, now); err != nil {
		return 0
	}
	pw.grantedAt = now
	return pw.clock.LeaseUntil(now, p.l.leases.Duration())
}

// loseReplaced proposes the loss of an incarnation of a worker. Another one answers at
// its address, so that no attempt of it runs any more.
func (p *polledWorkers) loseReplaced(pw *polledWorker) {
	p.l.c.log.Warn("Worker incarnation ended: another one answers at its address.", "worker", pw.target.Worker, "address", pw.target.Address)
	lost := []state.LostWorker{{ID: pw.target.Worker, Session: pw.session, Replaced: true, CommonCause: p.commonCause(pw.target.Worker)}}
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

// recordEnds turns newly ended attempts into reports, lowest number first. The worker
// forgets them once they and all earlier ones are committed and acknowledged.
func (p *polledWorkers) recordEnds(pw *polledWorker, ends []workerclient.EndedAttempt) {
	slices.SortFunc(ends, func(a, b workerclient.EndedAttempt) int { return cmp.Compare(a.Number, b.Number) })
	for i := range ends {
		e := &ends[i]
		id, t := p.endedTask(pw, e)
		if pw.ends.Propose(e.Number, id) {
			p.l.c.s.metrics.ends.WithLabelValues(endStepListed).Inc()
			p.recordEnd(pw, e, id, t)
		}
	}
}

// endedTask returns the task that an end changes: the one whose current attempt has
// ended, or whose last attempt was released and has succeeded. The task is nil if there
// is none.
func (p *polledWorkers) endedTask(pw *polledWorker, e *workerclient.EndedAttempt) (model.TaskID, *state.Task) {
	id, t := p.lastAttempt(pw.target.Worker, &e.Attempt)
	if t == nil || t.Phase.HoldsResources() || t.Phase == model.TaskPending && e.Outcome == workerclient.Succeeded {
		return id, t
	}
	return id, nil
}

// recordEnd reports one ended attempt of a task. The task is nil if the state knows
// already that the attempt has ended.
func (p *polledWorkers) recordEnd(pw *polledWorker, e *workerclient.EndedAttempt, id model.TaskID, t *state.Task) {
	end := reportedEnd{pw, e.Number, e.Attempt}
	if t == nil {
		p.recordFollowingEnd(pw, e, end)
		return
	}
	if p.logsTasks(&e.Attempt) {
		p.l.c.log.Info("Task ended.", pw.fields(&e.Attempt, "how", e.Outcome, "phase", t.Phase, "number", e.Number)...)
	}
	delete(pw.commands, id)
	p.reports.AddEnd(end)
	p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: reportOf(e.Outcome), Checkpoint: e.Checkpoint})
}

// isEnding reports whether the end of a task's current attempt is known and not
// committed. Such a task is neither started nor released.
func (p *polledWorkers) isEnding(pw *polledWorker, id model.TaskID) bool {
	return p.reports.IsEnding(id) || pw.ends.Holds(id)
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
	return p.currentTaskOf(pw.target.Worker, attempt)
}

func (p *polledWorkers) currentTaskOf(worker model.WorkerID, attempt *workerclient.Attempt) (model.TaskID, *state.Task) {
	id, t := p.lastAttempt(worker, attempt)
	if t == nil || !t.Phase.HoldsResources() {
		return id, nil
	}
	return id, t
}

// lastAttempt returns the task whose last attempt is the given one, on the given worker.
// The task is nil if there is none.
func (p *polledWorkers) lastAttempt(worker model.WorkerID, attempt *workerclient.Attempt) (model.TaskID, *state.Task) {
	w := p.l.c.machine.WorkflowRun(attempt.Task.Workflow, attempt.Task.Run)
	if w == nil || attempt.Task.Step < 0 || int(attempt.Task.Step) >= len(w.Jobs) {
		return model.TaskID{}, nil
	}
	id := model.TaskID{Job: w.Jobs[attempt.Task.Step], Index: attempt.Task.Index}
	_, t := p.l.task(id)
	if t == nil || t.Attempt != attempt.Number || p.l.c.machine.TaskWorker(t) != worker {
		return id, nil
	}
	return id, t
}
