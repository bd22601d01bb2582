package control

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// taskChanged sends the command that a committed change of a task requires.
func (p *polledWorkers) taskChanged(e *state.TaskChanged) {
	pw := p.workers[e.Worker]
	if pw == nil {
		return
	}
	switch e.To {
	case model.TaskStarting, model.TaskStopping:
		p.sendCommand(pw, e.Task)
	case model.TaskRunning:
	default:
		delete(pw.commands, e.Task)
	}
}

// sendCommand sends the command that the phase of a task requires, unless it is in
// flight or the attempt has ended. A stop does not wait for the response to a start,
// since it keeps the start from taking effect.
func (p *polledWorkers) sendCommand(pw *polledWorker, id model.TaskID) {
	j, t := p.l.task(id)
	if t == nil || j.Step == nil || !p.current(pw) || p.isEnding(pw, id) {
		return
	}
	cmd := pw.commands[id]
	if cmd == nil || cmd.attempt != t.Attempt {
		cmd = &workerCommand{attempt: t.Attempt}
		pw.commands[id] = cmd
	}
	if cmd.dispatch.InFlight() && (cmd.isStop || t.Phase != model.TaskStopping) {
		return
	}
	switch t.Phase {
	case model.TaskStarting:
		if cmd.confirmedAt == 0 {
			p.sendStart(pw, id, cmd, j, t)
		}
	case model.TaskStopping:
		p.sendStop(pw, id, cmd, j, t)
	}
}

// attemptOf returns the current attempt of a task, as identified to its worker.
func (p *polledWorkers) attemptOf(id model.TaskID, j *state.Job, t *state.Task) workerclient.Attempt {
	return p.l.attemptName(j, id.Index, t.Attempt)
}

func (l *leader) attemptName(j *state.Job, index int32, number uint32) workerclient.Attempt {
	name := l.stepName(j)
	name.Index = index
	return workerclient.Attempt{Task: name, Number: number}
}

// stepName returns the step that a job runs, as identified to workers and to the
// policy service.
func (l *leader) stepName(j *state.Job) workerclient.TaskName {
	name := workerclient.TaskName{Workflow: j.Step.Workflow, Step: j.Step.Step}
	if w := l.c.machine.Workflow(j.Step.Workflow); w != nil {
		name.Workflow, name.Run = w.Spec.ID, w.Run
	}
	return name
}

func (p *polledWorkers) sendStart(pw *polledWorker, id model.TaskID, cmd *workerCommand, j *state.Job, t *state.Task) {
	until := p.grant(pw)
	if until == 0 {
		return // the next poll response brings the clock, and the start is sent after it
	}
	permit, permitted := p.l.policy.token(id.Job, pw.target.Worker)
	if !permitted {
		p.startWithoutPermit(pw, id, cmd, t)
		return
	}
	if reason := p.startBarred(pw, j); reason != "" {
		p.dropStart(pw, id, cmd, t, reason)
		return
	}
	req := &workerclient.StartCommand{
		Attempt:    p.attemptOf(id, j, t),
		Payload:    p.l.payloadOf(j),
		Fence:      p.startFence(pw),
		LeaseUntil: until,
		Checkpoint: j.Checkpoint(id.Index),
		Permit:     permit,
	}
	if p.logsStart(&req.Attempt, t) {
		more := append(p.earlierAttempt(id, t), "size", t.Size, "fence", req.Fence, "lease_until", until,
			"checkpoint", req.Checkpoint != "", "again", cmd.maybeStarted, "placed", position(t.Fence))
		p.l.c.log.Info("Start is sent.", pw.fields(&req.Attempt, more...)...)
	}
	cmd.isStop = false
	p.dispatch(pw, id, cmd, &commandCall{
		name:    commandStart,
		attempt: req.Attempt,
		send: func(ctx context.Context, client workerclient.Client, to workerclient.Target) workerclient.Response {
			return client.Start(ctx, to, req)
		},
		onResponse: func(resp workerclient.Response) { p.startAnswered(pw, id, cmd, &req.Attempt, resp) },
	})
}

