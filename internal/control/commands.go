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

// sendTaskCommand sends a start or a stop to a worker after its commit.
func (l *leader) sendTaskCommand(e *state.TaskChanged) {
	if e.To != model.TaskStarting && e.To != model.TaskStopping {
		return
	}
	if cmd, ok := l.commandFor(e.Task); ok {
		l.send(e.Worker, []api.Command{cmd})
	}
}

// commandFor returns the command that the phase of a task requires.
func (l *leader) commandFor(id model.TaskID) (api.Command, bool) {
	j, t := l.task(id)
	if t == nil {
		return api.Command{}, false
	}
	switch t.Phase {
	case model.TaskStarting:
		if l.evacuatedWorker(l.c.machine.TaskWorker(t)) {
			l.c.s.metrics.startsWithheld.Inc()
			return api.Command{}, false // it is revoked
		}
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

// payloadOf returns the payload of a job's tasks; that of a step is stored with its
// workflow.
func (l *leader) payloadOf(j *state.Job) string {
	if j.Step == nil {
		return j.Spec.Payload
	}
	if w := l.c.machine.Workflow(j.Step.Workflow); w != nil {
		return w.Spec.Payload
	}
	return ""
}

// task returns a task and its job, or a nil task if the job is unknown or has
// finished.
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

// send sends commands to the entry that holds the worker's session. Lost commands are
// sent again with a later renewal.
func (l *leader) send(id model.WorkerID, cmds []api.Command) {
	at, ok := l.sessions[id]
	if !ok || at.entry == "" {
		return // polled workers have no session at an entry
	}
	msg := &proto.Commands{Worker: id, Session: at.session, Commands: cmds}
	if err := wire.Post(l.c.s.opts.Endpoint, at.entry, wire.KindCommands, msg); err != nil {
		l.c.log.Debug("Commands were not sent; a later renewal resends them.", "worker", id, "err", err)
	}
}

// resendAfter is how old an unconfirmed command must be to be sent again through the
// same entry: until then the worker's report may only be delayed.
const resendAfter = time.Second

// resend sends a worker's unconfirmed commands again: all of them if its session has
// moved to another entry, else those older than resendAfter.
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
