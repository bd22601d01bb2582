package control

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// taskChanged sends the order that a committed change calls for.
func (c *polledWorkers) taskChanged(e *state.TaskChanged) {
	m := c.workers[e.Worker]
	if m == nil {
		return
	}
	switch e.To {
	case model.TaskStarting, model.TaskStopping:
		c.sendCommand(m, e.Task)
	case model.TaskRunning:
	default:
		delete(m.commands, e.Task)
	}
}

// order sends what the phase of a task calls for, unless a call for it is on its
// way. A stop does not wait for the answer to a start, which it keeps from taking
// effect.
func (c *polledWorkers) sendCommand(m *polledWorker, id model.TaskID) {
	j, t := c.l.task(id)
	if t == nil || j.Step == nil || !c.current(m) {
		return
	}
	cmd := m.commands[id]
	if cmd == nil || cmd.attempt != t.Attempt {
		cmd = &workerCommand{attempt: t.Attempt}
		m.commands[id] = cmd
	}
	if cmd.dispatch.InFlight() && (cmd.isStop || t.Phase != model.TaskStopping) {
		return
	}
	switch t.Phase {
	case model.TaskStarting:
		if cmd.confirmedAt == 0 {
			c.sendStart(m, id, cmd, j, t)
		}
	case model.TaskStopping:
		c.sendStop(m, id, cmd, j, t)
	}
}

// attemptOf names the current attempt of a task towards its worker.
func (c *polledWorkers) attemptOf(id model.TaskID, j *state.Job, t *state.Task) courier.Attempt {
	name := c.l.stepName(j)
	name.Index = id.Index
	return courier.Attempt{Task: name, Number: t.Attempt}
}

// stepName names the step that a job runs towards workers and the policy service.
func (l *leader) stepName(j *state.Job) courier.TaskName {
	name := courier.TaskName{Workflow: j.Step.Workflow, Step: j.Step.Step}
	if w := l.c.machine.Workflow(j.Step.Workflow); w != nil {
		name.Workflow, name.Run = w.Spec.ID, w.Run
	}
	return name
}

func (c *polledWorkers) sendStart(m *polledWorker, id model.TaskID, cmd *workerCommand, j *state.Job, t *state.Task) {
	until := c.grant(m)
	if until == 0 {
		return // the next list of the worker brings its clock, and the order with it
	}
	permit, permitted := c.l.policy.token(id.Job, m.target.Worker)
	if !permitted {
		c.startWithoutPermit(m, id, cmd, t)
		return
	}
	req := &courier.StartCommand{
		Attempt:    c.attemptOf(id, j, t),
		Payload:    c.l.payloadOf(j),
		Fence:      c.l.term,
		LeaseUntil: until,
		Checkpoint: j.Checkpoint(id.Index),
		Permit:     permit,
	}
	c.l.c.log.Info("Start is sent.", m.fields(&req.Attempt, "size", t.Size, "fence", req.Fence, "lease_until", until,
		"checkpoint", req.Checkpoint != "", "again", cmd.maybeStarted)...)
	cmd.isStop = false
	c.dispatch(m, id, cmd, &commandCall{
		name:    commandStart,
		attempt: req.Attempt,
		send: func(ctx context.Context, caller courier.Client) courier.Response {
			return caller.Start(ctx, m.target, req)
		},
		onResponse: func(a courier.Response) { c.startAnswered(m, id, cmd, &req.Attempt, a) },
	})
}

func (c *polledWorkers) sendStop(m *polledWorker, id model.TaskID, cmd *workerCommand, j *state.Job, t *state.Task) {
	req := &courier.StopCommand{Attempt: c.attemptOf(id, j, t), Fence: c.l.term}
	c.l.c.log.Info("Stop is sent.", m.fields(&req.Attempt, "cause", t.Stop, "fence", req.Fence)...)
	cmd.isStop, cmd.confirmedAt = true, 0
	c.dispatch(m, id, cmd, &commandCall{
		name:    commandStop,
		attempt: req.Attempt,
		send: func(ctx context.Context, caller courier.Client) courier.Response {
			return caller.Stop(ctx, m.target, req)
		},
		onResponse: func(a courier.Response) { c.stopAnswered(cmd, a) },
	})
}

// delivery is an order that is sent until it has an answer.
type commandCall struct {
	name       string // for metrics and logs
	attempt    courier.Attempt
	send       func(context.Context, courier.Client) courier.Response
	onResponse func(courier.Response)
}

