package control

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// recordFollowingEnd handles the end of an attempt whose task has ended in the state. If
// the state still keeps its room, the end is reported, so that the room becomes free.
func (p *polledWorkers) recordFollowingEnd(pw *polledWorker, e *workerclient.EndedAttempt, end reportedEnd) {
	a := p.endingAttempt(pw, &e.Attempt)
	if a == nil {
		p.endCommitted(&end)
		return
	}
	p.reports.AddEnd(end)
	p.addReport(pw, api.Report{Task: a.Task, Fence: a.Fence, State: reportOf(e.Outcome)})
}

// endingAttempt returns what the state keeps of an ended attempt that may still run on a
// worker, or nil.
func (p *polledWorkers) endingAttempt(pw *polledWorker, attempt *workerclient.Attempt) *state.EndingAttempt {
	w := p.l.c.machine.Worker(pw.target.Worker)
	if w == nil {
		return nil
	}
	for i := range w.Ending {
		if name, ok := p.nameOfEnding(&w.Ending[i]); ok && name == *attempt {
			return &w.Ending[i]
		}
	}
	return nil
}

// nameOfEnding returns an ended attempt as identified to its worker. It returns false if
// the job is not in the state any more.
func (p *polledWorkers) nameOfEnding(a *state.EndingAttempt) (workerclient.Attempt, bool) {
	j := p.l.c.machine.Job(a.Task.Job)
	if j == nil || j.Step == nil {
		return workerclient.Attempt{}, false
	}
	return p.l.attemptName(j, a.Task.Index, a.Attempt), true
}

// reconcileEnding reports the attempts that have ended in the state and, by the response
// to a poll that was sent since, on the worker, too.
func (p *polledWorkers) reconcileEnding(pw *polledWorker, w *state.Worker, poll *sentPoll, resp *workerclient.PollResponse) {
	if len(w.Ending) == 0 || resp.MoreEnds {
		return
	}
	active := make(map[workerclient.Attempt]bool, len(resp.Active))
	for i := range resp.Active {
		active[resp.Active[i].Attempt] = true
	}
	for i := range w.Ending {
		a := &w.Ending[i]
		name, known := p.nameOfEnding(a)
		if a.Since < poll.sentAt && !(known && active[name]) && !p.isEnding(pw, a.Task) {
			p.addReport(pw, api.Report{Task: a.Task, Fence: a.Fence, State: api.ReportLapsed})
		}
	}
}
