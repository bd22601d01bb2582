package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Tasks that may have crashed a worker are placed apart from each other and, as far as
// possible, from other tasks, so that the next crash shows which one causes it and takes
// few others along. Room for work that waits goes before that: where there are too many
// suspects, they share workers, as few on each as possible, so that each further crash leaves
// a part of them only.

// maxAlonePermille is the largest part of the workers that are kept for one suspect alone at
// the same time. Other workers with suspects are only the last choice for other work.
const maxAlonePermille = 200

const (
	// maxAloneWait is how long a suspect waits at most for a worker on which it is alone
	// in its start, and keeps others from one: a second less than callers wait for work
	// that could run.
	maxAloneWait = 2 * time.Second
	// aloneRetry is the time between searches for such a worker.
	aloneRetry = 200 * time.Millisecond
)

// taskSuspected changes the suspicion of a task, and until when it is held.
func (s *Scheduler) taskSuspected(e TaskSuspected) {
	j, t := s.findTask(e.Task)
	if t == nil || t.state == taskDone {
		return
	}
	before := j.suspects[e.Task.Index]
	s.countSuspect(taskRef{j, e.Task.Index}, -1)
	after := suspect{suspicion: e.Suspicion, heldUntil: e.HeldUntil}
	if e.Suspicion == KeepAlone {
		after.aloneUntil = max(e.At, e.HeldUntil).Add(maxAloneWait)
	}
	j.setSuspect(e.Task.Index, after)
	s.countSuspect(taskRef{j, e.Task.Index}, 1)
	switch {
	case t.state.assigned():
		s.setIsolation(t.worker, taskRef{j, e.Task.Index}, e.Suspicion)
	case j.cancelled:
	case t.state == taskReady && e.HeldUntil > e.At:
		s.addReady(j, -1)
		t.state = taskWaiting
		j.waiting++
		s.waitingTasks++
		s.holdUntil(j, e.Task.Index, e.HeldUntil)
	case t.state == taskWaiting && t.since != 0 && e.HeldUntil > t.since:
		s.holdUntil(j, e.Task.Index, e.HeldUntil)
	case t.state == taskWaiting && t.since == before.heldUntil && e.HeldUntil < t.since:
		s.holdUntil(j, e.Task.Index, e.At)
	}
}

func (s *Scheduler) holdUntil(j *job, index int32, at model.Time) {
	j.tasks[index].since = at
	s.timers.push(timer{at: at, job: j, index: index})
}

// suspect is what the scheduler knows of a suspected task.
type suspect struct {
	suspicion  Suspicion
	heldUntil  model.Time
	aloneUntil model.Time // until then, it is placed only where it is alone in its start; zero: anywhere
}

func (j *job) setSuspect(index int32, v suspect) {
	if v == (suspect{}) {
		delete(j.suspects, index)
		return
	}
	if j.suspects == nil {
		j.suspects = make(map[int32]suspect)
	}
	j.suspects[index] = v
}

// isolate makes the worker of an assigned suspect the last choice for other tasks. The caller
// updates the index of free capacity.
func (s *Scheduler) isolate(slot int32, r taskRef) {
	w := &s.workers[slot]
	v := r.job.suspects[r.index]
	if r.job.group.policy != batch || v.suspicion < KeepIsolated || w.isolatedFor.job != nil {
		return
	}
	bound := max(1, s.workerCount*maxAlonePermille/1000)
	if v.suspicion < KeepAlone && int64(len(s.isolated)) >= bound {
		return
	}
	w.isolatedFor = r
	s.isolated = append(s.isolated, slot)
	if v.suspicion == KeepAlone && s.keptAlone < bound {
		w.keptAlone = true
		s.keptAlone++
	}
}

// countSuspect adds n to the suspects on the worker of a task that is assigned and suspected.
func (s *Scheduler) countSuspect(r taskRef, n int32) {
	if t := r.task(); t.state.assigned() && r.suspected() {
		s.workers[t.worker].suspects += n
	}
}

// setIsolation makes the worker of an assigned task the last choice for others, or no longer.
func (s *Scheduler) setIsolation(slot int32, r taskRef, v Suspicion) {
	if v >= KeepIsolated {
		s.isolate(slot, r)
	} else {
		s.endIsolation(slot, r)
	}
	s.reindex(slot)
}

// endIsolation ends what isolate has begun, if the worker is kept for the given task. It is
// then kept for another suspect that it runs, if any.
func (s *Scheduler) endIsolation(slot int32, r taskRef) {
	w := &s.workers[slot]
	if w.isolatedFor != r {
		return
	}
	w.isolatedFor = taskRef{}
	if w.keptAlone {
		w.keptAlone = false
		s.keptAlone--
	}
	s.isolated = slices.DeleteFunc(s.isolated, func(o int32) bool { return o == slot })
	for i := 0; i < len(w.tasks) && w.suspects > 0; i++ {
		s.isolate(slot, w.tasks[i])
	}
}