// deliver sends an order, and a second time where no answer comes soon.
func (c *polledWorkers) dispatch(m *polledWorker, id model.TaskID, cmd *workerCommand, call *commandCall) {
	if cmd.repeatTimer != nil {
		cmd.repeatTimer.Stop()
	}
	round := cmd.dispatch.Begin()
	send := func() {
		c.call(m, call.send, func(a courier.Response) {
			c.countCommand(call.name, a)
			if c.isCurrent(m, id, cmd) && cmd.dispatch.End(round, a.Verdict) {
				cmd.repeatTimer.Stop()
				call.onResponse(a)
			}
		})
	}
	send()
	cmd.repeatTimer = c.after(commandRepeatAfter, func() {
		if _, err := c.l.c.leading(); err != nil || !c.isCurrent(m, id, cmd) || !cmd.dispatch.Repeat(round) {
			return
		}
		c.l.c.log.Info("Order is sent a second time.", m.fields(&call.attempt, "order", call.name)...)
		cmd.maybeStarted = true
		send()
	})
}

// newest reports whether an order is still the one for a task of a worker that
// is called.
func (c *polledWorkers) isCurrent(m *polledWorker, id model.TaskID, cmd *workerCommand) bool {
	return c.current(m) && m.commands[id] == cmd
}

// The orders, as metrics name them.
const (
	commandStart = "start"
	commandStop  = "stop"
)

func (c *polledWorkers) countCommand(command string, a courier.Response) {
	c.l.c.s.metrics.commands.WithLabelValues(command, a.Verdict.String()).Inc()
}

// call runs one order outside of the control goroutine, and inside takes in the
// worker's clock and the answer.
func (c *polledWorkers) call(m *polledWorker, send func(context.Context, courier.Client) courier.Response, onResponse func(courier.Response)) {
	s := c.l.c.s
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
		defer cancel()
		a := send(ctx, s.opts.WorkerClient)
		s.post(func(*core) {
			m.clock.Observe(a.Clock, s.now())
			onResponse(a)
		})
	}()
}

// started takes in the answer to a start.
func (c *polledWorkers) startAnswered(m *polledWorker, id model.TaskID, cmd *workerCommand, attempt *courier.Attempt, a courier.Response) {
	_, t := c.currentTask(m, attempt)
	if t == nil {
		return
	}
	if t.Phase == model.TaskStopping {
		c.sendCommand(m, id)
		return
	}
	if a.Verdict != courier.Accepted {
		c.l.c.log.Info("Start not confirmed.", m.fields(attempt, "verdict", a.Verdict, "reason", a.Reason)...)
	}
	switch a.Verdict {
	case courier.Accepted:
		cmd.confirmedAt = c.l.c.s.now()
		c.addReport(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStarted})
	case courier.NoPermit:
		c.l.policy.invalidate(id.Job, m.target.Worker)
		c.startRefused(m, id, cmd, t, a)
	case courier.Refused:
		c.startRefused(m, id, cmd, t, a)
	case courier.Outdated:
		c.revokeStart(id, a.Reason)
	case courier.Unknown:
		cmd.maybeStarted = true
		c.after(startRetryAfter, func() { c.sendCommand(m, id) }) // a run that is there already is no error
	}
}

// refused takes back a start that was not carried out. Where an earlier try had
// no answer, that one may still be: the run is stopped first.
func (c *polledWorkers) startRefused(m *polledWorker, id model.TaskID, cmd *workerCommand, t *state.Task, a courier.Response) {
	if cmd.maybeStarted {
		c.revokeStart(id, a.Reason)
		return
	}
	c.reportNotStarted(m, id, t, a.Reason)
}

// notStarted notes that a start was not carried out and never will be: the task
// waits again.
func (c *polledWorkers) reportNotStarted(m *polledWorker, id model.TaskID, t *state.Task, reason string) {
	c.addReport(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStopped, Reason: reason})
}

// unpermitted deals with a task whose permit has ended or is not known. A start
// that was never sent is taken back at once; of one that an earlier leader may
// have sent, the next list tells.
func (c *polledWorkers) startWithoutPermit(m *polledWorker, id model.TaskID, cmd *workerCommand, t *state.Task) {
	switch {
	case cmd.maybeStarted:
		c.revokeStart(id, noPermit)
	case !c.inherited(t):
		c.reportNotStarted(m, id, t, noPermit)
	}
}

const noPermit = "the permit has ended or is not known"

// inherited reports whether an earlier leader placed the attempt.
func (c *polledWorkers) inherited(t *state.Task) bool { return t.Fence.Term < c.l.term }

