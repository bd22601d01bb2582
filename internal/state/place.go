package state

import "github.com/filbertmast/filbertmast/internal/model"

// place checks every placement against the current state and starts those that
// are admitted. It is the last check against overcommitted workers and exceeded
// team limits, whatever state the plan was made from.
func (m *Machine) place(c *Place) Result {
	placed := 0
	for rest := c.Placements; len(rest) > 0; {
		group := rest[:1]
		if j := m.jobs[rest[0].Task.Job]; j != nil && j.Spec.Policy == model.PolicyGang {
			group = sameJob(rest)
		}
		rest = rest[len(group):]
		placed += m.placeGroup(group)
	}
	return Result{Count: placed, Fence: m.fence()}
}

// sameJob returns the leading placements that belong to one job.
func sameJob(ps []Placement) []Placement {
	n := 1
	for n < len(ps) && ps[n].Task.Job == ps[0].Task.Job {
		n++
	}
	return ps[:n]
}

// placeGroup starts all placements of group or none, and returns how many it
// started.
func (m *Machine) placeGroup(group []Placement) int {
	before := make([]Task, 0, len(group))
	if j := m.jobs[group[0].Task.Job]; j != nil && j.Spec.Policy == model.PolicyGang && j.held() > 0 {
		m.refuse(group, len(group), RefusedGangIncomplete)
		return 0
	}
	for i := range group {
		if reason := m.admit(&group[i]); reason != "" {
			m.rollback(group[:i], before)
			m.refuse(group, i, reason)
			return 0
		}
		before = append(before, m.jobs[group[i].Task.Job].Tasks[group[i].Task.Index])
		m.startTask(&group[i])
	}
	if reason := m.incomplete(group); reason != "" {
		m.rollback(group, before)
		m.refuse(group, len(group), reason)
		return 0
	}
	for i := range group {
		p := &group[i]
		j := m.jobs[p.Task.Job]
		ev := m.taskEvent(p.Task, &j.Tasks[p.Task.Index])
		ev.From, ev.To = model.TaskPending, model.TaskStarting
		m.emit(ev)
	}
	return len(group)
}

// admit returns the reason for which p cannot be started, or "".
func (m *Machine) admit(p *Placement) RefusalReason {
	j := m.jobs[p.Task.Job]
	if j == nil {
		return RefusedTaskNotPending
	}
	if t := j.Task(p.Task.Index); t == nil || t.Phase != model.TaskPending {
		return RefusedTaskNotPending
	}
	if j.Suspicions[p.Task.Index].HeldUntil > m.now {
		return RefusedHeld
	}
	w, n := m.workers.get(p.Worker)
	switch {
	case w == nil:
		return RefusedWorkerUnknown
	case w.Mode != model.WorkerOpen:
		return RefusedWorkerNotOpen
	case m.Evacuated(w.Spec.FailureDomain):
		return RefusedEvacuated
	case !j.Spec.Size.Fits(p.Size):
		return RefusedBelowDeclared
	case !w.InUse().Add(p.Size).Fits(w.Spec.Capacity):
		return RefusedNoRoom
	case j.Spec.PerWorker() > 0 && j.heldOn(w, n) >= j.Spec.PerWorker():
		return RefusedNotDistinctWorker
	case !m.withinLimit(j.Team, p.Size):
		return RefusedTeamLimit
	}
	return ""
}

// heldOn returns how many tasks of j hold resources on the worker with the number n.
func (j *Job) heldOn(w *Worker, n int32) (count int32) {
	for _, id := range w.Held {
		if id.Job == j.ID && j.Tasks[id.Index].Worker == n {
			count++
		}
	}
	return count
}

// withinLimit reports whether the team may run one more task of the given size.
// Request permits are not counted here: the leader counts them against the same
// limit and proposes no placement beyond it.
func (m *Machine) withinLimit(name string, size model.Resources) bool {
	held, reserved := m.TeamUsage(name)
	return m.limitAllows(name, held+1, reserved.Add(size))
}

// WithinLimit reports whether the tasks that a team has are within its limit, which may
// have been lowered after they were placed.
func (m *Machine) WithinLimit(name string) bool {
	held, reserved := m.TeamUsage(name)
	return m.limitAllows(name, held, reserved)
}

// limitAllows reports whether the team may have so many tasks, which use the given sum of
// resources.
func (m *Machine) limitAllows(name string, tasks int64, use model.Resources) bool {
	limit := m.Team(name)
	if limit == nil || tasks > limit.MaxRunning {
		return false
	}
	bound := limit.MaxResources
	return (bound.CPU == 0 || use.CPU <= bound.CPU) &&
		(bound.Memory == 0 || use.Memory <= bound.Memory) &&
		(bound.Accelerators == 0 || use.Accelerators <= bound.Accelerators)
}

// Team returns the declared team, or nil.
func (m *Machine) Team(name string) *model.Team {
	for i := range m.config.Declarations.Teams {
		if t := &m.config.Declarations.Teams[i]; t.Name == name {
			return t
		}
	}
	return nil
}

func (m *Machine) startTask(p *Placement) {
	j := m.jobs[p.Task.Job]
	t := &j.Tasks[p.Task.Index]
	_, t.Worker = m.workers.get(p.Worker)
	t.Size = p.Size
	t.Fence = m.fence()
	t.Since, t.Unconfirmed, t.Received = m.now, 0, false
	t.Stop = StopNone
	t.Attempt++
	m.setPhase(j, p.Task, model.TaskStarting)
}

// incomplete returns the reason for which a group may not start, or "". No task
// of a gang may be pending once the group is placed.
func (m *Machine) incomplete(group []Placement) RefusalReason {
	j := m.jobs[group[0].Task.Job]
	if j.Spec.Policy == model.PolicyGang && j.Count(model.TaskPending) > 0 {
		return RefusedGangIncomplete
	}
	return ""
}

// rollback releases the resources of the started tasks and restores each task to
// its state before.
func (m *Machine) rollback(started []Placement, before []Task) {
	for i := range started {
		j := m.jobs[started[i].Task.Job]
		m.setPhase(j, started[i].Task, model.TaskPending)
		j.Tasks[started[i].Task.Index] = before[i]
	}
}

// refuse reports to the scheduler that no placement of group was started. The
// reason is that of the placement with the index failed, or of all if failed is
// len(group). The other placements are refused as an incomplete gang.
func (m *Machine) refuse(group []Placement, failed int, reason RefusalReason) {
	for i := range group {
		r := RefusedGangIncomplete
		if i == failed || failed == len(group) {
			r = reason
		}
		m.emit(PlacementRefused{Task: group[i].Task, Worker: group[i].Worker, Reason: r, At: m.now})
	}
}
