package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// health is the failure record of a worker. A worker without early failures has
// none.
type health struct {
	jobs         []model.JobID // distinct jobs that failed early, without a healthy run in between
	probation    bool
	since        model.Time // when the probation began
	probe        taskRef    // the last task that was placed on it on probation, while that is assigned
	nextProbe    model.Time // earliest start of a probe that fits on other workers, too
	nextTry      model.Time // earliest start of a probe that fits nowhere else
	failedProbes int        // failed probes in a row
}

const (
	// maxProbeDoublings limits how often failed probes double the delay before the
	// next one that fits on other workers, too.
	maxProbeDoublings = 4
	// maxTryDoublings does so for those that fit nowhere else: callers wait for these.
	maxTryDoublings = 2
	// probeSettled is the run time after which a probe does not keep the next one from
	// starting. Workers that fail all tasks do so sooner.
	probeSettled = 2 * time.Second
)

// maxProbationPermille is the largest part of the workers that may be on probation
// at once. Beyond it, failures are attributed to the jobs.
const maxProbationPermille = 200

// jobFailures is the failure record of a job.
type jobFailures struct {
	workers []uint64 // ties of the distinct good workers on which it failed
}

// evaluateOutcome updates the failure records of the worker and the job after the
// end of an attempt.
func (s *Scheduler) evaluateOutcome(j *job, index int32, e *TaskEnded) {
	w := &s.workers[j.tasks[index].worker]
	r := taskRef{j, index}
	switch {
	case e.Outcome == NotStarted:
		s.delayAfterRefusal(w, r, e.At)
	case e.Outcome == Failed && e.RanFor < s.opts.EarlyFailure:
		s.recordEarlyFailure(w, r, e.At)
	case e.Outcome == Succeeded || e.RanFor >= s.opts.EarlyFailure:
		s.recordHealthyRun(w, r)
	}
	switch e.Outcome {
	case Succeeded:
		j.succeeded = true
		j.failures = nil
	case Failed:
		s.recordJobFailure(j, w)
	}
}

func (s *Scheduler) recordEarlyFailure(w *worker, r taskRef, at model.Time) {
	if w.health == nil {
		w.health = &health{}
	}
	h := w.health
	if h.probation {
		s.recordFailedProbe(h, r, at)
		return
	}
	if !slices.Contains(h.jobs, r.job.id) {
		h.jobs = append(h.jobs, r.job.id)
	}
	if len(h.jobs) >= s.opts.ProbationJobs && s.mayAddProbation() {
		s.putOnProbation(w, at)
	}
}

// recordFailedProbe delays the next probes after the failure of one. Members of a gang that
// fail together count once.
func (s *Scheduler) recordFailedProbe(h *health, r taskRef, at model.Time) {
	if !h.probed(r) || at < h.nextTry {
		return
	}
	h.failedProbes++
	s.delayProbes(h, at)
}

// probed reports whether an assigned task was started on probation.
func (h *health) probed(r taskRef) bool { return h.probation && r.task().since >= h.since }

// delayProbes sets the delays of the next probes.
func (s *Scheduler) delayProbes(h *health, at model.Time) {
	h.nextProbe = at.Add(s.opts.ProbeInterval << min(h.failedProbes, maxProbeDoublings))
	h.nextTry = at.Add(s.opts.TryInterval << min(h.failedProbes, maxTryDoublings))
}

// delayAfterRefusal delays the next probes after one that never started.
func (s *Scheduler) delayAfterRefusal(w *worker, r taskRef, at model.Time) {
	if w.health != nil && w.health.probed(r) {
		s.delayProbes(w.health, at)
	}
}

func (s *Scheduler) mayAddProbation() bool {
	return int64(len(s.probation)) < max(1, s.workerCount*maxProbationPermille/1000)
}

// putOnProbation puts a worker on probation and removes it from the failure
// records of the jobs that failed early on it.
func (s *Scheduler) putOnProbation(w *worker, at model.Time) {
	h := w.health
	h.probation, h.since = true, at
	s.delayProbes(h, at)
	slot := s.workerByID[w.id]
	s.probation = append(s.probation, slot)
	s.reindex(slot)
	for _, id := range h.jobs {
		if j := s.jobs[id]; j != nil && j.failures != nil {
			j.failures.workers = slices.DeleteFunc(j.failures.workers, func(tie uint64) bool { return tie == w.tie })
		}
	}
}

// recordHealthyRun clears the health record of a worker. On probation, only a run
// of a probe does so.
func (s *Scheduler) recordHealthyRun(w *worker, r taskRef) {
	h := w.health
	if h == nil || h.probation && !h.probed(r) {
		return
	}
	s.clearHealth(w)
}