// withdraw stops a start that may have been sent without an answer. The task
// waits again once the worker has confirmed that.
func (c *polledWorkers) revokeStart(id model.TaskID, reason string) {
	cmd := &state.Stop{Tasks: []state.TaskStop{{Task: id, Cause: state.StopPreempted, Reason: reason}}}
	c.l.c.propose(&state.Command{Stop: cmd}, func(state.Result, error) {})
}

// stopped takes in the answer to a stop. The end comes with a list.
func (c *polledWorkers) stopAnswered(cmd *workerCommand, a courier.Response) {
	if a.Verdict == courier.Accepted {
		cmd.confirmedAt = c.l.c.s.now()
	}
}

// reconcile compares what a worker runs with what the state holds there. Sent
// is when the list was asked for: it says nothing of later orders.
func (c *polledWorkers) reconcile(m *polledWorker, sent model.Time, resp *courier.PollResponse) {
	w := c.l.c.machine.Worker(m.target.Worker)
	if w == nil {
		return
	}
	runs := make(map[model.TaskID]bool, len(resp.Active))
	for i := range resp.Active {
		a := &resp.Active[i]
		id, t := c.currentTask(m, &a.Attempt)
		if t == nil {
			c.stopUnknown(m, &a.Attempt)
			continue
		}
		runs[id] = true
	}
	for _, id := range append([]model.TaskID(nil), w.Held...) {
		if _, t := c.l.task(id); t != nil && !c.endInFlight(m, id) {
			c.reconcileTask(m, sent, id, t, runs[id])
		}
	}
}

// ending reports whether an end of the task is on its way to be committed.
func (c *polledWorkers) endInFlight(m *polledWorker, id model.TaskID) bool {
	for i := range c.reports {
		if c.reports[i].Worker != m.target.Worker {
			continue
		}
		for _, r := range c.reports[i].Reports {
			if r.Task == id && r.State != api.ReportStarted {
				return true
			}
		}
	}
	return m.commands[id] == nil && c.reportsInFlight > 0
}

// settle brings one held task in step with whether the worker runs it.
func (c *polledWorkers) reconcileTask(m *polledWorker, sent model.Time, id model.TaskID, t *state.Task, runs bool) {
	cmd := m.commands[id]
	if cmd != nil && cmd.dispatch.InFlight() {
		return
	}
	known := cmd == nil || cmd.confirmedAt != 0 && cmd.confirmedAt < sent
	switch {
	case t.Phase == model.TaskStarting && runs:
		if cmd == nil || cmd.confirmedAt == 0 {
			c.confirmStart(m, id, t)
		}
	case t.Phase == model.TaskStarting:
		if cmd == nil || cmd.confirmedAt == 0 {
			c.resendStart(m, id, cmd, t)
		}
	case t.Phase == model.TaskRunning && !runs && known && t.Since < sent:
		c.l.c.log.Warn("Worker no longer runs a task.", "task", id, "attempt", t.Attempt, "worker", m.target.Worker)
		c.addReport(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportLapsed})
	case t.Phase == model.TaskStopping && !runs && cmd != nil && cmd.isStop && known:
		c.addReport(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStopped})
	case t.Phase == model.TaskStopping && (cmd == nil || cmd.confirmedAt == 0):
		c.sendCommand(m, id)
	}
}

// resendStart deals with a start that the worker has not carried out. The list was
// asked for under the fence of this leader, so that a start of an earlier one
// that is still on its way never takes effect.
func (c *polledWorkers) resendStart(m *polledWorker, id model.TaskID, cmd *workerCommand, t *state.Task) {
	_, permitted := c.l.policy.token(id.Job, m.target.Worker)
	if !permitted && c.inherited(t) && (cmd == nil || !cmd.maybeStarted) {
		c.reportNotStarted(m, id, t, noPermit)
		return
	}
	c.sendCommand(m, id)
}

// confirm takes in that a start without an answer was carried out.
func (c *polledWorkers) confirmStart(m *polledWorker, id model.TaskID, t *state.Task) {
	m.commands[id] = &workerCommand{attempt: t.Attempt, confirmedAt: c.l.c.s.now()}
	c.addReport(m, api.Report{Task: id, Fence: t.Fence, State: api.ReportStarted})
}

// stopUnknown stops a run that the state does not hold on the worker.
func (c *polledWorkers) stopUnknown(m *polledWorker, r *courier.Attempt) {
	c.l.c.log.Info("Run is stopped that the state does not hold here.", m.fields(r)...)
	req := &courier.StopCommand{Attempt: *r, Fence: c.l.term}
	c.call(m, func(ctx context.Context, caller courier.Client) courier.Response {
		return caller.Stop(ctx, m.target, req)
	}, func(courier.Response) {})
}
