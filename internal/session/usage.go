package session

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// usageChangeDivisor sets the smallest change of a task's usage that is
	// reported: 1/usageChangeDivisor of the value last reported.
	usageChangeDivisor = 10
	// maxEndedTasks is the number of ended tasks that may be kept in addition
	// to the running ones.
	maxEndedTasks = 16
)

// reportedUsage is the usage of one attempt that the leader last received.
type reportedUsage struct {
	fence model.Fence
	used  model.Resources
}

// usage holds what the leader last received for each task, so that a task with
// steady usage causes no traffic on the inner network.
type usage map[model.TaskID]reportedUsage

// changed returns the elements of all that differ enough from what the leader
// last received.
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

// recordReported records usage that the leader has received.
func (u usage) recordReported(sent []api.TaskUsage) {
	for _, x := range sent {
		u[x.Task] = reportedUsage{fence: x.Fence, used: x.Used}
	}
}

// prune removes tasks that the worker no longer runs, when more than
// maxEndedTasks of them are kept.
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
