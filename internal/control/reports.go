package control

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// reportedEnd is an ended attempt whose report is queued or proposed.
type reportedEnd struct {
	worker  *polledWorker
	number  uint64
	attempt workerclient.Attempt
}

// addReport keeps a report for the next proposal of reports.
func (p *polledWorkers) addReport(pw *polledWorker, r api.Report) {
	p.reports.Add(pw.target.Worker, pw.session, r)
}

// commitReports proposes the reports that have accumulated, and reports whether there were
// any.
func (p *polledWorkers) commitReports() bool {
	batch, ok := p.reports.Take()
	if !ok {
		return false
	}
	p.l.c.propose(&state.Command{Report: &state.Report{Reports: batch.Reports}}, func(_ state.Result, err error) {
		p.reports.Done(&batch)
		if p.l.c.leader != p.l {
			return // the workers report again to the next leader
		}
		if err != nil {
			p.l.c.log.Warn("Reports were not committed; the workers will send them again.", "err", err)
			p.startsNotCommitted(batch.Reports)
			p.endsNotCommitted(batch.Ends)
			return
		}
		p.endsCommitted(batch.Ends)
	})
	return true
}

// endsCommitted records that the reports of ended attempts are committed. The next poll
// of a worker acknowledges those below its lowest end that is not.
func (p *polledWorkers) endsCommitted(ends []reportedEnd) {
	for i := range ends {
		p.endCommitted(&ends[i])
	}
	for _, e := range ends {
		if e.worker.ends.Settled() {
			p.poll(e.worker)
		}
	}
}

// endCommitted records, counts and logs that the state knows of an end.
func (p *polledWorkers) endCommitted(e *reportedEnd) {
	e.worker.ends.Commit(e.number)
	p.l.c.s.metrics.ends.WithLabelValues(endStepCommitted).Inc()
	if p.logsTasks(&e.attempt) {
		p.l.c.log.Info("End is committed.", e.worker.fields(&e.attempt, "number", e.number, "cursor", e.worker.ends.Cursor(), "applied", p.l.c.machine.Index())...)
	}
}

// endsNotCommitted records that the reports of ended attempts were not committed. The
// next response of the worker reports them again.
func (p *polledWorkers) endsNotCommitted(ends []reportedEnd) {
	p.l.c.s.metrics.ends.WithLabelValues(endStepNotCommitted).Add(float64(len(ends)))
	for _, e := range ends {
		e.worker.ends.Fail(e.number)
		p.after(pollRetryAfter, func() { p.poll(e.worker) })
	}
}

// startsNotCommitted records that confirmed starts were not committed. The next response
// of the worker confirms them again.
func (p *polledWorkers) startsNotCommitted(reports []state.WorkerReport) {
	for i := range reports {
		pw := p.workers[reports[i].Worker]
		if pw == nil || pw.session != reports[i].Session {
			continue
		}
		for _, r := range reports[i].Reports {
			if cmd := pw.commands[r.Task]; cmd != nil && !cmd.isStop && r.State == api.ReportStarted {
				cmd.confirmedAt = 0
			}
		}
	}
}

// The steps of an end, as metrics name them.
const (
	endStepListed       = "listed"
	endStepCommitted    = "committed"
	endStepNotCommitted = "not_committed"
	endStepUnreadable   = "unreadable"
)
