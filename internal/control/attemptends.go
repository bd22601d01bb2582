package control

import (
	"fmt"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// maxAttemptEnds bounds the tasks whose last end is remembered.
const maxAttemptEnds = 20_000

// What has ended an attempt, besides the bases of releases, as logs and metrics name it.
const (
	endedWorkerLost      = "worker_lost"      // the lease of its worker has expired
	endedWorkerReplaced  = "worker_replaced"  // another incarnation answered at its worker's address
	endedWorkerRestarted = "worker_restarted" // its worker announced its next incarnation
	endedLeaseLost       = "lease_lost"       // the lease has expired and the loss of its worker is deferred
	endedListed          = "listed"           // its worker has listed the end; the outcome follows
	endedReported        = "reported"         // by another process, which alone knows more; the state of the report follows
	endedUnknown         = "unknown"          // this process has not seen the end, or remembers it no more
)

// attemptEnd is how the last attempt of a task ended that was to be started again.
type attemptEnd struct {
	by      string
	worker  model.WorkerID
	attempt uint32
	placed  model.Fence
	ended   model.Fence // the log entry that ended it
}

// attemptEnds remembers, for logs only, what ended the last attempt of each task that is
// started again. It follows the log on every replica, so that a new leader knows what an
// earlier one committed. The state does not depend on it.
type attemptEnds struct {
	ends     map[model.JobID]map[int32]attemptEnd
	released map[model.TaskID]releasedAttempt // proposed by this process
	count    int                              // of ends
}

// releasedAttempt is what this process knows of a release that it has proposed.
type releasedAttempt struct {
	placed model.Fence
	basis  releaseBasis
}

func newAttemptEnds() *attemptEnds {
	return &attemptEnds{ends: map[model.JobID]map[int32]attemptEnd{}, released: map[model.TaskID]releasedAttempt{}}
}

// release records the basis of a release until it is committed.
func (a *attemptEnds) release(id model.TaskID, placed model.Fence, basis releaseBasis) {
	if len(a.released) < maxAttemptEnds {
		a.released[id] = releasedAttempt{placed, basis}
	}
}

// last returns how the attempt before the given one ended.
func (a *attemptEnds) last(id model.TaskID, attempt uint32) attemptEnd {
	if e, ok := a.ends[id.Job][id.Index]; ok && e.attempt+1 == attempt {
		return e
	}
	return attemptEnd{by: endedUnknown}
}

// add records the end of an attempt. An earlier one of the task is forgotten.
func (a *attemptEnds) add(id model.TaskID, e attemptEnd) {
	a.remove(id)
	if a.count >= maxAttemptEnds {
		return
	}
	if a.ends[id.Job] == nil {
		a.ends[id.Job] = map[int32]attemptEnd{}
	}
	a.ends[id.Job][id.Index] = e
	a.count++
}

func (a *attemptEnds) remove(id model.TaskID) {
	if _, ok := a.ends[id.Job][id.Index]; !ok {
		return
	}
	delete(a.ends[id.Job], id.Index)
	a.count--
	if len(a.ends[id.Job]) == 0 {
		delete(a.ends, id.Job)
	}
}

func (a *attemptEnds) removeJob(id model.JobID) {
	a.count -= len(a.ends[id])
	delete(a.ends, id)
}

// recordEnds remembers the ends among the events of a committed command.
func (c *core) recordEnds(cmd *state.Command, at model.Fence, events []state.Event) {
	for _, ev := range events {
		switch e := ev.(type) {
		case state.TaskChanged:
			if endsAttempt(&e) {
				c.recordEnd(cmd, at, &e)
			}
		case state.JobFinished:
			c.ends.removeJob(e.ID)
		case state.JobRemoved:
			c.ends.removeJob(e.ID)
		}
	}
}

// endsAttempt reports whether a change of a task is the end of an attempt.
func endsAttempt(e *state.TaskChanged) bool { return e.From.HoldsResources() && !e.To.HoldsResources() }

func (c *core) recordEnd(cmd *state.Command, at model.Fence, e *state.TaskChanged) {
	by := c.endedBy(cmd, e)
	delete(c.ends.released, e.Task)
	if e.To != model.TaskPending {
		c.ends.remove(e.Task)
		return
	}
	c.ends.add(e.Task, attemptEnd{by: by, worker: e.Worker, attempt: c.attemptNumber(e.Task), placed: e.Fence, ended: at})
}

// endedBy returns what ended an attempt with a committed command.
func (c *core) endedBy(cmd *state.Command, e *state.TaskChanged) string {
	if cmd.Report != nil {
		return c.endedByReport(cmd, e)
	}
	return workerEndCause(cmd, e.Worker)
}

// workerEndCause returns why a committed command ends attempts on a worker.
func workerEndCause(cmd *state.Command, id model.WorkerID) string {
	switch {
	case cmd.MarkWorkersLost != nil:
		for i := range cmd.MarkWorkersLost.Workers {
			if w := &cmd.MarkWorkersLost.Workers[i]; w.ID == id && w.Replaced {
				return endedWorkerReplaced
			}
		}
		return endedWorkerLost
	case cmd.Announce != nil:
		return endedWorkerRestarted
	case cmd.LoseAttempts != nil:
		return endedLeaseLost
	}
	return endedUnknown
}

// endedByReport returns what a report rests on that ended an attempt: the basis of its
// release if this process has proposed it, else an end that the worker listed.
func (c *core) endedByReport(cmd *state.Command, e *state.TaskChanged) string {
	source := endedReported
	if c.proposals.own(cmd.ID) {
		if r, ok := c.ends.released[e.Task]; ok && r.placed == e.Fence {
			return string(r.basis)
		}
		source = endedListed
	}
	if s, ok := reportedState(cmd.Report, e); ok {
		return source + "_" + string(s)
	}
	return source
}

// reportedState returns the state of the report that ended an attempt.
func reportedState(cmd *state.Report, e *state.TaskChanged) (api.ReportState, bool) {
	for i := range cmd.Reports {
		for k := range cmd.Reports[i].Reports {
			if r := &cmd.Reports[i].Reports[k]; r.Task == e.Task && r.Fence == e.Fence {
				return r.State, true
			}
		}
	}
	return "", false
}

// attemptNumber returns the number of the last attempt of a task, or zero if its job has
// finished.
func (c *core) attemptNumber(id model.TaskID) uint32 {
	if j := c.machine.Job(id.Job); j != nil {
		if t := j.Task(id.Index); t != nil {
			return t.Attempt
		}
	}
	return 0
}

// position formats the term and the index of a log entry.
func position(f model.Fence) string {
	if f == (model.Fence{}) {
		return "unknown"
	}
	return fmt.Sprintf("%d/%d", f.Term, f.Index)
}
