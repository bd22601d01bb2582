package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// pendingCommand is the newest command for one task that no report has
// acknowledged.
type pendingCommand struct {
	cmd      api.Command
	seq      uint64    // order of arrival, in which commands are sent
	sentAt   time.Time // zero: not sent yet
	heardAt  time.Time // when the leader last delivered it
	throttle *api.Command
}

// pendingCommands holds the unacknowledged commands of one session.
type pendingCommands struct {
	byTask  map[model.TaskID]*pendingCommand
	lastSeq uint64
}

// precedence orders commands with the same fence: one with a higher precedence
// replaces one with a lower precedence, never the reverse.
func precedence(op api.CommandOp) int {
	switch op {
	case api.CommandStart:
		return 1
	case api.CommandCheckpoint:
		return 2
	case api.CommandStop:
		return 3
	}
	return 0
}

// add accepts a command that was delivered at now and returns "", or the reason for dropping
// it. A repeated delivery confirms the command.
func (o *pendingCommands) add(c api.Command, now time.Time) string {
	if o.byTask == nil {
		o.byTask = make(map[model.TaskID]*pendingCommand)
	}
	old := o.byTask[c.Task]
	if old != nil && c.Fence.Less(old.cmd.Fence) {
		return reasonOlderFence
	}
	if old == nil && len(o.byTask) >= maxPendingCommands {
		return reasonOverflow
	}
	if c.Op == api.CommandThrottle {
		return o.addThrottle(old, c)
	}
	if old != nil && c.Fence == old.cmd.Fence && precedence(c.Op) <= precedence(old.cmd.Op) {
		if c.Op == old.cmd.Op {
			old.heardAt = now
		}
		return reasonRepeated
	}
	o.lastSeq++
	o.byTask[c.Task] = &pendingCommand{cmd: c, seq: o.lastSeq, heardAt: now}
	return ""
}

// addThrottle records a throttle in addition to the command of the task.
// Reports do not acknowledge throttles, so each is sent once.
func (o *pendingCommands) addThrottle(old *pendingCommand, c api.Command) string {
	if old == nil {
		o.lastSeq++
		old = &pendingCommand{cmd: api.Command{Task: c.Task, Fence: c.Fence}, seq: o.lastSeq}
		o.byTask[c.Task] = old
	}
	old.throttle = &c
	return ""
}

// acknowledge removes the command that a committed report acknowledges.
func (o *pendingCommands) acknowledge(r api.Report) {
	old := o.byTask[r.Task]
	if old == nil || r.Fence.Less(old.cmd.Fence) {
		return
	}
	if r.State == api.ReportStarted && r.Fence == old.cmd.Fence && old.cmd.Op != api.CommandStart {
		return // the task still has to be stopped
	}
	if r.State == api.ReportStarted && old.throttle != nil && r.Fence == old.cmd.Fence {
		old.cmd.Op = ""
		return
	}
	delete(o.byTask, r.Task)
}

// due returns the commands to send now, in order of arrival, and marks them as
// sent. Starts are withheld from a worker that is leaving; the leader replaces
// them with stops. So are starts that the leader has not delivered again for startValid.
func (o *pendingCommands) due(now time.Time, leaving bool) []api.Command {
	var ready []*pendingCommand
	for _, x := range o.byTask {
		if x.isDue(now, leaving) {
			ready = append(ready, x)
		}
	}
	slices.SortFunc(ready, func(a, b *pendingCommand) int { return cmp.Compare(a.seq, b.seq) })
	ready = ready[:min(len(ready), maxCommandsPerPoll)]
	var out []api.Command
	for _, x := range ready {
		out = append(out, o.markSent(x, now)...)
	}
	return out
}

func (x *pendingCommand) isDue(now time.Time, leaving bool) bool {
	if x.cmd.Op == api.CommandStart && (leaving || now.Sub(x.heardAt) >= startValid) {
		return false
	}
	if x.throttle != nil {
		return true
	}
	return x.cmd.Op != "" && (x.sentAt.IsZero() || now.Sub(x.sentAt) >= resendAfter)
}

// markSent marks x as sent and returns its commands.
func (o *pendingCommands) markSent(x *pendingCommand, now time.Time) []api.Command {
	var out []api.Command
	if x.cmd.Op != "" {
		out = append(out, x.cmd)
		x.sentAt = now
	}
	if x.throttle != nil {
		out = append(out, *x.throttle)
		x.throttle = nil
	}
	if x.cmd.Op == "" {
		delete(o.byTask, x.cmd.Task)
	}
	return out
}

// resendAll makes all commands due again, for a worker that attaches to this
// entry.
func (o *pendingCommands) resendAll() {
	for _, x := range o.byTask {
		x.sentAt = time.Time{}
	}
}