func (p *polledWorkers) sendStop(pw *polledWorker, id model.TaskID, cmd *workerCommand, j *state.Job, t *state.Task) {
	req := &workerclient.StopCommand{Attempt: p.attemptOf(id, j, t), Fence: pw.fence}
	p.l.c.log.Info("Stop is sent.", pw.fields(&req.Attempt, "cause", t.Stop, "fence", req.Fence)...)
	cmd.isStop, cmd.confirmedAt = true, 0
	p.dispatch(pw, id, cmd, &commandCall{
		name:    commandStop,
		attempt: req.Attempt,
		send: func(ctx context.Context, client workerclient.Client, to workerclient.Target) workerclient.Response {
			return client.Stop(ctx, to, req)
		},
		onResponse: func(resp workerclient.Response) { p.stopAnswered(cmd, resp) },
	})
}

// sendFunc makes the call of a command.
type sendFunc func(context.Context, workerclient.Client, workerclient.Target) workerclient.Response

// commandCall is a command that is sent at most twice until the worker responds.
type commandCall struct {
	name       string // in metrics and logs
	attempt    workerclient.Attempt
	send       sendFunc
	onResponse func(workerclient.Response)
}

// dispatch sends a command, and sends it again if the worker does not respond within
// the time that responses take now.
func (p *polledWorkers) dispatch(pw *polledWorker, id model.TaskID, cmd *workerCommand, call *commandCall) {
	if cmd.repeatTimer != nil {
		cmd.repeatTimer.Stop()
	}
	round := cmd.dispatch.Begin()
	send := func(to workerclient.Target) {
		sentAt := p.l.c.s.now()
		cmd.sent++
		if call.name == commandStart {
			cmd.calls.Begin()
		}
		p.call(pw, to, call.send, func(resp workerclient.Response) {
			p.countCommand(call.name, resp)
			p.logLateResponse(pw, call, sentAt, &resp)
			cmd.last = &resp
			if call.name == commandStart {
				cmd.calls.End(&pw.clock, &resp, sentAt, p.l.c.s.now())
				p.recordBroken(pw, id, cmd, resp)
			}
			if p.isCurrent(pw, id, cmd) && cmd.dispatch.End(round, resp.Verdict) {
				cmd.repeatTimer.Stop()
				call.onResponse(resp)
			}
			p.confirmAccepted(pw, id, cmd)
			p.pollPostponed(pw)
		})
	}
	send(pw.target)
	cmd.repeatTimer = p.after(p.responses.Timeout(commandRepeatAfter, maxRepeatAfter), func() {
		if _, err := p.l.c.leading(); err != nil || pw.replaced || !p.isCurrent(pw, id, cmd) || p.withholdsRepeat(pw, call) || !cmd.dispatch.Repeat(round) {
			return
		}
		p.l.c.log.Info("Command is sent a second time.", pw.fields(&call.attempt, "order", call.name)...)
		cmd.maybeStarted = true
		send(pw.target.Repeated())
	})
}

// isCurrent reports whether cmd is still the command for the task and pw is still the
// polled incarnation of its worker.
func (p *polledWorkers) isCurrent(pw *polledWorker, id model.TaskID, cmd *workerCommand) bool {
	return p.current(pw) && pw.commands[id] == cmd
}

// The commands, as metrics name them.
const (
	commandStart = "start"
	commandStop  = "stop"
)

func (p *polledWorkers) countCommand(command string, resp workerclient.Response) {
	p.l.c.s.metrics.commands.WithLabelValues(command, resp.Verdict.String()).Inc()
}

// call sends one command outside of the control goroutine, then records the worker's
// clock and handles the response in it.
func (p *polledWorkers) call(pw *polledWorker, to workerclient.Target, send sendFunc, onResponse func(workerclient.Response)) {
	s := p.l.c.s
	sentAt := s.clock()
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, commandTimeout)
		defer cancel()
		resp := send(ctx, s.opts.WorkerClient, to)
		s.post(workCommands, func(*core) {
			if resp.Verdict != workerclient.Unknown {
				p.responses.Observe(s.clock() - sentAt)
			}
			pw.clock.ObserveCommand(resp.Clock, s.now())
			onResponse(resp)
		})
	}()
}

