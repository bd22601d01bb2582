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

// crew are the workers that take orders by call, as the leader reaches them.
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
	// silent is set while the last look had no answer. Nothing is renewed then:
	// a lease that is granted to nobody would never end.
	unresponsive bool
	// unheard is set from an announcement to the first answer. Nothing is placed
	// on the worker then, nor while it is silent.
	unverified bool
	commands   map[model.TaskID]*workerCommand
}

// fields names a run on the worker in a log line, followed by more.
func (m *polledWorker) fields(r *courier.Attempt, more ...any) []any {
	run := []any{"workflow", r.Task.Workflow, "step", r.Task.Step, "index", r.Task.Index, "attempt", r.Number, "worker", m.target.Worker}
	return append(run, more...)
}

// order is what the leader knows of the orders for one held task.
type workerCommand struct {
	attempt      uint32
	dispatch     courier.Dispatch
	repeatTimer  *time.Timer // of what was sent last
	maybeStarted bool        // a start had no answer, and may still be carried out
	confirmedAt  model.Time  // when the worker confirmed the last order; zero: it did not
	isStop       bool        // that order was a stop
}

// taken is an end that is on its way to be committed.
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

func (c *polledWorkers) stop() {
	c.cancel()
	c.l.c.s.metrics.unresponsive.Set(0)
}

// drop forgets a worker that is lost.
func (c *polledWorkers) drop(id model.WorkerID) {
	if m := c.workers[id]; m != nil && m.unresponsive {
		c.l.c.s.metrics.unresponsive.Dec()
	}
	delete(c.workers, id)
}

// begin reaches the workers that the state knows at the start of a term.
func (c *polledWorkers) addInherited() {
	for _, w := range c.l.c.machine.Workers() {
		if w.Mode != model.WorkerLost {
			c.add(&w.Spec, w.Session, false)
		}
	}
	c.l.c.log.Info("Inherited workers are called.", "workers", len(c.workers), "term", c.l.term)
}

// heard keeps the clock that an announcement tells until it is committed.
func (c *polledWorkers) recordClock(b *proto.Beat) {
	var clock courier.Clock
	clock.Observe(b.Clock, c.l.c.s.now())
	c.clocks[b.Spec.ID] = clock
}

// workerChanged follows the sessions of called workers.
func (c *polledWorkers) workerChanged(e *state.WorkerChanged) {
	if e.Mode == model.WorkerLost {
		c.drop(e.Spec.ID)
		c.l.policy.tracker.ForgetWorker(e.Spec.ID)
		return
	}
	if m := c.workers[e.Spec.ID]; m != nil && m.session == e.Session {
		return
	}
	c.l.policy.tracker.ForgetWorker(e.Spec.ID)
	c.l.c.log.Info("Worker announced itself.", "worker", e.Spec.ID, "address", e.Spec.Address, "incarnation", e.Spec.Incarnation,
		"capacity", e.Spec.Capacity, "mode", e.Mode)
	c.add(&e.Spec, e.Session, true)
}

// add begins to call a life of a worker. Unheard, an announcement is all there
// is of it: a worker that no order reaches may go on announcing itself.
func (c *polledWorkers) add(spec *model.WorkerSpec, session uint64, unverified bool) {
	if spec.Address == "" || c.l.c.s.opts.WorkerClient == nil {
		return
	}
	m := &polledWorker{
		target:     courier.Target{Worker: spec.ID, Address: spec.Address, Incarnation: spec.Incarnation},
		session:    session,
		clock:      c.clocks[spec.ID],
		unverified: unverified,
		commands:   map[model.TaskID]*workerCommand{},
	}
	delete(c.clocks, spec.ID)
	c.drop(spec.ID)
	c.workers[spec.ID] = m
	c.updateScheduler(m)
	claim := lease.Claim{Worker: spec.ID, Session: session}
	if !c.l.leases.Holds(claim) {
		if err := c.l.leases.Grant(claim, c.l.c.s.now()); err != nil {
			c.l.c.log.Warn("Worker gets no lease.", "worker", spec.ID, "err", err)
		}
	}
	c.l.c.log.Debug("Worker is called.", "worker", spec.ID, "address", spec.Address, "incarnation", spec.Incarnation, "capacity", spec.Capacity)
	c.poll(m)
}

// current reports whether m is still the life of the worker that is called.
func (c *polledWorkers) current(m *polledWorker) bool {
	return c.l.c.leader == c.l && c.workers[m.target.Worker] == m
}

// grant renews the lease of a worker and returns its end on the worker's clock;
// zero where nothing may be renewed.
func (c *polledWorkers) grant(m *polledWorker) int64 {
	now := c.l.c.s.now()
	if _, err := c.l.c.leading(); err != nil || m.unresponsive || !m.clock.Known() {
		return 0
	}
	if err := c.l.leases.Renew(lease.Claim{Worker: m.target.Worker, Session: m.session}, now); err != nil {
		return 0
	}
	return m.clock.LeaseUntil(now, c.l.leases.Length())
}

