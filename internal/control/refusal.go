package control

import (
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// pauseWorker gives a worker that has refused a start, or could be sent none, no tasks for a while. Without a
// pause, the same plan would be made again, and tasks that could run elsewhere would wait
// for as long as the worker refuses them.
func (p *polledWorkers) pauseWorker(pw *polledWorker, resp workerclient.Response) {
	d := pw.refusals.Begin()
	if d == 0 {
		return
	}
	p.l.c.s.metrics.workerPauses.Inc()
	p.l.c.log.Warn("Worker refuses starts; it is given no tasks for a while.",
		"worker", pw.target.Worker, "reason", resp.Reason, "for", d, "in_a_row", pw.refusals.InARow())
	p.updateScheduler(pw)
	p.after(d, func() {
		if p.current(pw) {
			pw.refusals.End()
			p.updateScheduler(pw)
		}
	})
}