// startAnswered handles the response to a start.
func (p *polledWorkers) startAnswered(pw *polledWorker, id model.TaskID, cmd *workerCommand, attempt *workerclient.Attempt, resp workerclient.Response) {
	_, t := p.currentTask(pw, attempt)
	if t == nil {
		return
	}
	if t.Phase == model.TaskStopping {
		p.sendCommand(pw, id)
		return
	}
	if resp.Verdict != workerclient.Accepted {
		p.l.c.log.Info("Start was not confirmed.", pw.fields(attempt, "verdict", resp.Verdict, "reason", resp.Reason)...)
	}
	switch resp.Verdict {
	case workerclient.Accepted:
		pw.refusals.Accepted()
		cmd.accepted = true // and confirmed once no other incarnation can have accepted it
		cmd.maybeStarted = true
	case workerclient.NoPermit:
		p.l.policy.invalidate(id.Job, pw.target.Worker)
		p.startRefused(pw, id, cmd, t, resp)
	case workerclient.Unavailable:
		p.pauseWorker(pw, resp)
		p.startRefused(pw, id, cmd, t, resp)
	case workerclient.Refused:
		p.startRefused(pw, id, cmd, t, resp)
	case workerclient.Outdated:
		p.revokeStart(id, resp.Reason)
	case workerclient.Unknown:
		p.startUnanswered(pw, id, cmd, t, resp)
	}
}

// startUnanswered sends a start again whose call had no response, since starts are
// idempotent. If the worker got nothing of any call, the task becomes pending again. A worker
// to which nothing could be sent may have no connection left although it answers polls.
func (p *polledWorkers) startUnanswered(pw *polledWorker, id model.TaskID, cmd *workerCommand, t *state.Task, resp workerclient.Response) {
	if resp.NotSent {
		p.pauseWorker(pw, resp)
	}
	if resp.NotSent && !cmd.maybeStarted && !cmd.calls.MayBeExecuted() && !p.inherited(t) {
		p.release(pw, id, t, &release{basis: basisNotSent, state: api.ReportStopped, reason: resp.Reason})
		return
	}
	cmd.maybeStarted, cmd.unansweredAt = true, p.l.c.s.now()
	p.after(startRetryAfter, func() { p.sendCommand(pw, id) })
}

// startRefused makes the task of a refused start pending again. If an earlier call had
// no response, the worker may still execute it, so the attempt is stopped first.
func (p *polledWorkers) startRefused(pw *polledWorker, id model.TaskID, cmd *workerCommand, t *state.Task, resp workerclient.Response) {
	if cmd.maybeStarted {
		p.revokeStart(id, resp.Reason)
		return
	}
	p.release(pw, id, t, &release{basis: basisRefused, state: api.ReportStopped, reason: resp.Reason})
}

// startWithoutPermit handles a start whose permit has expired or is not known. A start
// that was never sent is reported as not executed at once. For one that an earlier
// leader may have sent, the next poll response shows whether it was.
func (p *polledWorkers) startWithoutPermit(pw *polledWorker, id model.TaskID, cmd *workerCommand, t *state.Task) {
	switch {
	case cmd.maybeStarted:
		p.revokeStart(id, noPermit)
	case !p.inherited(t):
		p.release(pw, id, t, &release{basis: basisNotSent, state: api.ReportStopped, reason: noPermit})
	}
}

const noPermit = "the permit has ended or is not known"

// inherited reports whether an earlier leader placed the attempt.
func (p *polledWorkers) inherited(t *state.Task) bool { return t.Fence.Term < p.l.term }

// revokeStart proposes the stop of a start that may have been executed without a
// response. The task becomes pending again once the worker has confirmed the stop.
func (p *polledWorkers) revokeStart(id model.TaskID, reason string) {
	cmd := &state.Stop{Tasks: []state.TaskStop{{Task: id, Cause: state.StopPreempted, Reason: reason}}}
	p.l.c.propose(&state.Command{Stop: cmd}, func(state.Result, error) {})
}

// stopAnswered handles the response to a stop. The end of the attempt arrives with a
// poll response.
func (p *polledWorkers) stopAnswered(cmd *workerCommand, resp workerclient.Response) {
	if resp.Verdict == workerclient.Accepted {
		cmd.confirmedAt = p.l.c.s.now()
	}
}

// reconcile compares the attempts that run on a worker with the tasks that it holds in
// the state. The response does not reflect commands sent after the poll.
func (p *polledWorkers) reconcile(pw *polledWorker, poll *sentPoll, resp *workerclient.PollResponse) {
	w := p.l.c.machine.Worker(pw.target.Worker)
	if w == nil {
		return
	}
	p.logFirstAnswer(pw, w, poll, resp)
	running := make(map[model.TaskID]bool, len(resp.Active))
	for i := range resp.Active {
		a := &resp.Active[i]
		id, t := p.currentTask(pw, &a.Attempt)
		if t == nil {
			p.stopUnknown(pw, &a.Attempt)
			continue
		}
		running[id] = true
		p.reportSettled(pw, poll.sentAt, id, t)
	}
	for _, id := range append([]model.TaskID(nil), w.Held...) {
		if _, t := p.l.task(id); t != nil && !p.isEnding(pw, id) {
			p.reconcileTask(pw, &polledView{poll, resp, running[id]}, id, t)
		}
	}
	p.reconcileEnding(pw, w, poll, resp)
}

