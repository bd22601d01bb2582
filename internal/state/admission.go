package state

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/admission"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// endRetryAfter is the advice while no ended work is about to be removed: work that runs
	// may end at any time.
	endRetryAfter = 5 * time.Second
)

// AcceptedBytes returns the approximate memory of accepted work in bytes, in all.
func (m *Machine) AcceptedBytes() int64 { return m.accepted.Total() }

// TeamAcceptedBytes returns the approximate memory of the accepted work of a team in bytes.
func (m *Machine) TeamAcceptedBytes(team string) int64 { return m.accepted.Of(team) }

// AdmitWorkflow returns nil if there is room for a workflow within limit bytes, zero meaning no
// limit. The error is BadRequest if there can never be room, or QueueFull with the time until room
// may be expected.
func (m *Machine) AdmitWorkflow(spec *model.WorkflowSpec, limit int64) error {
	team := spec.Team
	if q := m.Queue(spec.Queue); q != nil {
		team = q.ChargedTeam(spec.Team)
	}
	run := admission.OfWorkflow(spec)
	if spec.Runs == 0 {
		return m.checkRoom(team, run.Unfinished, run.Unfinished, limit)
	}
	own := admission.OfRecurring(spec).Unfinished
	return m.checkRoom(team, own, own+run.Unfinished, limit)
}

// AdmitJob is like AdmitWorkflow for a job.
func (m *Machine) AdmitJob(spec *model.JobSpec, limit int64) error {
	team := spec.Team
	if q := m.Queue(spec.Queue); q != nil {
		team = q.ChargedTeam(spec.Team)
	}
	bytes := admission.OfJob(spec).Unfinished
	return m.checkRoom(team, bytes, bytes, limit)
}

// checkRoom returns nil if the team may hold bytes more. Most is what the work takes at once later.
func (m *Machine) checkRoom(team string, bytes, most, limit int64) error {
	if !admission.FitsAlone(most, limit) {
		return errkind.New(errkind.BadRequest, "the work takes %d bytes of memory in each control process, and a team may use %d", most, limit/2)
	}
	if m.accepted.Fits(team, bytes, limit) {
		return nil
	}
	err := errkind.New(errkind.QueueFull, "the accepted work of team %q takes %d bytes, that of all teams %d of %d, and this takes %d more",
		team, m.accepted.Of(team), m.accepted.Total(), limit, bytes)
	return errkind.WithRetryAfter(err, m.untilRoom())
}

// untilRoom returns the time after which room for more work may be expected: when the record of
// the work that ended first is removed.
func (m *Machine) untilRoom() time.Duration {
	var oldest model.Time
	if len(m.finishedWorkflows) > 0 {
		oldest = m.workflows[m.finishedWorkflows[0]].Finished
	}
	if len(m.finishedJobs) > 0 {
		if at := m.jobs[m.finishedJobs[0]].Finished; oldest == 0 || at < oldest {
			oldest = at
		}
	}
	if oldest == 0 {
		return endRetryAfter
	}
	return min(max(oldest.Add(m.opts.KeepFinished.Std()).Sub(m.now), minRetryAfter), maxRetryAfter)
}

// chargeWorkflow charges the team of a workflow for what its record takes now.
func (m *Machine) chargeWorkflow(w *Workflow) {
	cost := admission.OfWorkflow(&w.Spec)
	if w.Spec.Runs > 0 {
		cost = admission.OfRecurring(&w.Spec)
	}
	bytes := cost.Unfinished
	if w.Finished != 0 {
		bytes = cost.Finished
	}
	m.accepted.Charge(w.Team, &w.charged, bytes)
}

// chargeJob does the same for a job. A step's job is charged with its workflow.
func (m *Machine) chargeJob(j *Job) {
	if j.Step != nil {
		return
	}
	cost := admission.OfJob(&j.Spec)
	bytes := cost.Unfinished
	if j.Finished != 0 {
		bytes = cost.Finished
	}
	m.accepted.Charge(j.Team, &j.charged, bytes)
}

func (m *Machine) releaseWorkflow(w *Workflow) { m.accepted.Charge(w.Team, &w.charged, 0) }

func (m *Machine) releaseJob(j *Job) { m.accepted.Charge(j.Team, &j.charged, 0) }
