package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// health is what a worker with early failures remembers. Healthy workers have none.
type health struct {
	jobs         []model.JobID // different jobs that failed early, in a row
	probation    bool
	probe        taskRef    // the one task that it may run, while it holds
	nextProbe    model.Time // no probe before this
	failedProbes int        // probes in a row
}

// maxProbeDoublings bounds how far failed probes put off the next one.
const maxProbeDoublings = 4

// maxProbationPermille is the part of the workers that may be on probation at
// once. Beyond it, the failures are taken to be the jobs' own.
const maxProbationPermille = 200

// faults is what a job with failed tasks remembers.
type jobFailures struct {
	workers []uint64 // ties of the good workers on which it failed, without doubles
}

// judge draws from the end of an attempt whether its worker or its job is bad.
func (s *Scheduler) evaluateOutcome(j *job, index int32, e *TaskEnded) {
	w := &s.workers[j.tasks[index].worker]
	r := taskRef{j, index}
	switch {
	case e.Outcome == NotStarted:
		s.delayProbe(w, r, e.At)
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
		if h.probe == r {
			h.failedProbes++
			h.nextProbe = at.Add(s.probeDelay(h))
		}
		return
	}
	if !slices.Contains(h.jobs, r.job.id) {
		h.jobs = append(h.jobs, r.job.id)
	}
	if len(h.jobs) >= s.opts.ProbationJobs && s.mayAddProbation() {
		s.putOnProbation(w, at)
	}
}

// delayProbe waits for the next probe after one that never started.
func (s *Scheduler) delayProbe(w *worker, r taskRef, at model.Time) {
	if w.onProbation() && w.health.probe == r {
		w.health.nextProbe = at.Add(s.probeDelay(w.health))
	}
}

func (s *Scheduler) probeDelay(h *health) time.Duration {
	return s.opts.ProbeInterval << min(h.failedProbes, maxProbeDoublings)
}

func (s *Scheduler) mayAddProbation() bool {
	return int64(len(s.probation)) < max(1, s.workerCount*maxProbationPermille/1000)
}

// probate puts a worker on probation and clears the jobs that failed there of
// the suspicion that this worker gave rise to.
func (s *Scheduler) putOnProbation(w *worker, at model.Time) {
	h := w.health
	h.probation = true
	h.nextProbe = at.Add(s.probeDelay(h))
	slot := s.workerByID[w.id]
	s.probation = append(s.probation, slot)
	s.reindex(slot)
	for _, id := range h.jobs {
		if j := s.jobs[id]; j != nil && j.failures != nil {
			j.failures.workers = slices.DeleteFunc(j.failures.workers, func(tie uint64) bool { return tie == w.tie })
		}
	}
}

// recordHealthyRun ends the suspicion of a worker; on probation only its probe does.
func (s *Scheduler) recordHealthyRun(w *worker, r taskRef) {
	h := w.health
	if h == nil || h.probation && h.probe != r {
		return
	}
	s.clearHealth(w)
}

// acquit forgets the failures of a worker.
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

// blame counts a failure on a good worker. A job none of whose tasks has
// succeeded, and that failed on enough of them, is told as bad.
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

// passProbes ends the probation of workers whose probe has run long enough.
func (s *Scheduler) passProbes(now model.Time) {
	for _, slot := range slices.Clone(s.probation) {
		w := &s.workers[slot]
		if at, ok := s.probePassTime(w); ok && at <= now {
			s.clearHealth(w)
		}
	}
}

// probePassTime returns when the running probe of w will have run long enough.
func (s *Scheduler) probePassTime(w *worker) (model.Time, bool) {
	r := w.health.probe
	if r.job == nil || r.job.tasks[r.index].state != taskRunning {
		return 0, false
	}
	return r.job.tasks[r.index].since.Add(s.opts.EarlyFailure), true
}

// nextProbe returns when the first worker on probation needs a look; zero for never.
func (s *Scheduler) nextProbeTime() model.Time {
	var next model.Time
	for _, slot := range s.probation {
		w := &s.workers[slot]
		at, ok := s.probePassTime(w)
		if !ok && w.health.probe.job == nil {
			at, ok = w.health.nextProbe, true
		}
		if ok {
			next = earlier(next, at)
		}
	}
	return next
}

// sooner returns the earlier of two times, of which zero is never.
func earlier(a, b model.Time) model.Time {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// probeDue reports whether some worker on probation may be given a probe.
func (s *Scheduler) probeDue(now model.Time) bool {
	for _, slot := range s.probation {
		if h := s.workers[slot].health; h.probe.job == nil && h.nextProbe <= now {
			return true
		}
	}
	return false
}

// findProbe returns a worker on probation that is due for a probe and has room
// for a task of j, or noSlot. Only tasks that may fail once more are risked.
func (p *planner) findProbe(j *job, index int32, size model.Resources) int32 {
	if len(p.s.probation) == 0 || !mayProbe(j, index) {
		return noSlot
	}
	best := noSlot
	for _, slot := range p.s.probation {
		w := &p.s.workers[slot]
		h := w.health
		due := h.probe.job == nil && h.nextProbe <= p.now
		if !due || w.reservation != nil || !p.usable(j, slot, size) {
			continue
		}
		if best == noSlot || w.tie < p.s.workers[best].tie {
			best = slot
		}
	}
	return best
}

func mayProbe(j *job, index int32) bool {
	return j.group.repeatable && int32(j.tasks[index].restarts) < j.maxRestarts
}

// usable reports whether a task of j may and can run on a worker, leaving aside
// probation and holds.
func (p *planner) usable(j *job, slot int32, size model.Resources) bool {
	w := &p.s.workers[slot]
	if !w.open() || !size.Fits(w.free) || !p.s.matches(j.group.selector, w.class) || !p.permitted(j, slot) {
		return false
	}
	if !j.group.exclusive {
		return true
	}
	p.spread.load(p.s, j)
	return !p.spread.onWorker[slot]
}
