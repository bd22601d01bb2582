package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// lateAfter is how far a step must be behind its due start to be told.
	lateAfter = 4 * time.Second
	// maxLateTold bounds the late steps that one look tells.
	maxLateTold = 4
)

// tellCell logs how full the cell is, where anything waits.
func (l *leader) tellCell() {
	st := l.sched.Stats()
	if st.Waiting == 0 {
		return
	}
	l.c.log.Info("Work waits.", "waiting", st.Waiting, "running", st.Running, "reserved", st.Reserved, "total", st.Total,
		"workers", st.Workers, "clear_for", st.Reservations)
}

// tellLate logs what holds the steps that wait beyond their due start.
func (p *policy) tellLate(now model.Time) {
	told, more := 0, 0
	for _, id := range p.desk.Jobs() {
		j := p.waiting(id)
		if j == nil || now < j.StartBy.Add(lateAfter) {
			continue
		}
		if told == maxLateTold {
			more++
			continue
		}
		told++
		p.l.c.log.Info("Step is late.", "workflow", j.Step.Workflow, "step", j.Step.Step, "team", j.Team,
			"behind", now.Sub(j.StartBy), "pending", j.Count(model.TaskPending), "held", j.Held(),
			"permits", len(p.desk.Permits(id)), "why", p.l.sched.WaitReasons(id, now))
	}
	if more > 0 {
		p.l.c.log.Info("Further steps are late.", "steps", more)
	}
}
