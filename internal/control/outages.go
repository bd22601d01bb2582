package control

import (
	"context"
	"errors"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/outage"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// commonCause returns the jobs that may have crashed a worker, but are less likely to have
// than what else stopped other workers at the same moment.
func (p *polledWorkers) commonCause(worker model.WorkerID) []model.JobID {
	return p.outages.CommonCause(worker, p.l.c.machine.JobsInStart(worker))
}

// recordOutage records that a worker stopped answering. A connection that ended shows the
// moment, unless the worker was not heard of before.
func (p *polledWorkers) recordOutage(pw *polledWorker, err error) {
	now := p.l.c.s.now()
	e := outage.Outage{Worker: pw.target.Worker, From: max(pw.heardAt, pw.addedAt), To: now, Jobs: p.l.c.machine.JobsInStart(pw.target.Worker)}
	if pw.heardAt != 0 && errors.Is(err, workerclient.ErrConnectionEnded) && !errors.Is(err, context.DeadlineExceeded) {
		e.From = now
	}
	p.outages.Record(e)
}
