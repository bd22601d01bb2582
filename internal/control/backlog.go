package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/state"
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

// logLoad logs on what the control goroutine has spent its time since the last line, how
// often it did what, and the processor time of the process.
func (c *core) logLoad() {
	now := time.Now()
	r := c.load.take(now)
	c.log.Info("Control goroutine load.", r.fields(now)...)
	c.log.Info("Work of the leader.", append(r.counts(), c.processorFields()...)...)
}

// processorFields returns the processor time of the process since the last call as log
// fields, in milliseconds.
func (c *core) processorFields() []any {
	read, err := obs.ReadProcessorTime()
	if err != nil {
		return []any{"processor_err", err}
	}
	took := read.Sub(c.processor)
	c.processor = read
	return []any{"processor_ms", took.All.Milliseconds(), "collector_ms", took.Collector.Milliseconds()}
}

// logLateSteps logs the steps that have not started by their deadline, and why.
func (p *policy) logLateSteps(now model.Time) {
	logged, omitted := 0, 0
	for _, id := range p.tracker.Jobs() {
		j := p.lateJob(id, now)
		if j == nil {
			continue
		}
		if logged == maxLateLogged {
			omitted++
			continue
		}
		logged++
		p.logLateStep(j, now)
	}
	if omitted > 0 {
		p.l.c.log.Info("Further steps are late.", "steps", omitted)
	}
}

// lateJob returns the job if it is late: it has pending tasks, or its only attempts have
// waited for their workers for long. Else it returns nil.
func (p *policy) lateJob(id model.JobID, now model.Time) *state.Job {
	j := p.l.c.machine.Job(id)
	since := now.Add(-lateThreshold)
	if j == nil || j.Finished != 0 || j.StartBy > since {
		return nil
	}
	if j.Count(model.TaskPending) > 0 || j.Count(model.TaskRunning) == 0 && hasUnconfirmed(j, since) {
		return j
	}
	return nil
}

// hasUnconfirmed reports whether an attempt of a job has waited for its worker since the
// given time.
func hasUnconfirmed(j *state.Job, since model.Time) bool {
	for _, phase := range [...]model.TaskPhase{model.TaskStarting, model.TaskStopping} {
		if u := unconfirmedIn(j, phase); u.count > 0 && u.since <= since {
			return true
		}
	}
	return false
}

// logLateStep logs a step that has not started by its deadline, with its permits and
// why it waits.
func (p *policy) logLateStep(j *state.Job, now model.Time) {
	permits := p.tracker.Status(j.ID, now)
	room := p.tracker.Room(j.ID, p.Candidates(j.ID), now)
	position := p.tracker.Position(j.ID, now)
	p.l.c.log.Info("Step is late.", "workflow", j.Step.Workflow, "step", j.Step.Step, "team", j.Team,
		"behind", now.Sub(j.StartBy), "pending", j.Count(model.TaskPending), "held", j.Held(),
		"permits", permits.Known, "valid", permits.Valid, "allowed", permits.Allowed, "queried", permits.Queried,
		"room_valid", room.Valid, "room_allowed", room.Allowed, "room_unqueried", room.Unqueried,
		"ahead", position.Ahead, "overtaken", position.Overtaken,
		"in_flight", permits.InFlight, "answered", p.sinceAnswer(j.ID, now), "why", p.l.waitReasons(j, now))
}
