package control

import (
	"context"
	"errors"
	"slices"
	"sort"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Workers that stop answering at one moment have a common cause, such as a rack without
// power or a link that is cut. A task that was starting on one of them is then no likely
// cause of its crash, unless its job was starting tasks on the others, too.

const (
	// outageMargin is by how much the moments differ at which the leader learns that
	// workers with a common cause stopped answering.
	outageMargin = 250 * time.Millisecond
	// commonOutages is the number of other workers that must have stopped answering at the
	// same moment.
	commonOutages = 2
	// outageRetention is longer than a worker takes to be lost, or to start again and
	// announce itself.
	outageRetention = time.Minute
)

// outage records that a worker stopped answering.
type outage struct {
	worker   model.WorkerID
	from, to model.Time    // it stopped between the two
	jobs     []model.JobID // that may have crashed it
}

func (o *outage) overlaps(other *outage) bool {
	return o.from <= other.to.Add(outageMargin) && other.from <= o.to.Add(outageMargin)
}

// outages are the recent outages of all workers, ordered by their ends.
type outages []outage

func (o *outages) record(e outage) {
	from := sort.Search(len(*o), func(i int) bool { return (*o)[i].to >= e.to.Add(-outageRetention) })
	*o = append(slices.Delete(*o, 0, from), e)
}

// commonCause returns the jobs that may have crashed a worker, but are less likely to have
// than what else stopped other workers at the same moment.
func (o outages) commonCause(m *state.Machine, worker model.WorkerID) []model.JobID {
	var own *outage
	for i := len(o) - 1; i >= 0 && own == nil; i-- {
		if o[i].worker == worker {
			own = &o[i]
		}
	}
	if own == nil {
		return nil
	}
	first := sort.Search(len(o), func(i int) bool { return o[i].to.Add(outageMargin) >= own.from })
	beside := o[first:]
	return slices.DeleteFunc(m.JobsInStart(worker), func(job model.JobID) bool { return !beside.commonWithout(job, own) })
}

// commonWithout reports whether commonOutages other workers stopped answering at the same
// moment as in own, and had no task of a job in its start.
func (o outages) commonWithout(job model.JobID, own *outage) bool {
	n := 0
	for i := range o {
		e := &o[i]
		if e.worker != own.worker && e.overlaps(own) && !slices.Contains(e.jobs, job) {
			n++
		}
		if n == commonOutages {
			return true
		}
	}
	return false
}

// recordOutage records that a worker stopped answering. A connection that ended shows the
// moment, unless the worker was not heard of before.
func (p *polledWorkers) recordOutage(pw *polledWorker, err error) {
	now := p.l.c.s.now()
	e := outage{worker: pw.target.Worker, from: max(pw.heardAt, pw.addedAt), to: now, jobs: p.l.c.machine.JobsInStart(pw.target.Worker)}
	if pw.heardAt != 0 && errors.Is(err, workerclient.ErrConnectionEnded) && !errors.Is(err, context.DeadlineExceeded) {
		e.from = now
	}
	p.outages.record(e)
}