// nextShareTime returns the next time after now at which a worker that is kept for a suspect
// may be shared; zero for never.
func (s *Scheduler) nextShareTime(now model.Time) model.Time {
	var next model.Time
	after := func(at model.Time) {
		if at > now {
			next = earlier(next, at)
		}
	}
	for _, slot := range s.isolated {
		w := &s.workers[slot]
		after(w.isolatedFor.job.suspects[w.isolatedFor.index].aloneUntil)
		for _, r := range w.tasks {
			after(r.task().since.Add(model.StartSpan))
		}
	}
	return next
}

// mustWait reports whether the next task of j is a suspect that waits for a worker on which it
// is alone in its start, though it fits on another one.
func (p *planner) mustWait(j *job, size model.Resources) bool {
	if j.group.policy != batch || len(j.suspects) == 0 {
		return false
	}
	v := j.suspects[j.nextReady(j.next)]
	if v.aloneUntil <= p.now || p.findAlone(j, size) != noSlot || p.findAmongSuspects(j, size) == noSlot {
		return false
	}
	p.wakeAt(min(p.now.Add(aloneRetry), v.aloneUntil))
	return true
}

// findSuspectPlace returns a worker for a suspect, or noSlot: one on which it is alone in its
// start, or else the one with the fewest other suspects.
func (p *planner) findSuspectPlace(j *job, size model.Resources) int32 {
	if slot := p.findAlone(j, size); slot != noSlot {
		return slot
	}
	return p.findAmongSuspects(j, size)
}

// findAlone returns a worker on which a suspect is alone in its start, or noSlot: one without
// tasks, or else one on which all have run past their start.
func (p *planner) findAlone(j *job, size model.Resources) int32 {
	for _, fits := range []func(*worker) bool{(*worker).idle, p.quiet} {
		if slot := p.findApart(j, size, fits); slot != noSlot {
			return slot
		}
	}
	slot := p.findShared(j, size, p.quieter)
	if slot != noSlot && p.quiet(&p.s.workers[slot]) {
		return slot
	}
	return noSlot
}

// findApart returns the tightest available worker for a suspect that fits accepts, or noSlot.
func (p *planner) findApart(j *job, size model.Resources, fits func(*worker) bool) int32 {
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	base := p.accept(j, exact)
	return p.bestOf(bins, size, func(slot int32) bool { return fits(&p.s.workers[slot]) && (base == nil || base(slot)) }, preferNone)
}

// quieter orders workers on which every task has run past its start before others, then from the
// tightest to the emptiest.
func (p *planner) quieter(a, b int32) bool {
	return cmp.Or(compareBool(!p.quiet(&p.s.workers[a]), !p.quiet(&p.s.workers[b])), p.compareTight(a, b)) < 0
}

func (w *worker) idle() bool { return len(w.tasks) == 0 }

// quiet reports whether every task on w has run past its start.
func (p *planner) quiet(w *worker) bool {
	return !slices.ContainsFunc(w.tasks, p.starting)
}

// suspectsStarted reports whether every suspect on w has run past its start.
func (p *planner) suspectsStarted(w *worker) bool {
	return !slices.ContainsFunc(w.tasks, func(r taskRef) bool { return r.suspected() && p.starting(r) })
}

// starting reports whether an assigned task has not run past its start.
func (p *planner) starting(r taskRef) bool {
	t := r.task()
	return t.state != taskRunning || p.now.Sub(t.since) < model.StartSpan
}

func (r taskRef) suspected() bool { return r.job.suspects[r.index].suspicion != NotSuspected }

// findAmongSuspects returns the worker for a suspect with the fewest other suspects, the
// tightest of several, or noSlot. A further crash then leaves few of them suspected.
func (p *planner) findAmongSuspects(j *job, size model.Resources) int32 {
	best := noSlot
	consider := func(slot int32) {
		if best == noSlot || p.fewerSuspects(slot, best) {
			best = slot
		}
	}
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	accept := p.accept(j, exact)
	for _, bin := range bins {
		p.s.free.Each(bin, size, func(slot int32, _ model.Resources) {
			if accept == nil || accept(slot) {
				consider(slot)
			}
		})
	}
	if slot := p.findShared(j, size, p.fewerSuspects); slot != noSlot {
		consider(slot)
	}
	return best
}

// fewerSuspects orders workers by their suspects, then from the tightest to the emptiest.
func (p *planner) fewerSuspects(a, b int32) bool {
	return cmp.Or(cmp.Compare(p.s.workers[a].suspects, p.s.workers[b].suspects), p.compareTight(a, b)) < 0
}
