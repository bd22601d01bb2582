package standin

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Rule is an invariant of the system that CheckHistory verifies.
type Rule string

// The invariants.
const (
	RuleNoOverlap   Rule = "a task runs in one place at a time"
	RuleFenceOrder  Rule = "a worker never starts an older attempt"
	RuleAtMostOnce  Rule = "a request that is not repeatable runs at most once"
	RuleSlots       Rule = "an executor never runs more requests than it has slots"
	RuleConnections Rule = "an executor never has more connections than it allows"
	RuleInsideLease Rule = "a task starts only inside its worker's lease"
)

// Violation is one violation of an invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// CheckHistory returns the violations of the invariants in events. The events may come
// from several files in any order, but their times must come from the same clock. A
// task of a killed process counts as running until the last lease of its worker ended.
func CheckHistory(events []Event) []Violation {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	var out []Violation
	out = append(out, checkOverlaps(sorted)...)
	out = append(out, checkFences(sorted)...)
	out = append(out, checkLeases(sorted)...)
	out = append(out, checkRequests(sorted)...)
	return append(out, checkConcurrency(sorted)...)
}

// run is the interval in which one attempt ran on one worker, in Unix nanoseconds.
type run struct {
	worker   string
	fence    model.Fence
	from, to int64
}

type attemptKey struct {
	worker string
	task   model.TaskID
	fence  model.Fence
}

func checkOverlaps(events []Event) []Violation {
	byTask := runsOf(events)
	var out []Violation
	for _, task := range sortedTasks(byTask) {
		runs := byTask[task]
		slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.from, b.from) })
		last := runs[0]
		for _, r := range runs[1:] {
			if r.from < last.to {
				out = append(out, Violation{RuleNoOverlap, fmt.Sprintf("%s ran on %s (fence %v) until %d and on %s (fence %v) from %d",
					task, last.worker, last.fence, last.to, r.worker, r.fence, r.from)})
			}
			if r.to > last.to {
				last = r
			}
		}
	}
	return out
}

func sortedTasks(byTask map[model.TaskID][]run) []model.TaskID {
	out := make([]model.TaskID, 0, len(byTask))
	for t := range byTask {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b model.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return out
}

// runsOf returns the runs of each task. It matches starts with their ends.
func runsOf(events []Event) map[model.TaskID][]run {
	leases := leasesByWorker(events)
	startTimes := make(map[attemptKey]int64)
	out := make(map[model.TaskID][]run)
	end := func(k attemptKey, to int64) {
		out[k.task] = append(out[k.task], run{k.worker, k.fence, startTimes[k], max(to, startTimes[k])})
		delete(startTimes, k)
	}
	for _, e := range events {
		k := attemptKey{e.Worker, e.Task, e.Fence}
		_, running := startTimes[k]
		switch {
		case e.Kind == EventStart && !running:
			startTimes[k] = e.At
		case (e.Kind == EventEnd || e.Kind == EventStop) && running:
			end(k, e.At)
		case e.Kind == EventBoot:
			endRunsBeforeBoot(startTimes, e, leases, end)
		}
	}
	for k := range startTimes {
		end(k, lastLeaseEnd(leases[k.worker], math.MaxInt64))
	}
	return out
}

// endRunsBeforeBoot ends the unfinished runs of the previous process of a worker. They
// ended at the boot of the new process or at the end of the worker's lease, whichever
// came first.
func endRunsBeforeBoot(startTimes map[attemptKey]int64, boot Event, leases map[string][]Event, end func(attemptKey, int64)) {
	for k := range startTimes {
		if k.worker == boot.Worker {
			end(k, min(boot.At, leaseEndAt(leases[k.worker], boot.At)))
		}
	}
}

func leasesByWorker(events []Event) map[string][]Event {
	out := make(map[string][]Event)
	for _, e := range events {
		if e.Kind == EventLease {
			out[e.Worker] = append(out[e.Worker], e)
		}
	}
	return out
}

func leaseEndAt(leases []Event, at int64) int64 {
	until := int64(math.MaxInt64)
	for _, l := range leases {
		if l.At <= at {
			until = l.Until
		}
	}
	return until
}

func lastLeaseEnd(leases []Event, fallback int64) int64 {
	if len(leases) == 0 {
		return fallback
	}
	return leases[len(leases)-1].Until
}

func checkFences(events []Event) []Violation {
	type workerTask struct {
		worker string
		task   model.TaskID
	}
	highestFence := make(map[workerTask]model.Fence)
	var out []Violation
	for _, e := range events {
		if e.Kind != EventStart {
			continue
		}
		p := workerTask{e.Worker, e.Task}
		if e.Fence.Less(highestFence[p]) {
			out = append(out, Violation{RuleFenceOrder, fmt.Sprintf("%s on %s: fence %v after %v", e.Task, e.Worker, e.Fence, highestFence[p])})
			continue
		}
		highestFence[p] = e.Fence
	}
	return out
}

func checkLeases(events []Event) []Violation {
	until := make(map[string]int64)
	var out []Violation
	for _, e := range events {
		switch e.Kind {
		case EventLease:
			until[e.Worker] = e.Until
		case EventStart:
			if u, ok := until[e.Worker]; ok && e.At > u {
				out = append(out, Violation{RuleInsideLease, fmt.Sprintf("%s on %s began %d ns after the lease", e.Task, e.Worker, e.At-u)})
			}
		}
	}
	return out
}

// checkRequests finds requests that are not repeatable and ran more than once. A request
// is identified by the caller's idempotency key, or else by its request ID.
func checkRequests(events []Event) []Violation {
	ran := make(map[string]Event)
	var out []Violation
	for _, e := range events {
		if e.Kind != EventRequestBegin || !e.NotRepeatable {
			continue
		}
		id := e.Request
		if e.Key != "" {
			id = "key " + e.Key
		}
		if first, ok := ran[id]; ok {
			out = append(out, Violation{RuleAtMostOnce, fmt.Sprintf("%s ran at %s and again at %s", id, first.Executor, e.Executor)})
			continue
		}
		ran[id] = e
	}
	return out
}

func checkConcurrency(events []Event) []Violation {
	var out []Violation
	for _, e := range events {
		if e.Limit == 0 || e.Concurrent <= e.Limit {
			continue
		}
		detail := fmt.Sprintf("%s had %d of %d", e.Executor, e.Concurrent, e.Limit)
		switch e.Kind {
		case EventRequestBegin:
			out = append(out, Violation{RuleSlots, detail})
		case EventConnections:
			out = append(out, Violation{RuleConnections, detail})
		}
	}
	return out
}
