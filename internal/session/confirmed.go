package session

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// progress is the furthest committed report of one task.
type progress struct {
	fence model.Fence
	final bool
}

// confirmed remembers the committed reports of one session, so that repeated
// and late ones are acknowledged without a second commit. It holds a bounded
// number of tasks and forgets the oldest; the state machine refuses repeats too.
type confirmed struct {
	byTask map[model.TaskID]progress
	oldest []model.TaskID
}

// covers reports whether r tells nothing that is not committed already.
func (c *confirmed) covers(r api.Report) bool {
	p, ok := c.byTask[r.Task]
	if !ok {
		return false
	}
	if r.Fence != p.fence {
		return r.Fence.Less(p.fence)
	}
	return p.final || r.State == api.ReportStarted
}

func (c *confirmed) add(r api.Report) {
	if c.covers(r) {
		return
	}
	if c.byTask == nil {
		c.byTask = make(map[model.TaskID]progress)
	}
	if _, ok := c.byTask[r.Task]; !ok {
		c.oldest = append(c.oldest, r.Task)
	}
	c.byTask[r.Task] = progress{fence: r.Fence, final: r.State != api.ReportStarted}
	if len(c.oldest) > maxConfirmed {
		delete(c.byTask, c.oldest[0])
		c.oldest = c.oldest[1:]
	}
}
