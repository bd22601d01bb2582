package state

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Workflow is a submitted workflow. Each step becomes a job once the steps
// before it have succeeded.
type Workflow struct {
	Spec      model.WorkflowSpec `cbor:"1,keyasint"`
	Team      string             `cbor:"2,keyasint"` // charged
	Submitted model.Time         `cbor:"3,keyasint"`
	DueBy     model.Time         `cbor:"4,keyasint"` // when it should have finished
	Finished  model.Time         `cbor:"5,keyasint,omitempty"`
	Jobs      []model.JobID      `cbor:"6,keyasint"` // by step; zero if not created yet
	StepsLeft int32              `cbor:"7,keyasint"` // steps that have not succeeded
	Started   bool               `cbor:"8,keyasint,omitempty"`
	Cancelled bool               `cbor:"9,keyasint,omitempty"`
	Failed    bool               `cbor:"10,keyasint,omitempty"`

	// RunsStarted and RunsSucceeded are set for a recurring workflow, whose runs
	// start in order.
	RunsStarted   int32 `cbor:"11,keyasint,omitempty"`
	RunsSucceeded int32 `cbor:"12,keyasint,omitempty"`
	// Parent and Run are set for one run of a recurring workflow.
	Parent model.WorkflowID `cbor:"13,keyasint,omitempty"`
	Run    int32            `cbor:"14,keyasint,omitempty"`

	charged        int64 // bytes, see Machine.chargeWorkflow
	unfinishedRuns int32 // of a recurring workflow
}

// key returns the ID under which the machine stores w.
func (w *Workflow) key() model.WorkflowID {
	if w.Parent != "" {
		return w.Parent.RunID(w.Run)
	}
	return w.Spec.ID
}

// Phase returns the phase of the workflow, with the same values as Job.Phase.
func (w *Workflow) Phase() string {
	switch {
	case w.Cancelled:
		return model.PhaseCancelled
	case w.Failed:
		return model.PhaseFailed
	case w.Finished != 0:
		return model.PhaseSucceeded
	case w.Started:
		return model.PhaseRunning
	}
	return model.PhaseWaiting
}

// Ends reports whether the workflow has ended or is ending, so that cancelling it changes nothing.
func (w *Workflow) Ends() bool { return w.Finished != 0 || w.Cancelled || w.Failed }

// Workflow returns the workflow with the ID, or nil. The caller must not modify it.
func (m *Machine) Workflow(id model.WorkflowID) *Workflow { return m.workflows[id] }

// UnstartedWorkflows returns the number of workflows of the queue without a
// started task.
func (m *Machine) UnstartedWorkflows(queue string) int64 { return m.unstarted[queue] }

// submitWorkflow adds a workflow and creates the jobs of its first steps.
func (m *Machine) submitWorkflow(c *SubmitWorkflow) Result {
	if w := m.workflows[c.Spec.ID]; w != nil {
		if w.Spec.Team != c.Spec.Team {
			return Result{Err: errkind.New(errkind.IdempotencyConflict, "workflow ID %q is in use", c.Spec.ID)}
		}
		return Result{Existing: true}
	}
	q := m.Queue(c.Spec.Queue)
	if q == nil {
		return Result{Err: errkind.New(errkind.UnknownQueue, "queue %q is not declared", c.Spec.Queue)}
	}
	if !q.Admits(c.Spec.Team) {
		return Result{Err: errkind.New(errkind.QueueClosed, "queue %q does not admit team %q", q.Name, c.Spec.Team)}
	}
	if err := m.AdmitWorkflow(&c.Spec, c.Limit); err != nil {
		return Result{Err: err}
	}
	w := &Workflow{Spec: c.Spec, Team: q.ChargedTeam(c.Spec.Team), Submitted: m.now}
	m.chargeWorkflow(w)
	m.unstarted[c.Spec.Queue]++
	if c.Spec.Runs > 0 {
		m.workflows[w.key()] = w
		m.recurring[w.key()] = w
		return Result{}
	}
	m.startWorkflow(w, q, m.now)
	return Result{}
}

