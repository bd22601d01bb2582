package control

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// taskChanged sends the order that a committed change calls for.
func (c *crew) taskChanged(e *state.TaskChanged) {
	m := c.workers[e.Worker]
	if m == nil {
		return
	}
	switch e.To {
	case model.TaskStarting, model.TaskStopping:
		c.order(m, e.Task)
	case model.TaskRunning:
	default:
		delete(m.orders, e.Task)
	}
}

// order sends what the phase of a task calls for, unless a call for it is on its
// way. A stop does not wait for the answer to a start, which it keeps from taking
// effect.
func (c *crew) order(m *calledWorker, id model.TaskID) {
	j, t := c.l.task(id)
	if t == nil || j.Step == nil || !c.current(m) {
		return
	}
	o := m.orders[id]
	if o == nil || o.attempt != t.Attempt {
		o = &order{attempt: t.Attempt}
		m.orders[id] = o
	}
	if o.sending.Open() && (o.stop || t.Phase != model.TaskStopping) {
		return
	}
	switch t.Phase {
	case model.TaskStarting:
		if o.confirmed == 0 {
			c.start(m, id, o, j, t)
		}
	case model.TaskStopping:
		c.stopRun(m, id, o, j, t)
	}
}

// runOf names the current attempt of a task towards its worker.
func (c *crew) runOf(id model.TaskID, j *state.Job, t *state.Task) courier.Run {
	name := c.l.stepName(j)
	name.Index = id.Index
	return courier.Run{Task: name, Attempt: t.Attempt}
}

// stepName names the step that a job runs towards workers and the policy service.
func (l *leader) stepName(j *state.Job) courier.TaskName {
	name := courier.TaskName{Workflow: j.Step.Workflow, Step: j.Step.Step}
	if w := l.c.machine.Workflow(j.Step.Workflow); w != nil {
		name.Workflow, name.Run = w.Spec.ID, w.Run
	}
	return name
}

func (c *crew) start(m *calledWorker, id model.TaskID, o *order, j *state.Job, t *state.Task) {
	until := c.grant(m)
	if until == 0 {
		return // the next list of the worker brings its clock, and the order with it
	}
	permit, permitted := c.l.policy.token(id.Job, m.to.Worker)
	if !permitted {
		c.unpermitted(m, id, o, t)
		return
	}
	req := &courier.Start{
		Run:        c.runOf(id, j, t),
		Payload:    c.l.payloadOf(j),
		Fence:      c.l.term,
		LeaseUntil: until,
		Checkpoint: j.Checkpoint(id.Index),
		Permit:     permit,
	}
	c.l.c.log.Info("Start is sent.", m.fields(&req.Run, "size", t.Size, "fence", req.Fence, "lease_until", until,
		"checkpoint", req.Checkpoint != "", "again", o.doubtful)...)
	o.stop = false
	c.deliver(m, id, o, &delivery{
		name: orderStart,
		run:  req.Run,
		do: func(ctx context.Context, caller courier.Caller) courier.Answer {
			return caller.Start(ctx, m.to, req)
		},
		then: func(a courier.Answer) { c.started(m, id, o, &req.Run, a) },
	})
}

func (c *crew) stopRun(m *calledWorker, id model.TaskID, o *order, j *state.Job, t *state.Task) {
	req := &courier.Stop{Run: c.runOf(id, j, t), Fence: c.l.term}
	c.l.c.log.Info("Stop is sent.", m.fields(&req.Run, "cause", t.Stop, "fence", req.Fence)...)
	o.stop, o.confirmed = true, 0
	c.deliver(m, id, o, &delivery{
		name: orderStop,
		run:  req.Run,
		do: func(ctx context.Context, caller courier.Caller) courier.Answer {
			return caller.Stop(ctx, m.to, req)
		},
		then: func(a courier.Answer) { c.stopped(o, a) },
	})
}

// delivery is an order that is sent until it has an answer.
type delivery struct {
	name string // for metrics and logs
	run  courier.Run
	do   func(context.Context, courier.Caller) courier.Answer
	then func(courier.Answer)
}