// polledView is what a poll tells about one task.
type polledView struct {
	poll    *sentPoll
	resp    *workerclient.PollResponse
	running bool
}

// reconcileTask reconciles one task that the worker holds with what a poll tells.
func (p *polledWorkers) reconcileTask(pw *polledWorker, view *polledView, id model.TaskID, t *state.Task) {
	cmd := pw.commands[id]
	if cmd != nil && cmd.dispatch.InFlight() {
		return
	}
	sentAt := view.poll.sentAt
	conclusive := !view.resp.MoreEnds && (cmd == nil || cmd.confirmedAt != 0 && cmd.confirmedAt < sentAt)
	switch {
	case t.Phase == model.TaskStarting && view.running:
		if cmd == nil || cmd.confirmedAt == 0 && !cmd.calls.MayBeMisdirected(pw.answeredAt) {
			p.confirmStart(pw, id, t)
		}
	case t.Phase == model.TaskStarting:
		if !view.resp.MoreEnds && (cmd == nil || cmd.confirmedAt == 0) {
			p.resendStart(pw, view, id, cmd, t)
		}
	case t.Phase == model.TaskRunning && !view.running && conclusive && t.Since < sentAt:
		p.release(pw, id, t, &release{basis: basisNotRunning, state: api.ReportLapsed, view: view})
	case t.Phase == model.TaskStopping && !view.running && cmd != nil && cmd.isStop && conclusive:
		p.release(pw, id, t, &release{basis: basisStopped, state: api.ReportStopped, view: view})
	case t.Phase == model.TaskStopping && (cmd == nil || cmd.confirmedAt == 0):
		p.sendCommand(pw, id)
	}
}

// resendStart handles a start that the worker has not executed. The poll carried the
// fence of this leader, so a start of an earlier leader that is still in flight never
// takes effect.
func (p *polledWorkers) resendStart(pw *polledWorker, view *polledView, id model.TaskID, cmd *workerCommand, t *state.Task) {
	_, permitted := p.l.policy.token(id.Job, pw.target.Worker)
	maybeStarted := cmd != nil && cmd.maybeStarted
	barred := p.startBarred(pw, p.l.c.machine.Job(id.Job))
	switch {
	case !permitted && p.inherited(t) && !maybeStarted:
		p.release(pw, id, t, &release{basis: basisNotExecuted, state: api.ReportStopped, reason: noPermit, view: view})
	case permitted && barred != "":
		p.withdrawStart(pw, view, id, cmd, t, barred)
	default:
		p.sendCommand(pw, id)
	}
}

// confirmAccepted records that a start was executed, once all of its calls are answered by
// the incarnation that they were sent to.
func (p *polledWorkers) confirmAccepted(pw *polledWorker, id model.TaskID, cmd *workerCommand) {
	if !cmd.accepted || cmd.confirmedAt != 0 || cmd.calls.MayBeMisdirected(pw.answeredAt) || !p.isCurrent(pw, id, cmd) {
		return
	}
	if _, t := p.l.task(id); t != nil && t.Phase == model.TaskStarting && t.Attempt == cmd.attempt && !p.isEnding(pw, id) {
		cmd.confirmedAt = p.l.c.s.now()
		p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: api.ReportStarted})
	}
}

// confirmStart records that a start without a response was executed.
func (p *polledWorkers) confirmStart(pw *polledWorker, id model.TaskID, t *state.Task) {
	pw.commands[id] = &workerCommand{attempt: t.Attempt, maybeStarted: true, confirmedAt: p.l.c.s.now()}
	p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: api.ReportStarted})
}

// stopUnknown stops an attempt that runs on the worker but not in the state.
func (p *polledWorkers) stopUnknown(pw *polledWorker, attempt *workerclient.Attempt) {
	p.logUnknown(pw, attempt)
	req := &workerclient.StopCommand{Attempt: *attempt, Fence: pw.fence}
	p.call(pw, pw.target, func(ctx context.Context, client workerclient.Client, to workerclient.Target) workerclient.Response {
		return client.Stop(ctx, to, req)
	}, func(workerclient.Response) {})
}