// clearHealth deletes the health record of a worker and ends its probation.
func (s *Scheduler) clearHealth(w *worker) {
	if w.health == nil {
		return
	}
	onProbation := w.health.probation
	w.health = nil
	if onProbation {
		slot := s.workerByID[w.id]
		s.probation = slices.DeleteFunc(s.probation, func(o int32) bool { return o == slot })
		s.reindex(slot)
	}
}

// recordJobFailure counts a failure on a good worker. A job that failed on enough
// such workers, and none of whose tasks has succeeded, is failed with
// ReasonBadJob.
func (s *Scheduler) recordJobFailure(j *job, w *worker) {
	if j.succeeded || j.budgetOnly || w.onProbation() {
		return
	}
	if j.failures == nil {
		j.failures = &jobFailures{}
	}
	f := j.failures
	if !slices.Contains(f.workers, w.tie) {
		f.workers = append(f.workers, w.tie)
	}
	if len(f.workers) >= s.opts.BadJobWorkers && !j.cancelled {
		s.pendingReports.failures = append(s.pendingReports.failures, Failure{Job: j.id, Task: WholeJob, Reason: ReasonBadJob})
		s.dropPending(j)
	}
}

// passProbes ends the probation of workers on which a probe has run long enough.
func (s *Scheduler) passProbes(now model.Time) {
	for _, slot := range slices.Clone(s.probation) {
		w := &s.workers[slot]
		if at, ok := s.probePassTime(w); ok && at <= now {
			s.clearHealth(w)
		}
	}
}

// probePassTime returns when the first running probe of w will have run long enough, and
// false if none is running.
func (s *Scheduler) probePassTime(w *worker) (at model.Time, ok bool) {
	for _, r := range w.tasks {
		if t := r.task(); t.state == taskRunning && w.health.probed(r) && (!ok || t.since < at) {
			at, ok = t.since, true
		}
	}
	return at.Add(s.opts.EarlyFailure), ok
}

// nextProbeTime returns the next time after now at which a probe passes, or at which a worker
// on probation may be given another one; zero for never.
func (s *Scheduler) nextProbeTime(now model.Time) model.Time {
	var next model.Time
	after := func(at model.Time) {
		if at > now {
			next = earlier(next, at)
		}
	}
	for _, slot := range s.probation {
		w := &s.workers[slot]
		h := w.health
		if at, ok := s.probePassTime(w); ok {
			after(at)
		}
		if r := h.probe; r.job != nil {
			after(r.task().since.Add(probeSettled))
		}
		after(h.nextProbe)
		after(h.nextTry)
		after(h.nextTry.Add(s.opts.ProbeWait))
		after(h.nextTry.Add(2 * s.opts.ProbeWait))
	}
	return next
}

// earlier returns the earlier of two times; zero stands for never.
func earlier(a, b model.Time) model.Time {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// findProbe returns a worker on probation that is due for a probe and on which a task of j
// fits, or noSlot. Only tasks that may fail once more are used as probes.
func (p *planner) findProbe(j *job, index int32, size model.Resources) int32 {
	if len(p.s.probation) == 0 || !j.mayFail(index) {
		return noSlot
	}
	return p.bestProbe(j, size, func(h *health) model.Time { return h.nextProbe })
}

// bestProbe returns a worker on probation on which a task of j fits and which may be given a
// task by now, or noSlot.
func (p *planner) bestProbe(j *job, size model.Resources, from func(*health) model.Time) int32 {
	best := noSlot
	for _, slot := range p.s.probation {
		w := &p.s.workers[slot]
		if p.now < from(w.health) || !w.mayProbe(p.now) || !p.usable(j, slot, size) {
			continue
		}
		if best == noSlot || w.tie < p.s.workers[best].tie {
			best = slot
		}
	}
	return best
}

// mayFail reports whether a task of j may fail once more without failing its job.
func (j *job) mayFail(index int32) bool {
	return j.group.repeatable && !j.restartsExhausted(&j.tasks[index])
}

// usable reports whether a task of j may run and fits on a worker, regardless of
// probation and reservations.
func (p *planner) usable(j *job, slot int32, size model.Resources) bool {
	return p.usableWith(j, slot, size, p.permitted)
}

// usableWith is usable with the given check for permits.
func (p *planner) usableWith(j *job, slot int32, size model.Resources, permitted permitCheck) bool {
	if !p.hasRoom(j, slot, size) || !permitted(j, slot) {
		return false
	}
	if j.group.perWorker == 0 {
		return true
	}
	p.spread.load(p.s, j)
	return p.spread.onWorker[slot] < j.group.perWorker
}

// hasRoom reports whether a task of j fits on an open worker that its selectors match.
func (p *planner) hasRoom(j *job, slot int32, size model.Resources) bool {
	w := &p.s.workers[slot]
	return w.open() && size.Fits(w.free) && p.s.matches(j.group.selector, w.class)
}