// startWorkflow creates the first jobs of a workflow, or of one run of a recurring
// workflow, that is due at the time at.
func (m *Machine) startWorkflow(w *Workflow, q *model.Queue, at model.Time) {
	w.DueBy = at.Add(allowedTime(q, slices.Max(w.Spec.CriticalPaths())))
	w.Jobs = make([]model.JobID, len(w.Spec.Steps))
	w.StepsLeft = int32(len(w.Spec.Steps))
	m.workflows[w.key()] = w
	m.createReadySteps(w)
}

// maxAllowedTime bounds the stretched part of the time that a workflow may take.
const maxAllowedTime = 100 * model.MaxDuration

// allowedTime returns how long a workflow of the queue may take if its longest
// chain of steps takes chain.
func allowedTime(q *model.Queue, chain time.Duration) time.Duration {
	stretch := q.StretchPermille
	if stretch == 0 {
		stretch = 1000
	}
	const permille = 1000
	if chain > maxAllowedTime.Std()/time.Duration(stretch)*permille {
		return maxAllowedTime.Std()
	}
	return chain/permille*time.Duration(stretch) + chain%permille*time.Duration(stretch)/permille + q.Allowance.Std()
}

// createReadySteps creates the jobs of the steps whose predecessors have all
// succeeded.
func (m *Machine) createReadySteps(w *Workflow) {
	for i := range w.Spec.Steps {
		if w.Jobs[i] == 0 && m.stepReady(w, i) {
			m.createStepJob(w, int32(i))
		}
	}
}

func (m *Machine) stepReady(w *Workflow, i int) bool {
	for _, before := range w.Spec.Steps[i].After {
		if !m.stepSucceeded(w, before) {
			return false
		}
	}
	return true
}

// stepSucceeded reports whether a step of a workflow that has not failed has
// succeeded. A job that is no longer in the state has finished.
func (m *Machine) stepSucceeded(w *Workflow, i int32) bool {
	if w.Jobs[i] == 0 {
		return false
	}
	j := m.jobs[w.Jobs[i]]
	return j == nil || j.Phase() == model.PhaseSucceeded
}

func (m *Machine) createStepJob(w *Workflow, i int32) {
	q := m.ServedQueue(w.Spec.Queue)
	spec := w.Spec.StepJob(int(i))
	if q != nil && !spec.Lasts() { // else it is restarted without limit
		spec.MaxRestarts = max(q.MaxAttempts-1, 0)
	}
	startBy := w.DueBy.Add(-w.Spec.CriticalPaths()[i])
	spec.Patience = model.Duration(max(startBy.Sub(m.now), 0))
	j := m.newWorkflowJob(w, spec)
	j.Step = &model.StepRef{Workflow: w.key(), Step: i}
	w.Jobs[i] = j.ID
	m.emit(JobSubmitted{Job: j})
}

// newWorkflowJob adds the job of a step. The queue may have been withdrawn since
// the workflow was accepted; the workflow still runs to its end.
func (m *Machine) newWorkflowJob(w *Workflow, spec model.JobSpec) *Job {
	q := &model.Queue{Name: w.Spec.Queue, Shared: true}
	j := m.newJob(&Submit{Spec: spec}, q)
	j.Team = w.Team
	m.jobs[j.ID] = j
	return j
}

// stepStarted records that a task of a workflow has started on a worker. A
// placement alone does not count, since the worker may not carry it out.
func (m *Machine) stepStarted(j *Job) {
	if j.Step == nil {
		return
	}
	m.markStarted(m.workflows[j.Step.Workflow])
}

// markStarted records that a workflow has started. The first started run also
// starts its recurring workflow.
func (m *Machine) markStarted(w *Workflow) {
	if w == nil || w.Started {
		return
	}
	w.Started = true
	if w.Parent != "" {
		m.markStarted(m.workflows[w.Parent])
		return
	}
	m.unstarted[w.Spec.Queue]--
	m.emit(WorkflowChanged{Workflow: w, At: m.now})
}

