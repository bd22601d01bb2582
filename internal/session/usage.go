package session

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// usageStep is the change, as a part of the value last passed on, from which
	// a task's use is passed on again: one in usageStep.
	usageStep = 10
	// usageSlack is how many ended tasks may be remembered beside the running ones.
	usageSlack = 16
)

// passedOn is the use of one attempt as the leader knows it.
type passedOn struct {
	fence model.Fence
	used  model.Resources
}

// usage remembers what the leader knows, so that a steady task costs the inner
// network nothing.
type usage map[model.TaskID]passedOn

// changed returns the entries of all that differ enough from what the leader knows.
func (u usage) changed(all []api.TaskUsage) []api.TaskUsage {
	var out []api.TaskUsage
	for _, x := range all {
		known, ok := u[x.Task]
		if !ok || known.fence != x.Fence || differs(known.used, x.Used) {
			out = append(out, x)
		}
	}
	return out
}

func differs(a, b model.Resources) bool {
	return far(a.CPU, b.CPU) || far(a.Memory, b.Memory) || a.Accelerators != b.Accelerators
}

func far(a, b int64) bool {
	d := max(a-b, b-a)
	return d > 0 && d*usageStep >= a
}

// note records what the leader has taken.
func (u usage) note(sent []api.TaskUsage) {
	for _, x := range sent {
		u[x.Task] = passedOn{fence: x.Fence, used: x.Used}
	}
}

// prune forgets tasks that the worker no longer runs.
func (u usage) prune(running []api.TaskUsage) {
	if len(u) <= len(running)+usageSlack {
		return
	}
	alive := make(map[model.TaskID]bool, len(running))
	for _, x := range running {
		alive[x.Task] = true
	}
	for task := range u {
		if !alive[task] {
			delete(u, task)
		}
	}
}