// deliver sends an order, and a second time where no answer comes soon.
func (c *crew) deliver(m *calledWorker, id model.TaskID, o *order, d *delivery) {
	if o.repeat != nil {
		o.repeat.Stop()
	}
	round := o.sending.Begin()
	send := func() {
		c.call(m, d.do, func(a courier.Answer) {
			c.count(d.name, a)
			if c.newest(m, id, o) && o.sending.End(round, a.Verdict) {
				o.repeat.Stop()
				d.then(a)
			}
		})
	}
	send()
	o.repeat = c.later(orderRepeat, func() {
		if _, err := c.l.c.leading(); err != nil || !c.newest(m, id, o) || !o.sending.Repeat(round) {
			return
		}
		c.l.c.log.Info("Order is sent a second time.", m.fields(&d.run, "order", d.name)...)
		o.doubtful = true
		send()
	})
}

// newest reports whether an order is still the one for a task of a worker that
// is called.
func (c *crew) newest(m *calledWorker, id model.TaskID, o *order) bool {
	return c.current(m) && m.orders[id] == o
}

// The orders, as metrics name them.
const (
	orderStart = "start"
	orderStop  = "stop"
)

func (c *crew) count(order string, a courier.Answer) {
	c.l.c.s.metrics.orders.WithLabelValues(order, a.Verdict.String()).Inc()
}

// call runs one order outside of the control goroutine, and inside takes in the
// worker's clock and the answer.
func (c *crew) call(m *calledWorker, do func(context.Context, courier.Caller) courier.Answer, then func(courier.Answer)) {
	s := c.l.c.s
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		defer cancel()
		a := do(ctx, s.opts.Caller)
		s.run(func(*core) {
			m.clock.Observe(a.Clock, s.now())
			then(a)
		})
	}()
}

// started takes in the answer to a start.
func (c *crew) started(m *calledWorker, id model.TaskID, o *order, run *courier.Run, a courier.Answer) {
	_, t := c.task(m, run)
	if t == nil {
		return
	}
	if t.Phase == model.TaskStopping {
		c.order(m, id)
		return
	}
	if a.Verdict != courier.Accepted {
		c.l.c.log.Info("Start not confirmed.", m.fields(run, "verdict", a.Verdict, "reason", a.Reason)...)
	}
	switch a.Verdict {
	case courier.Accepted:
		o.confirmed = c.l.c.s.now()
		c.note(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStarted})
	case courier.NoPermit:
		c.l.policy.void(id.Job, m.to.Worker)
		c.refused(m, id, o, t, a)
	case courier.Refused:
		c.refused(m, id, o, t, a)
	case courier.Outdated:
		c.withdraw(id, a.Reason)
	case courier.Unknown:
		o.doubtful = true
		c.later(orderRetry, func() { c.order(m, id) }) // a run that is there already is no error
	}
}

// refused takes back a start that was not carried out. Where an earlier try had
// no answer, that one may still be: the run is stopped first.
func (c *crew) refused(m *calledWorker, id model.TaskID, o *order, t *state.Task, a courier.Answer) {
	if o.doubtful {
		c.withdraw(id, a.Reason)
		return
	}
	c.notStarted(m, id, t, a.Reason)
}

// notStarted notes that a start was not carried out and never will be: the task
// waits again.
func (c *crew) notStarted(m *calledWorker, id model.TaskID, t *state.Task, reason string) {
	c.note(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStopped, Reason: reason})
}

// unpermitted deals with a task whose permit has ended or is not known. A start
// that was never sent is taken back at once; of one that an earlier leader may
// have sent, the next list tells.
func (c *crew) unpermitted(m *calledWorker, id model.TaskID, o *order, t *state.Task) {
	switch {
	case o.doubtful:
		c.withdraw(id, noPermit)
	case !c.inherited(t):
		c.notStarted(m, id, t, noPermit)
	}
}

const noPermit = "the permit has ended or is not known"

// inherited reports whether an earlier leader placed the attempt.
func (c *crew) inherited(t *state.Task) bool { return t.Fence.Term < c.l.term }