// stepFinished updates a workflow after the job of a step has finished. A failed
// step fails the workflow and ends its other jobs.
func (m *Machine) stepFinished(j *Job) {
	w := m.workflows[j.Step.Workflow]
	if w == nil || w.Finished != 0 {
		return
	}
	switch {
	case w.Cancelled || w.Failed:
	case j.Phase() == model.PhaseSucceeded:
		w.StepsLeft--
		m.createReadySteps(w)
	default:
		w.Failed = true
		m.endSteps(w, model.TaskFailed, StopFailed, "another step failed")
	}
	if w.StepsLeft == 0 || ((w.Cancelled || w.Failed) && m.allJobsFinished(w)) {
		m.finishWorkflow(w)
	}
}

// allJobsFinished reports whether the workflow has no unfinished job.
func (m *Machine) allJobsFinished(w *Workflow) bool {
	for _, id := range w.Jobs {
		if j := m.jobs[id]; j != nil && j.Finished == 0 {
			return false
		}
	}
	return true
}

func (m *Machine) finishWorkflow(w *Workflow) {
	if w.Finished != 0 {
		return
	}
	w.Finished = m.now
	w.Spec.Payload = "" // no task starts any more
	m.chargeWorkflow(w)
	m.markStarted(w)
	m.finishedWorkflows = append(m.finishedWorkflows, w.key())
	if w.Parent != "" {
		m.runFinished(m.workflows[w.Parent], w)
		return
	}
	m.emit(WorkflowChanged{Workflow: w, At: m.now})
}

// endSteps ends every unfinished job of the workflow.
func (m *Machine) endSteps(w *Workflow, final model.TaskPhase, cause StopCause, reason string) {
	var open []model.JobID
	for _, id := range w.Jobs {
		if j := m.jobs[id]; j != nil && j.Finished == 0 {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	m.emit(JobsCancelled{IDs: open})
	for _, id := range open {
		j := m.jobs[id]
		j.Cancelled = cause == StopCancelled
		m.endJob(j, final, cause, reason)
	}
}

// cancelWorkflow ends the pending tasks of a workflow and stops the others. A
// workflow that has finished or is ending stays as it is.
func (m *Machine) cancelWorkflow(c *CancelWorkflow) Result {
	w := m.workflows[c.ID]
	if w == nil || w.Spec.Team != c.Team {
		return Result{Err: errkind.New(errkind.UnknownJob, "workflow %q is not known", c.ID)}
	}
	if w.Ends() {
		return Result{Existing: true}
	}
	m.stopWorkflow(w)
	return Result{Count: 1}
}

func (m *Machine) stopWorkflow(w *Workflow) {
	w.Cancelled = true
	m.cancelRuns(w)
	m.endSteps(w, model.TaskCancelled, StopCancelled, "cancelled")
	if m.allJobsFinished(w) && w.unfinishedRuns == 0 {
		m.finishWorkflow(w)
	}
}

// expireWorkflows removes workflows that finished at or before the time before.
func (m *Machine) expireWorkflows(before model.Time) {
	n := 0
	for _, id := range m.finishedWorkflows {
		w := m.workflows[id]
		if w.Finished > before {
			break
		}
		m.releaseWorkflow(w)
		delete(m.workflows, id)
		n++
	}
	m.finishedWorkflows = append([]model.WorkflowID(nil), m.finishedWorkflows[n:]...)
}

func (m *Machine) workflowRecords() []*Workflow {
	out := make([]*Workflow, 0, len(m.workflows))
	for _, id := range sortedKeys(m.workflows) {
		out = append(out, m.workflows[id])
	}
	return out
}

func (m *Machine) restoreWorkflows(workflows []*Workflow, finished []model.WorkflowID) {
	m.finishedWorkflows = finished
	for _, w := range workflows {
		m.workflows[w.key()] = w
	}
	for _, w := range workflows {
		if parent := m.workflows[w.Parent]; w.Parent != "" && w.Finished == 0 && parent != nil {
			parent.unfinishedRuns++
		}
		m.chargeWorkflow(w)
		if !w.Started && w.Parent == "" {
			m.unstarted[w.Spec.Queue]++
		}
		if w.Spec.Runs > 0 && w.Parent == "" && w.Finished == 0 && w.hasRunsToStart() {
			m.recurring[w.key()] = w
		}
	}
}
