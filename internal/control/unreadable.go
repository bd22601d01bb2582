package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// A row of a worker's lists that cannot be read is left out, and the others hold. It may be
// the row of an attempt all the same. So for unreadableGrace, in which a response that was
// garbled on its way is followed by a readable one, the lists count as incomplete: nothing is
// concluded from the absence of an attempt, and no end is acknowledged. After that the row
// counts as absent, since it must neither keep the worker from forgetting its later ends nor
// hold the attempts that never started there.

// unreadableGrace is how long rows that cannot be read make the lists of a worker incomplete.
// It is shorter than a client waits for the acknowledgement of an end.
const unreadableGrace = 3 * time.Second

// The lists with rows that cannot be read, as metrics name them.
const (
	listActive  = "active"
	listEnded   = "ended"
	listPermits = "permits"
	// listCheckpoints counts checkpoints that are too long to be kept; their rows are read.
	listCheckpoints = "checkpoints"
)

// recordUnreadable counts the rows of a response that cannot be read, and marks its lists as
// incomplete for a while.
func (p *polledWorkers) recordUnreadable(pw *polledWorker, resp *workerclient.PollResponse) {
	rows := &resp.Unreadable
	pw.ends.SetUnreadable(rows.EndNumbers)
	p.l.c.s.metrics.unreadableRows.WithLabelValues(listCheckpoints).Add(float64(resp.LongCheckpoints))
	if rows.Active+rows.Ended == 0 {
		pw.unreadableSince = 0
		return
	}
	p.countUnreadable(rows)
	if pw.unreadableSince == 0 {
		pw.unreadableSince = p.l.c.s.now()
		p.l.c.log.Warn("Worker lists rows that cannot be read; they are left out.",
			"worker", pw.target.Worker, "active", rows.Active, "ended", rows.Ended, "err", rows.First)
	}
	resp.MoreEnds = resp.MoreEnds || p.listsIncomplete(pw)
}

func (p *polledWorkers) countUnreadable(rows *workerclient.UnreadableRows) {
	p.l.c.s.metrics.unreadableRows.WithLabelValues(listActive).Add(float64(rows.Active))
	p.l.c.s.metrics.unreadableRows.WithLabelValues(listEnded).Add(float64(rows.Ended))
}

// listsIncomplete reports whether the last lists of a worker may lack attempts, since they had
// rows that could not be read.
func (p *polledWorkers) listsIncomplete(pw *polledWorker) bool {
	return pw.unreadableSince != 0 && p.l.c.s.now().Sub(pw.unreadableSince) < unreadableGrace
}

// passUnreadable lets the worker forget ends that could not be read for unreadableGrace. The
// attempt of such an end is listed neither as running nor as ended, and is released on that
// basis.
func (p *polledWorkers) passUnreadable(pw *polledWorker, rows *workerclient.UnreadableRows) {
	if p.listsIncomplete(pw) {
		return
	}
	for _, number := range pw.ends.PassUnreadable() {
		p.l.c.s.metrics.ends.WithLabelValues(endStepUnreadable).Inc()
		p.l.c.log.Warn("End cannot be read and is acknowledged unread.", "worker", pw.target.Worker, "number", number, "err", rows.First)
	}
}
