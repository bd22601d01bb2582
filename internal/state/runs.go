package state

import (
	"github.com/filbertmast/filbertmast/internal/admission"
	"github.com/filbertmast/filbertmast/internal/model"
)

// A recurring workflow, which runs at set times, has no jobs of its own: each run
// is a workflow of its own with the ID that WorkflowID.RunID returns.

// hasRunsToStart reports whether w has runs that are still to start.
func (w *Workflow) hasRunsToStart() bool {
	return !w.Cancelled && !w.Failed && w.RunsStarted < w.Spec.Runs
}

// WorkflowRun returns the workflow with the ID, or the run of the recurring
// workflow with the ID and number; nil if there is none.
func (m *Machine) WorkflowRun(id model.WorkflowID, run int32) *Workflow {
	if w := m.workflows[id]; w != nil && w.Spec.Runs == 0 {
		return w
	}
	return m.workflows[id.RunID(run)]
}

// runSpec returns the specification of a run of a recurring workflow.
func (w *Workflow) runSpec() *model.WorkflowSpec {
	spec := w.Spec
	spec.Runs = 0
	return &spec
}

// DueRuns returns the runs that are due at the time now and have not started, in
// a fixed order, at most max, as far as there is room for them within limit bytes of accepted
// work; zero: no limit.
func (m *Machine) DueRuns(now model.Time, max int, limit int64) []DueRun {
	if len(m.recurring) == 0 {
		return nil
	}
	var out []DueRun
	planned := m.accepted.Clone()
	for _, id := range sortedKeys(m.recurring) {
		w := m.recurring[id]
		if !w.hasRunsToStart() || w.Spec.DueAt(w.RunsStarted) > now {
			continue
		}
		bytes := admission.OfWorkflow(w.runSpec()).Unfinished
		for k := w.RunsStarted; k < w.Spec.Runs && w.Spec.DueAt(k) <= now && len(out) < max; k++ {
			if !planned.Fits(w.Team, bytes, limit) {
				break
			}
			planned.Charge(w.Team, new(int64), bytes)
			out = append(out, DueRun{Workflow: id, Run: k})
		}
	}
	return out
}

// startRuns starts runs in order. It ignores runs that have already started, and leaves those
// for which there is no room to be started later.
func (m *Machine) startRuns(c *StartRuns) Result {
	n := 0
	for _, r := range c.Runs {
		w := m.recurring[r.Workflow]
		if w == nil || r.Run != w.RunsStarted || !w.hasRunsToStart() {
			continue
		}
		if !m.accepted.Fits(w.Team, admission.OfWorkflow(w.runSpec()).Unfinished, c.Limit) {
			continue
		}
		m.startRun(w, r.Run)
		n++
	}
	return Result{Count: n}
}

func (m *Machine) startRun(w *Workflow, k int32) {
	w.RunsStarted++
	w.unfinishedRuns++
	if !w.hasRunsToStart() {
		delete(m.recurring, w.key())
	}
	q := m.ServedQueue(w.Spec.Queue)
	if q == nil {
		q = &model.Queue{Name: w.Spec.Queue}
	}
	run := &Workflow{Spec: *w.runSpec(), Team: w.Team, Submitted: m.now, Parent: w.Spec.ID, Run: k}
	m.chargeWorkflow(run)
	m.startWorkflow(run, q, w.Spec.DueAt(k))
}

// runFinished updates a recurring workflow after one of its runs has finished. A
// failed run fails the workflow and cancels its other runs.
func (m *Machine) runFinished(w *Workflow, run *Workflow) {
	if w == nil || w.Finished != 0 {
		return
	}
	w.unfinishedRuns--
	switch {
	case run.Phase() == model.PhaseSucceeded:
		w.RunsSucceeded++
	case !w.Cancelled && !w.Failed:
		w.Failed = true
		m.cancelRuns(w)
	}
	if w.Finished == 0 && (w.RunsSucceeded == w.Spec.Runs || !w.hasRunsToStart() && (w.Cancelled || w.Failed) && w.unfinishedRuns == 0) {
		m.finishWorkflow(w)
	}
}

// cancelRuns cancels the unfinished runs of w and starts no further ones.
func (m *Machine) cancelRuns(w *Workflow) {
	delete(m.recurring, w.key())
	for k := range w.RunsStarted {
		run := m.workflows[w.Spec.ID.RunID(k)]
		if run != nil && run.Finished == 0 && !run.Cancelled && !run.Failed {
			m.stopWorkflow(run)
		}
	}
}
