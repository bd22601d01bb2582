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
	// orderTimeout bounds one order. Without an answer it may still be carried out.
	orderTimeout = time.Second
	// orderRepeat is the time without an answer after which an order is sent a
	// second time, beside the first: an order that is there already is no error.
	orderRepeat = 250 * time.Millisecond
	// orderRetry is the time before a start without an answer is sent again.
	orderRetry = 50 * time.Millisecond
	// maxReportsInFlight bounds the commits of reports that are on their way.
	maxReportsInFlight = 2
)

// crew are the workers that take orders by call, as the leader reaches them.
// What is sent follows from the state; what comes back becomes reports.
type crew struct {
	l       *leader
	workers map[model.WorkerID]*calledWorker
	clocks  map[model.WorkerID]courier.Clock // of announcements that are not committed yet
	ctx     context.Context
	cancel  context.CancelFunc

	reports  []state.WorkerReport // to be committed
	taken    []taken              // ends among them
	inFlight int
	losses   courier.Losses // of answers to looks
}

// calledWorker is one life of a called worker.
type calledWorker struct {
	to      courier.Target
	session uint64
	clock   courier.Clock
	cursor  uint64 // ends up to it are committed
	offered uint64 // ends up to it are on their way to be committed
	looks   courier.Looks
	repeat  *time.Timer // of the newest look
	greeted bool        // it has answered once, and told its clock
	// silent is set while the last look had no answer. Nothing is renewed then:
	// a lease that is granted to nobody would never end.
	silent bool
	// unheard is set from an announcement to the first answer. Nothing is placed
	// on the worker then, nor while it is silent.
	unheard bool
	orders  map[model.TaskID]*order
}

// fields names a run on the worker in a log line, followed by more.
func (m *calledWorker) fields(r *courier.Run, more ...any) []any {
	run := []any{"workflow", r.Task.Workflow, "step", r.Task.Step, "index", r.Task.Index, "attempt", r.Attempt, "worker", m.to.Worker}
	return append(run, more...)
}

// order is what the leader knows of the orders for one held task.
type order struct {
	attempt   uint32
	sending   courier.Sending
	repeat    *time.Timer // of what was sent last
	doubtful  bool        // a start had no answer, and may still be carried out
	confirmed model.Time  // when the worker confirmed the last order; zero: it did not
	stop      bool        // that order was a stop
}

// taken is an end that is on its way to be committed.
type taken struct {
	worker *calledWorker
	number uint64
}

func newCrew(l *leader) *crew {
	ctx, cancel := context.WithCancel(context.Background())
	return &crew{
		l:       l,
		workers: map[model.WorkerID]*calledWorker{},
		clocks:  map[model.WorkerID]courier.Clock{},
		ctx:     ctx,
		cancel:  cancel,
	}
}

func (c *crew) stop() {
	c.cancel()
	c.l.c.s.metrics.silent.Set(0)
}

// drop forgets a worker that is lost.
func (c *crew) drop(id model.WorkerID) {
	if m := c.workers[id]; m != nil && m.silent {
		c.l.c.s.metrics.silent.Dec()
	}
	delete(c.workers, id)
}

// begin reaches the workers that the state knows at the start of a term.
func (c *crew) begin() {
	for _, w := range c.l.c.machine.Workers() {
		if w.Mode != model.WorkerLost {
			c.add(&w.Spec, w.Session, false)
		}
	}
	c.l.c.log.Info("Inherited workers are called.", "workers", len(c.workers), "term", c.l.term)
}

// heard keeps the clock that an announcement tells until it is committed.
func (c *crew) heard(b *proto.Beat) {
	var clock courier.Clock
	clock.Observe(b.Clock, c.l.c.s.now())
	c.clocks[b.Spec.ID] = clock
}

// workerChanged follows the sessions of called workers.
func (c *crew) workerChanged(e *state.WorkerChanged) {
	if e.Mode == model.WorkerLost {
		c.drop(e.Spec.ID)
		c.l.policy.desk.Forget(e.Spec.ID)
		return
	}
	if m := c.workers[e.Spec.ID]; m != nil && m.session == e.Session {
		return
	}
	c.l.policy.desk.Forget(e.Spec.ID)
	c.l.c.log.Info("Worker announced itself.", "worker", e.Spec.ID, "address", e.Spec.Address, "incarnation", e.Spec.Incarnation,
		"capacity", e.Spec.Capacity, "mode", e.Mode)
	c.add(&e.Spec, e.Session, true)
}

// add begins to call a life of a worker. Unheard, an announcement is all there
// is of it: a worker that no order reaches may go on announcing itself.
func (c *crew) add(spec *model.WorkerSpec, session uint64, unheard bool) {
	if spec.Address == "" || c.l.c.s.opts.Caller == nil {
		return
	}
	m := &calledWorker{
		to:      courier.Target{Worker: spec.ID, Address: spec.Address, Incarnation: spec.Incarnation},
		session: session,
		clock:   c.clocks[spec.ID],
		unheard: unheard,
		orders:  map[model.TaskID]*order{},
	}
	delete(c.clocks, spec.ID)
	c.drop(spec.ID)
	c.workers[spec.ID] = m
	c.tellAnswers(m)
	claim := lease.Claim{Worker: spec.ID, Session: session}
	if !c.l.leases.Holds(claim) {
		if err := c.l.leases.Grant(claim, c.l.c.s.now()); err != nil {
			c.l.c.log.Warn("Worker gets no lease.", "worker", spec.ID, "err", err)
		}
	}
	c.l.c.log.Debug("Worker is called.", "worker", spec.ID, "address", spec.Address, "incarnation", spec.Incarnation, "capacity", spec.Capacity)
	c.look(m)
}

