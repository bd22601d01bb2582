package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// lateThreshold is how far a step must be behind its start deadline to be logged.
	lateThreshold = 4 * time.Second
	// maxLateLogged bounds the late steps that one call of logLateSteps logs.
	maxLateLogged = 4
)

// logBacklog logs the load of the cell if any task waits.
func (l *leader) logBacklog() {
	st := l.sched.Stats()
	if st.Waiting == 0 {
		return
	}
	l.c.log.Info("Tasks are waiting.", "waiting", st.Waiting, "running", st.Running, "reserved", st.Reserved, "total", st.Total,
		"workers", st.Workers, "clear_for", st.Reservations)
}

// logLateSteps logs the steps that have not started by their deadline, and why.
func (p *policy) logLateSteps(now model.Time) {
	logged, omitted := 0, 0
	for _, id := range p.tracker.Jobs() {
		j := p.pendingJob(id)
		if j == nil || now < j.StartBy.Add(lateThreshold) {
			continue
		}
		if logged == maxLateLogged {
			omitted++
			continue
		}
		logged++
		p.l.c.log.Info("Step is late.", "workflow", j.Step.Workflow, "step", j.Step.Step, "team", j.Team,
			"behind", now.Sub(j.StartBy), "pending", j.Count(model.TaskPending), "held", j.Held(),
			"permits", len(p.tracker.Permits(id)), "why", p.l.sched.WaitReasons(id, now))
	}
	if omitted > 0 {
		p.l.c.log.Info("Further steps are late.", "steps", omitted)
	}
}
