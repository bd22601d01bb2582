package session

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// progress is the latest committed report of one task.
type progress struct {
	fence model.Fence
	final bool
}

// committedReports records the committed reports of one session, so that
// repeated and late ones are acknowledged without a second commit. It holds at
// most maxCommittedTasks tasks and evicts the oldest; the state machine also
// rejects repeated reports.
type committedReports struct {
	byTask         map[model.TaskID]progress
	insertionOrder []model.TaskID
}

// covers reports whether r adds nothing to what is already committed.
func (c *committedReports) covers(r api.Report) bool {
	p, ok := c.byTask[r.Task]
	if !ok {
		return false
	}
	if r.Fence != p.fence {
		return r.Fence.Less(p.fence)
	}
	return p.final || r.State == api.ReportStarted
}

// hasEnded reports whether the end of an attempt, or a report of a later one, is
// committed.
func (c *committedReports) hasEnded(task model.TaskID, fence model.Fence) bool {
	p, ok := c.byTask[task]
	return ok && (fence.Less(p.fence) || fence == p.fence && p.final)
}

func (c *committedReports) add(r api.Report) {
	if c.covers(r) {
		return
	}
	if c.byTask == nil {
		c.byTask = make(map[model.TaskID]progress)
	}
	if _, ok := c.byTask[r.Task]; !ok {
		c.insertionOrder = append(c.insertionOrder, r.Task)
	}
	c.byTask[r.Task] = progress{fence: r.Fence, final: r.State != api.ReportStarted}
	if len(c.insertionOrder) > maxCommittedTasks {
		delete(c.byTask, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
}