// withdraw stops a start that may have been sent without an answer. The task
// waits again once the worker has confirmed that.
func (c *crew) withdraw(id model.TaskID, reason string) {
	cmd := &state.Stop{Tasks: []state.TaskStop{{Task: id, Cause: state.StopPreempted, Reason: reason}}}
	c.l.c.propose(&state.Command{Stop: cmd}, func(state.Result, error) {})
}

// stopped takes in the answer to a stop. The end comes with a list.
func (c *crew) stopped(o *order, a courier.Answer) {
	if a.Verdict == courier.Accepted {
		o.confirmed = c.l.c.s.now()
	}
}

// reconcile compares what a worker runs with what the state holds there. Sent
// is when the list was asked for: it says nothing of later orders.
func (c *crew) reconcile(m *calledWorker, sent model.Time, seen *courier.Seen) {
	w := c.l.c.machine.Worker(m.to.Worker)
	if w == nil {
		return
	}
	runs := make(map[model.TaskID]bool, len(seen.Active))
	for i := range seen.Active {
		a := &seen.Active[i]
		id, t := c.task(m, &a.Run)
		if t == nil {
			c.stopStray(m, &a.Run)
			continue
		}
		runs[id] = true
	}
	for _, id := range append([]model.TaskID(nil), w.Held...) {
		if _, t := c.l.task(id); t != nil && !c.ending(m, id) {
			c.settle(m, sent, id, t, runs[id])
		}
	}
}

// ending reports whether an end of the task is on its way to be committed.
func (c *crew) ending(m *calledWorker, id model.TaskID) bool {
	for i := range c.reports {
		if c.reports[i].Worker != m.to.Worker {
			continue
		}
		for _, r := range c.reports[i].Reports {
			if r.Task == id && r.State != api.ReportStarted {
				return true
			}
		}
	}
	return m.orders[id] == nil && c.inFlight > 0
}

// settle brings one held task in step with whether the worker runs it.
func (c *crew) settle(m *calledWorker, sent model.Time, id model.TaskID, t *state.Task, runs bool) {
	o := m.orders[id]
	if o != nil && o.sending.Open() {
		return
	}
	known := o == nil || o.confirmed != 0 && o.confirmed < sent
	switch {
	case t.Phase == model.TaskStarting && runs:
		if o == nil || o.confirmed == 0 {
			c.confirm(m, id, t)
		}
	case t.Phase == model.TaskStarting:
		if o == nil || o.confirmed == 0 {
			c.startAgain(m, id, o, t)
		}
	case t.Phase == model.TaskRunning && !runs && known && t.Since < sent:
		c.l.c.log.Warn("Worker no longer runs a task.", "task", id, "attempt", t.Attempt, "worker", m.to.Worker)
		c.note(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportLapsed})
	case t.Phase == model.TaskStopping && !runs && o != nil && o.stop && known:
		c.note(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStopped})
	case t.Phase == model.TaskStopping && (o == nil || o.confirmed == 0):
		c.order(m, id)
	}
}

// startAgain deals with a start that the worker has not carried out. The list was
// asked for under the fence of this leader, so that a start of an earlier one
// that is still on its way never takes effect.
func (c *crew) startAgain(m *calledWorker, id model.TaskID, o *order, t *state.Task) {
	_, permitted := c.l.policy.token(id.Job, m.to.Worker)
	if !permitted && c.inherited(t) && (o == nil || !o.doubtful) {
		c.notStarted(m, id, t, noPermit)
		return
	}
	c.order(m, id)
}

// confirm takes in that a start without an answer was carried out.
func (c *crew) confirm(m *calledWorker, id model.TaskID, t *state.Task) {
	m.orders[id] = &order{attempt: t.Attempt, confirmed: c.l.c.s.now()}
	c.note(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStarted})
}

// stopStray stops a run that the state does not hold on the worker.
func (c *crew) stopStray(m *calledWorker, r *courier.Run) {
	c.l.c.log.Info("Run is stopped that the state does not hold here.", m.fields(r)...)
	req := &courier.Stop{Run: *r, Fence: c.l.term}
	c.call(m, func(ctx context.Context, caller courier.Caller) courier.Answer {
		return caller.Stop(ctx, m.to, req)
	}, func(courier.Answer) {})
}
