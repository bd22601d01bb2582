package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// releaseBasis is why the leader knows that an attempt does not run although its worker
// has listed no end of it.
type releaseBasis string

const (
	basisRefused      releaseBasis = "start_refused"         // the worker refused the only start that was sent
	basisNotSent      releaseBasis = "start_not_sent"        // this leader placed the attempt and sent no start
	basisNotExecuted  releaseBasis = "inherited_not_started" // a poll with the fence of this leader shows no start of an earlier one
	basisNotRunning   releaseBasis = "no_longer_runs"        // a poll after the confirmed start does not list the attempt
	basisLeaseExpired releaseBasis = "lease_expired"         // the lease of its worker has expired, which did run it
	basisStopped      releaseBasis = "stop_confirmed"        // a poll after the confirmed stop does not list the attempt
)

// release is the end of an attempt that its worker has not listed.
type release struct {
	basis  releaseBasis
	state  api.ReportState
	reason string      // for the job; empty: none
	view   *polledView // the poll that the basis names, or nil
}

// release reports an attempt that does not run as ended, so that its task can be started
// elsewhere.
func (p *polledWorkers) release(pw *polledWorker, id model.TaskID, t *state.Task, r *release) {
	p.l.c.s.metrics.releases.WithLabelValues(string(r.basis)).Inc()
	p.logRelease(pw, id, t, r)
	p.l.c.ends.release(id, t.Fence, r.basis)
	p.addReport(pw, api.Report{Task: id, Fence: t.Fence, State: r.state, Reason: r.reason})
}

func (p *polledWorkers) logRelease(pw *polledWorker, id model.TaskID, t *state.Task, r *release) {
	j, _ := p.l.task(id)
	if j == nil || j.Step == nil {
		return
	}
	if !p.l.c.budgets.releases.Take(time.Now()) {
		return
	}
	attempt := p.attemptOf(id, j, t)
	p.l.c.log.Info("Attempt is released.", pw.fields(&attempt, p.releaseFields(pw, t, r, &attempt)...)...)
}

func (p *polledWorkers) releaseFields(pw *polledWorker, t *state.Task, r *release, attempt *workerclient.Attempt) []any {
	fields := []any{"basis", r.basis, "phase", t.Phase, "placed_in", t.Fence.Term, "placed", position(t.Fence), "fence", pw.fence, "cursor", pw.ends.Cursor()}
	if r.view == nil {
		return fields
	}
	ended := false
	for i := range r.view.resp.Ended {
		ended = ended || r.view.resp.Ended[i].Attempt == *attempt
	}
	return append(fields, "poll", r.view.poll.number, "poll_age", p.l.c.s.now().Sub(r.view.poll.sentAt),
		"listed_running", r.view.running, "listed_ended", ended)
}
