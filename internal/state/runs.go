package state

import "github.com/filbertmast/filbertmast/internal/model"

// A workflow that runs at set times has no jobs of its own: each run is a
// workflow beside it, under the name that WorkflowID.RunID gives.

// hasRunsToStart reports whether runs of w are still to begin.
func (w *Workflow) hasRunsToStart() bool {
	return !w.Cancelled && !w.Failed && w.RunsStarted < w.Spec.Runs
}

// WorkflowRun returns the workflow, or the run of one that runs at set times,
// whose tasks go by the name and number; nil where there is none.
func (m *Machine) WorkflowRun(id model.WorkflowID, run int32) *Workflow {
	if w := m.workflows[id]; w != nil && w.Spec.Runs == 0 {
		return w
	}
	return m.workflows[id.RunID(run)]
}

// DueRuns returns the runs that are due at a time and have not begun, in a
// fixed order, at most max.
func (m *Machine) DueRuns(now model.Time, max int) []DueRun {
	var out []DueRun
	for _, id := range sortedKeys(m.recurring) {
		w := m.recurring[id]
		for k := w.RunsStarted; w.hasRunsToStart() && k < w.Spec.Runs && w.Spec.DueAt(k) <= now && len(out) < max; k++ {
			out = append(out, DueRun{Workflow: id, Run: k})
		}
	}
	return out
}

// startRuns begins runs in order. One that has begun is left alone.
func (m *Machine) startRuns(c *StartRuns) Result {
	n := 0
	for _, r := range c.Runs {
		w := m.recurring[r.Workflow]
		if w == nil || r.Run != w.RunsStarted || !w.hasRunsToStart() {
			continue
		}
		m.startRun(w, r.Run)
		n++
	}
	return Result{Count: n}
}

func (m *Machine) startRun(w *Workflow, k int32) {
	w.RunsStarted++
	if !w.hasRunsToStart() {
		delete(m.recurring, w.key())
	}
	q := m.Queue(w.Spec.Queue)
	if q == nil {
		q = &model.Queue{Name: w.Spec.Queue} // withdrawn since; what was accepted runs all the same
	}
	run := &Workflow{Spec: w.Spec, Team: w.Team, Submitted: m.now, Parent: w.Spec.ID, Run: k}
	run.Spec.Runs = 0
	m.startWorkflow(run, q, w.Spec.DueAt(k))
}

// runFinished moves a workflow on after one of its runs has ended.
func (m *Machine) runFinished(w *Workflow, run *Workflow) {
	if w == nil || w.Finished != 0 {
		return
	}
	switch {
	case run.Phase() == model.PhaseSucceeded:
		w.RunsSucceeded++
	case !w.Cancelled && !w.Failed:
		w.Failed = true
		m.cancelRuns(w)
	}
	if w.Finished == 0 && (w.RunsSucceeded == w.Spec.Runs || !w.hasRunsToStart() && (w.Cancelled || w.Failed) && m.allRunsFinished(w)) {
		m.finishWorkflow(w)
	}
}

// cancelRuns cancels the runs of w that are open, and begins no more.
func (m *Machine) cancelRuns(w *Workflow) {
	delete(m.recurring, w.key())
	for k := range w.RunsStarted {
		run := m.workflows[w.Spec.ID.RunID(k)]
		if run != nil && run.Finished == 0 && !run.Cancelled && !run.Failed {
			m.stopWorkflow(run)
		}
	}
}

// allRunsFinished reports whether no run of w is open.
func (m *Machine) allRunsFinished(w *Workflow) bool {
	for k := range w.RunsStarted {
		if run := m.workflows[w.Spec.ID.RunID(k)]; run != nil && run.Finished == 0 {
			return false
		}
	}
	return true
}
