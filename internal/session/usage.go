package session

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// usageChangeDivisor is the change, as a part of the value last passed on, from which
	// a task's use is passed on again: one in usageChangeDivisor.
	usageChangeDivisor = 10
	// maxEndedTasks is how many ended tasks may be remembered beside the running ones.
	maxEndedTasks = 16
)

// reportedUsage is the use of one attempt as the leader knows it.
type reportedUsage struct {
	fence model.Fence
	used  model.Resources
}

// usage remembers what the leader knows, so that a steady task costs the inner
// network nothing.
type usage map[model.TaskID]reportedUsage

// changed returns the entries of all that differ enough from what the leader knows.
func (u usage) changed(all []api.TaskUsage) []api.TaskUsage {
	var out []api.TaskUsage
	for _, x := range all {
		known, ok := u[x.Task]
		if !ok || known.fence != x.Fence || differsEnough(known.used, x.Used) {
			out = append(out, x)
		}
	}
	return out
}

func differsEnough(a, b model.Resources) bool {
	return changedByStep(a.CPU, b.CPU) || changedByStep(a.Memory, b.Memory) || a.Accelerators != b.Accelerators
}

func changedByStep(a, b int64) bool {
	d := max(a-b, b-a)
	return d > 0 && d*usageChangeDivisor >= a
}

// note records what the leader has taken.
func (u usage) recordReported(sent []api.TaskUsage) {
	for _, x := range sent {
		u[x.Task] = reportedUsage{fence: x.Fence, used: x.Used}
	}
}

// prune forgets tasks that the worker no longer runs.
func (u usage) prune(running []api.TaskUsage) {
	if len(u) <= len(running)+maxEndedTasks {
		return
	}
	isRunning := make(map[model.TaskID]bool, len(running))
	for _, x := range running {
		isRunning[x.Task] = true
	}
	for task := range u {
		if !isRunning[task] {
			delete(u, task)
		}
	}
}
