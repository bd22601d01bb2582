package state

import "github.com/filbertmast/filbertmast/internal/model"

// A workflow that runs at set times has no jobs of its own: each run is a
// workflow beside it, under the name that WorkflowID.RunID gives.

// mayBegin reports whether runs of w are still to begin.
func (w *Workflow) mayBegin() bool {
	return !w.Cancelled && !w.Failed && w.Begun < w.Spec.Runs
}

// WorkflowRun returns the workflow, or the run of one that runs at set times,
// whose tasks go by the name and number; nil where there is none.
func (m *Machine) WorkflowRun(id model.WorkflowID, run int32) *Workflow {
	if w := m.flows[id]; w != nil && w.Spec.Runs == 0 {
		return w
	}
	return m.flows[id.RunID(run)]
}

// DueRuns returns the runs that are due at a time and have not begun, in a
// fixed order, at most max.
func (m *Machine) DueRuns(now model.Time, max int) []DueRun {
	var out []DueRun
	for _, id := range sortedKeys(m.timed) {
		w := m.timed[id]
		for k := w.Begun; w.mayBegin() && k < w.Spec.Runs && w.Spec.DueAt(k) <= now && len(out) < max; k++ {
			out = append(out, DueRun{Workflow: id, Run: k})
		}
	}
	return out
}

// startRuns begins runs in order. One that has begun is left alone.
func (m *Machine) startRuns(c *StartRuns) Result {
	n := 0
	for _, r := range c.Runs {
		w := m.timed[r.Workflow]
		if w == nil || r.Run != w.Begun || !w.mayBegin() {
			continue
		}
		m.startRun(w, r.Run)
		n++
	}
	return Result{Count: n}
}

func (m *Machine) startRun(w *Workflow, k int32) {
	w.Begun++
	if !w.mayBegin() {
		delete(m.timed, w.key())
	}
	q := m.Queue(w.Spec.Queue)
	if q == nil {
		q = &model.Queue{Name: w.Spec.Queue} // withdrawn since; what was accepted runs all the same
	}
	run := &Workflow{Spec: w.Spec, Team: w.Team, Submitted: m.now, Parent: w.Spec.ID, Run: k}
	run.Spec.Runs = 0
	m.begin(run, q, w.Spec.DueAt(k))
}

// runFinished moves a workflow on after one of its runs has ended.
func (m *Machine) runFinished(w *Workflow, run *Workflow) {
	if w == nil || w.Finished != 0 {
		return
	}
	switch {
	case run.Phase() == model.PhaseSucceeded:
		w.Done++
	case !w.Cancelled && !w.Failed:
		w.Failed = true
		m.endRuns(w)
	}
	if w.Finished == 0 && (w.Done == w.Spec.Runs || !w.mayBegin() && (w.Cancelled || w.Failed) && m.runsOver(w)) {
		m.finishWorkflow(w)
	}
}

// endRuns cancels the runs of w that are open, and begins no more.
func (m *Machine) endRuns(w *Workflow) {
	delete(m.timed, w.key())
	for k := range w.Begun {
		run := m.flows[w.Spec.ID.RunID(k)]
		if run != nil && run.Finished == 0 && !run.Cancelled && !run.Failed {
			m.cancelFlow(run)
		}
	}
}

// runsOver reports whether no run of w is open.
func (m *Machine) runsOver(w *Workflow) bool {
	for k := range w.Begun {
		if run := m.flows[w.Spec.ID.RunID(k)]; run != nil && run.Finished == 0 {
			return false
		}
	}
	return true
}
