package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// sendTaskCommand tells a worker of a start or a stop, after its commit.
func (l *leader) sendTaskCommand(e *state.TaskChanged) {
	if e.To != model.TaskStarting && e.To != model.TaskStopping {
		return
	}
	if cmd, ok := l.commandFor(e.Task); ok {
		l.send(e.Worker, []api.Command{cmd})
	}
}

// commandFor returns the order that a task's phase calls for.
func (l *leader) commandFor(id model.TaskID) (api.Command, bool) {
	j, t := l.task(id)
	if t == nil {
		return api.Command{}, false
	}
	switch t.Phase {
	case model.TaskStarting:
		return api.Command{
			Op:      api.CommandStart,
			Task:    id,
			Fence:   t.Fence,
			Size:    t.Size,
			Service: j.Spec.Service,
			Payload: l.payloadOf(j),
		}, true
	case model.TaskStopping:
		return api.Command{Op: stopOp(j, t), Task: id, Fence: t.Fence, Reason: t.Stop.String()}, true
	}
	return api.Command{}, false
}

// payloadOf returns what the tasks of a job are given; a step's is kept with
// its workflow.
func (l *leader) payloadOf(j *state.Job) string {
	if j.Step == nil {
		return j.Spec.Payload
	}
	if w := l.c.machine.Workflow(j.Step.Workflow); w != nil {
		return w.Spec.Payload
	}
	return ""
}

// task returns a task of a job that has not finished, or nil.
func (l *leader) task(id model.TaskID) (*state.Job, *state.Task) {
	j := l.c.machine.Job(id.Job)
	if j == nil {
		return nil, nil
	}
	return j, j.Task(id.Index)
}

func stopOp(j *state.Job, t *state.Task) api.CommandOp {
	if j.Spec.Checkpointable && (t.Stop == state.StopPreempted || t.Stop == state.StopDrained) {
		return api.CommandCheckpoint
	}
	return api.CommandStop
}

// send passes orders to the entry that holds the worker's session. Orders that
// get lost are sent again with a later renewal.
func (l *leader) send(id model.WorkerID, cmds []api.Command) {
	at, ok := l.sessions[id]
	if !ok || at.entry == "" {
		return // called workers have no session at an entry
	}
	msg := &proto.Commands{Worker: id, Session: at.session, Commands: cmds}
	if err := wire.Post(l.c.s.opts.Endpoint, at.entry, wire.KindCommands, msg); err != nil {
		l.c.log.Debug("Commands not sent, a renewal will repeat them.", "worker", id, "err", err)
	}
}

// resendAfter is how old an unconfirmed start must be to be sent again over
// the same entry, which may only be waiting for the worker's report.
const resendAfter = time.Second

// resend sends the orders of a worker that no report has confirmed: all of them
// where its session has moved, else those that seem to have been lost.
func (l *leader) resend(w *state.Worker, all bool) {
	before := l.c.s.now().Add(-resendAfter)
	var cmds []api.Command
	for _, id := range w.Held {
		_, t := l.task(id)
		if t == nil || (!all && t.Since > before) {
			continue
		}
		if cmd, ok := l.commandFor(id); ok {
			cmds = append(cmds, cmd)
		}
	}
	if len(cmds) > 0 {
		l.send(w.Spec.ID, cmds)
	}
}

func (l *leader) sendThrottles(throttles []schedule.Throttle) {
	for _, t := range throttles {
		if _, held := l.task(t.Task); held != nil {
			l.send(t.Worker, []api.Command{{Op: api.CommandThrottle, Task: t.Task, Fence: held.Fence, Size: t.Size}})
		}
	}
}
