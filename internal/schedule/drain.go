package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// draining reports whether the tasks of w are to be evicted.
func (w *worker) draining() bool {
	return w.known && (w.mode == model.WorkerDraining || w.mode == model.WorkerLeaving)
}

// drain evicts tasks from draining workers, and moves tasks that last away from evacuated
// ones. Tasks of a service are evicted a few at a time, so that most of the service stays
// available; tasks that are not repeatable are left to end.
func (p *planner) drain() {
	s := p.s
	s.draining = slices.DeleteFunc(s.draining, func(slot int32) bool {
		w := &s.workers[slot]
		return !w.draining() && !w.evacuated || len(w.tasks) == 0
	})
	slices.SortFunc(s.draining, func(a, b int32) int {
		return cmp.Compare(s.workers[a].tie, s.workers[b].tie)
	})
	s.draining = slices.Compact(s.draining)
	for _, slot := range s.draining {
		if w := &s.workers[slot]; !w.draining() {
			p.moveTasks(w)
			continue
		}
		for _, r := range sortedTasks(s.workers[slot].tasks) {
			if len(p.plan.Preemptions) >= p.max {
				return
			}
			p.evict(r)
		}
	}
}

// sortedTasks returns a copy of refs, ordered by job and task index.
func sortedTasks(refs []taskRef) []taskRef {
	out := slices.Clone(refs)
	slices.SortFunc(out, func(a, b taskRef) int {
		return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
	})
	return out
}

func (p *planner) evict(r taskRef) {
	j := r.job
	if !j.group.repeatable || p.stopping(r) {
		return
	}
	if j.group.policy == service && p.unavailable(j) >= p.maxUnavailable(j) {
		return
	}
	p.preempt(r, 0, ReasonDrain)
}

// unavailable returns how many tasks of a service are not running, including those
// that this plan preempts.
func (p *planner) unavailable(j *job) int32 {
	return int32(len(j.tasks)) - j.done - j.running + p.preemptedRunning[j]
}

func (p *planner) maxUnavailable(j *job) int32 {
	return max(1, int32(int64(len(j.tasks))*int64(p.s.opts.MaxUnavailablePermille)/1000))
}

// stopping reports whether an assigned task is stopping or preempted by this plan.
func (p *planner) stopping(r taskRef) bool {
	return r.job.tasks[r.index].state == taskStopping || p.preempted[r]
}

// preempt plans the stop of a task and, if it belongs to a gang, of the rest of
// the gang.
func (p *planner) preempt(r taskRef, forJob model.JobID, reason Reason) {
	if r.job.group.policy != gang {
		p.preemptOne(r, forJob, reason)
		return
	}
	for i := range r.job.tasks {
		member := taskRef{r.job, int32(i)}
		if r.job.tasks[i].state.stoppable() && !p.stopping(member) {
			p.preemptOne(member, forJob, reason)
		}
	}
}

func (p *planner) preemptOne(r taskRef, forJob model.JobID, reason Reason) {
	if p.preempted == nil {
		p.preempted = map[taskRef]bool{}
		p.preemptedRunning = map[*job]int32{}
	}
	t := &r.job.tasks[r.index]
	p.preempted[r] = true
	if t.state == taskRunning {
		p.preemptedRunning[r.job]++
	}
	tm := p.s.teams[r.job.group.team]
	tm.plannedStops = tm.plannedStops.Add(t.size)
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
		Task:        model.TaskID{Job: r.job.id, Index: r.index},
		Worker:      p.s.workers[t.worker].id,
		For:         forJob,
		Reason:      reason,
		Checkpoint:  r.job.group.checkpoint,
		LostRunTime: p.lostRunTime(r),
	})
}

// lostRunTime returns the run time that is lost when a task is stopped.
func (p *planner) lostRunTime(r taskRef) time.Duration {
	t := &r.job.tasks[r.index]
	if r.job.group.checkpoint || t.state != taskRunning || r.job.group.lasts() {
		return 0
	}
	return max(p.now.Sub(t.since), 0)
}