// current reports whether m is still the life of the worker that is called.
func (c *crew) current(m *calledWorker) bool { return c.l.c.lead == c.l && c.workers[m.to.Worker] == m }

// grant renews the lease of a worker and returns its end on the worker's clock;
// zero where nothing may be renewed.
func (c *crew) grant(m *calledWorker) int64 {
	now := c.l.c.s.now()
	if _, err := c.l.c.leading(); err != nil || m.silent || !m.clock.Known() {
		return 0
	}
	if err := c.l.leases.Renew(lease.Claim{Worker: m.to.Worker, Session: m.session}, now); err != nil {
		return 0
	}
	return m.clock.LeaseUntil(now, c.l.leases.Length())
}

// over takes in that a life of a worker has ended, which another one at its
// address proves. Nothing of it runs any more.
func (c *crew) over(m *calledWorker) {
	c.l.c.log.Warn("Life of a worker is over, another one answers at its address.", "worker", m.to.Worker, "address", m.to.Address)
	lost := []state.LostWorker{{ID: m.to.Worker, Session: m.session}}
	c.l.c.propose(&state.Command{MarkWorkersLost: &state.MarkWorkersLost{Workers: lost}}, func(_ state.Result, err error) {
		if err != nil {
			c.later(lookRetry, func() { c.look(m) })
		}
	})
}

// later runs fn in the control goroutine after d.
func (c *crew) later(d time.Duration, fn func()) *time.Timer {
	return time.AfterFunc(d, func() { c.l.c.s.run(func(*core) { fn() }) })
}

// takeEnds turns ends that are new into reports. The worker forgets them once
// they are committed.
func (c *crew) takeEnds(m *calledWorker, ends []courier.Ended) {
	for i := range ends {
		e := &ends[i]
		if e.Number <= m.offered {
			continue
		}
		m.offered = e.Number
		c.taken = append(c.taken, taken{m, e.Number})
		id, t := c.task(m, &e.Run)
		if t == nil {
			continue // placed elsewhere since, or finished
		}
		c.l.c.log.Info("Task ended.", m.fields(&e.Run, "how", e.How, "phase", t.Phase)...)
		delete(m.orders, id)
		c.note(m, api.Report{Task: id, Fence: t.Fence, State: reportOf(e.How), Checkpoint: e.Checkpoint})
	}
}

func reportOf(h courier.How) api.ReportState {
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
func (c *crew) task(m *calledWorker, r *courier.Run) (model.TaskID, *state.Task) {
	w := c.l.c.machine.WorkflowRun(r.Task.Workflow, r.Task.Run)
	if w == nil || r.Task.Step < 0 || int(r.Task.Step) >= len(w.Jobs) {
		return model.TaskID{}, nil
	}
	id := model.TaskID{Job: w.Jobs[r.Task.Step], Index: r.Task.Index}
	_, t := c.l.task(id)
	if t == nil || !t.Phase.Holds() || t.Attempt != r.Attempt || c.l.c.machine.TaskWorker(t) != m.to.Worker {
		return id, nil
	}
	return id, t
}

// note keeps a report for the next commit.
func (c *crew) note(m *calledWorker, r api.Report) {
	last := len(c.reports) - 1
	if last < 0 || c.reports[last].Worker != m.to.Worker || c.reports[last].Session != m.session {
		c.reports = append(c.reports, state.WorkerReport{Worker: m.to.Worker, Session: m.session})
		last++
	}
	c.reports[last].Reports = append(c.reports[last].Reports, r)
}

// report commits what workers told. Ends are acknowledged after the commit.
func (c *crew) report() {
	if c.inFlight >= maxReportsInFlight || len(c.reports)+len(c.taken) == 0 {
		return
	}
	reports, ends := c.reports, c.taken
	c.reports, c.taken = nil, nil
	if len(reports) == 0 {
		c.committed(ends)
		return
	}
	c.inFlight++
	c.l.c.propose(&state.Command{Report: &state.Report{Reports: reports}}, func(_ state.Result, err error) {
		c.inFlight--
		if c.l.c.lead != c.l {
			return // the next leader is told again
		}
		if err != nil {
			c.l.c.log.Warn("Reports were not committed, the workers tell them again.", "err", err)
			c.forget(ends)
			return
		}
		c.committed(ends)
	})
}

// committed acknowledges ends with the next look.
func (c *crew) committed(ends []taken) {
	for _, e := range ends {
		e.worker.cursor = max(e.worker.cursor, e.number)
	}
	for _, e := range ends {
		if e.worker.cursor == e.worker.offered {
			c.look(e.worker)
		}
	}
}

// forget has ends told again whose commit failed.
func (c *crew) forget(ends []taken) {
	for _, e := range ends {
		e.worker.offered = e.worker.cursor
		c.later(lookRetry, func() { c.look(e.worker) })
	}
}