// over takes in that a life of a worker has ended, which another one at its
// address proves. Nothing of it runs any more.
func (c *polledWorkers) loseReplaced(m *polledWorker) {
	c.l.c.log.Warn("Life of a worker is over, another one answers at its address.", "worker", m.target.Worker, "address", m.target.Address)
	lost := []state.LostWorker{{ID: m.target.Worker, Session: m.session}}
	c.l.c.propose(&state.Command{LoseWorkers: &state.LoseWorkers{Workers: lost}}, func(_ state.Result, err error) {
		if err != nil {
			c.after(pollRetryAfter, func() { c.poll(m) })
		}
	})
}

// later runs fn in the control goroutine after d.
func (c *polledWorkers) after(d time.Duration, fn func()) *time.Timer {
	return time.AfterFunc(d, func() { c.l.c.s.post(func(*core) { fn() }) })
}

// recordEnds turns ends that are new into reports. The worker forgets them once
// they are committed.
func (c *polledWorkers) recordEnds(m *polledWorker, ends []courier.EndedAttempt) {
	for i := range ends {
		e := &ends[i]
		if e.Number <= m.proposed {
			continue
		}
		m.proposed = e.Number
		c.uncommitted = append(c.uncommitted, uncommittedEnd{m, e.Number})
		id, t := c.currentTask(m, &e.Attempt)
		if t == nil {
			continue // placed elsewhere since, or finished
		}
		c.l.c.log.Info("Task ended.", m.fields(&e.Attempt, "how", e.Outcome, "phase", t.Phase)...)
		delete(m.commands, id)
		c.addReport(m, api.Report{Task: id, Fence: t.Fence, State: reportOf(e.Outcome), Checkpoint: e.Checkpoint})
	}
}

func reportOf(h courier.Outcome) api.ReportState {
	switch h {
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

// task finds the held task that a run on m is the current attempt of; nil where
// there is none.
func (c *polledWorkers) currentTask(m *polledWorker, r *courier.Attempt) (model.TaskID, *state.Task) {
	w := c.l.c.machine.WorkflowRun(r.Task.Workflow, r.Task.Run)
	if w == nil || r.Task.Step < 0 || int(r.Task.Step) >= len(w.Jobs) {
		return model.TaskID{}, nil
	}
	id := model.TaskID{Job: w.Jobs[r.Task.Step], Index: r.Task.Index}
	_, t := c.l.task(id)
	if t == nil || !t.Phase.Holds() || t.Attempt != r.Number || c.l.c.machine.TaskWorker(t) != m.target.Worker {
		return id, nil
	}
	return id, t
}

// note keeps a report for the next commit.
func (c *polledWorkers) addReport(m *polledWorker, r api.Report) {
	last := len(c.reports) - 1
	if last < 0 || c.reports[last].Worker != m.target.Worker || c.reports[last].Session != m.session {
		c.reports = append(c.reports, state.WorkerReport{Worker: m.target.Worker, Session: m.session})
		last++
	}
	c.reports[last].Reports = append(c.reports[last].Reports, r)
}

// report commits what workers told. Ends are acknowledged after the commit.
func (c *polledWorkers) commitReports() {
	if c.reportsInFlight >= maxReportsInFlight || len(c.reports)+len(c.uncommitted) == 0 {
		return
	}
	reports, ends := c.reports, c.uncommitted
	c.reports, c.uncommitted = nil, nil
	if len(reports) == 0 {
		c.acknowledge(ends)
		return
	}
	c.reportsInFlight++
	c.l.c.propose(&state.Command{Report: &state.Report{Reports: reports}}, func(_ state.Result, err error) {
		c.reportsInFlight--
		if c.l.c.leader != c.l {
			return // the next leader is told again
		}
		if err != nil {
			c.l.c.log.Warn("Reports were not committed, the workers tell them again.", "err", err)
			c.resetProposed(ends)
			return
		}
		c.acknowledge(ends)
	})
}

// committed acknowledges ends with the next look.
func (c *polledWorkers) acknowledge(ends []uncommittedEnd) {
	for _, e := range ends {
		e.worker.cursor = max(e.worker.cursor, e.number)
	}
	for _, e := range ends {
		if e.worker.cursor == e.worker.proposed {
			c.poll(e.worker)
		}
	}
}

// forget has ends told again whose commit failed.
func (c *polledWorkers) resetProposed(ends []uncommittedEnd) {
	for _, e := range ends {
		e.worker.proposed = e.worker.cursor
		c.after(pollRetryAfter, func() { c.poll(e.worker) })
	}
}
