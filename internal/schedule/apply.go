package schedule

import (
	"container/heap"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// Apply updates the view of the cell with one event.
func (s *Scheduler) Apply(ev Event) {
	switch e := ev.(type) {
	case ConfigChanged:
		s.configure(e)
	case WorkerUp:
		s.workerUp(e)
	case WorkerModeChanged:
		s.setWorkerMode(e)
	case WorkerResponsivenessChanged:
		s.setWorkerResponsive(e)
	case EvacuationChanged:
		s.setEvacuation(e)
	case EndingChanged:
		s.setEnding(e)
	case WorkerSpeedChanged:
		s.setSpeed(e)
	case WorkersRemoved:
		s.removeWorkers(e.Workers)
	case JobSubmitted:
		s.submit(e)
	case JobPermitsChanged:
		s.setPermits(e)
	case JobPermitNeedChanged:
		s.setPermitNeed(e)
	case JobsCancelled:
		s.cancel(e.IDs)
	case TaskPlaced:
		s.taskPlaced(e)
	case TaskRunning:
		s.taskRunning(e)
	case TaskStopping:
		s.taskStopping(e.Task)
	case TaskEnded:
		s.taskEnded(e)
	case TaskSuspected:
		s.taskSuspected(e)
	case TaskUsageReported:
		s.taskUsageReported(e)
	case PastUseChanged:
		s.setPastUse(e)
	case RequestPermitsChanged:
		s.team(e.Team).requestPermits = e.Permits
	}
}

func (s *Scheduler) submit(e JobSubmitted) {
	if s.jobs[e.ID] != nil || e.Spec.Tasks <= 0 {
		return
	}
	g := s.groupFor(&e)
	j := &job{
		id:            e.ID,
		group:         g,
		submittedAt:   e.At,
		promisedStart: e.StartBy,
		startBy:       e.StartBy,
		tasks:         make([]task, e.Spec.Tasks),
		maxRestarts:   e.Spec.MaxRestarts,
		permits:       newPermitSet(e.NeedsPermit),
		preferred:     preferenceOf(g, e.StartBy.Sub(e.At), e.Spec.RunTime.Std()),
		budgetOnly:    e.RestartBudgetOnly,
	}
	for i, n := range e.Restarts {
		j.tasks[i].restarts = n
	}
	s.jobs[e.ID] = j
	heap.Push(&s.deadlines, j)
	j.runTime = e.Spec.RunTime.Std()
	j.startBy, j.startByUntil = s.opts.Lateness.Position(j.lateness(), e.At)
	if j.startByUntil != 0 {
		heap.Push(&s.late, j)
	}
	g.unfinished++
	s.enqueue(j)
	s.addReady(j, e.Spec.Tasks)
}

// cancel drops the pending tasks of each job, in constant time per job.
func (s *Scheduler) cancel(ids []model.JobID) {
	for _, id := range ids {
		j := s.jobs[id]
		if j == nil || j.cancelled {
			continue
		}
		s.dropPending(j)
	}
}

// dropPending drops all pending tasks of a job and its reservation.
func (s *Scheduler) dropPending(j *job) {
	j.cancelled = true
	if j.reservation != nil {
		s.dropReservation(j.reservation)
	}
	s.dropBooking(j.booking)
	s.addReady(j, -j.ready)
	s.waitingTasks -= int64(j.waiting)
	j.waiting = 0
	s.removeIfFinished(j)
}

func (s *Scheduler) taskPlaced(e TaskPlaced) {
	j, t := s.findTask(e.Task)
	w, known := s.workerByID[e.Worker]
	if t == nil || !known || j.cancelled || t.state.assigned() || t.state == taskDone {
		return
	}
	s.assign(j, e.Task.Index, w, e.Size, e.At)
	s.consumeClaim(j, w)
	s.dropBooking(j.booking)
	j.started = true
	j.limitTurns = 0
	j.lapses = 0
}

func (s *Scheduler) taskRunning(e TaskRunning) {
	j, t := s.findTask(e.Task)
	switch {
	case t == nil:
		return
	case t.state == taskPlaced:
		t.since = e.At
	case t.state == taskStopping:
		s.cancelStop(j, t)
	default:
		return
	}
	t.state = taskRunning
	j.running++
	s.workers[t.worker].invalidateReservation()
}

func (s *Scheduler) taskStopping(id model.TaskID) {
	j, t := s.findTask(id)
	if t == nil || !t.state.assigned() || t.state == taskStopping {
		return
	}
	s.markStopping(j, t)
}

func (s *Scheduler) taskEnded(e TaskEnded) {
	j, t := s.findTask(e.Task)
	if t == nil || t.state == taskDone {
		return
	}
	if !t.state.assigned() {
		if e.Final {
			s.finish(j, e.Task.Index)
		}
		return
	}
	s.evaluateOutcome(j, e.Task.Index, &e)
	s.learnFromEnd(j, &e)
	s.release(j, e.Task.Index)
	if e.Final || j.cancelled {
		s.finish(j, e.Task.Index)
		return
	}
	s.delayRestart(j, e.Task.Index, &e)
}

// learnFromEnd records the usage and the run time, at normal speed, of a successful attempt
// that is still assigned. Attempts that were cut short are no evidence of either.
func (s *Scheduler) learnFromEnd(j *job, e *TaskEnded) {
	if e.Outcome != Succeeded {
		return
	}
	s.learned.ObserveSize(j.group.class, e.Used)
	if !j.group.lasts() {
		s.learned.ObserveRunTime(j.group.class, speed.Normalize(e.RanFor, s.workers[j.tasks[e.Task.Index].worker].speed))
	}
}

// finish marks a task that is not assigned as done.
func (s *Scheduler) finish(j *job, index int32) {
	t := &j.tasks[index]
	switch {
	case j.cancelled:
	case t.state == taskReady:
		s.addReady(j, -1)
	case t.state == taskWaiting:
		j.waiting--
		s.waitingTasks--
		s.markStale(j.group)
	}
	t.state = taskDone
	j.done++
	s.removeIfFinished(j)
}

// delayRestart puts a released task into backoff if it failed, was stopped or did
// not start, or if it succeeded and is to last. A task that failed or was stopped,
// such as for exceeding its size, uses up one restart of its budget; once that is
// exhausted the task stays waiting and a failure is reported. The backoff of a task that
// lasts begins anew after a long run.
func (s *Scheduler) delayRestart(j *job, index int32, e *TaskEnded) {
	atFault := e.Outcome == Failed || e.Outcome == Stopped || e.Outcome == Succeeded && j.group.lasts()
	if !atFault && e.Outcome != NotStarted {
		return
	}
	t := &j.tasks[index]
	if j.unlimitedRestarts() && e.RanFor >= s.opts.EarlyFailure {
		t.restarts = 0
	}
	s.addReady(j, -1)
	t.state = taskWaiting
	t.since = 0
	j.waiting++
	s.waitingTasks++
	if atFault && !e.FailureCounted && !j.countFailure(t) {
		s.pendingReports.failures = append(s.pendingReports.failures, Failure{Job: j.id, Task: index, Reason: ReasonRestartBudget})
		return
	}
	t.since = e.At.Add(s.backoff(j, index))
	s.timers.push(timer{at: t.since, job: j, index: index})
}

// countFailure uses up one restart of t, or of all members of a gang, and reports whether one
// was left.
func (j *job) countFailure(t *task) bool {
	if j.restartsExhausted(t) {
		return false
	}
	n := min(t.restarts, maxRestartCount-1) + 1
	t.restarts = n
	for i := range j.tasks {
		if j.group.policy == gang {
			j.tasks[i].restarts = n
		}
	}
	return true
}

// restartsExhausted reports whether t may not be started again after a failure.
func (j *job) restartsExhausted(t *task) bool {
	return !j.unlimitedRestarts() && int32(t.restarts) >= min(j.maxRestarts, maxRestartCount)
}

// unlimitedRestarts reports whether the tasks of j last and have no declared budget.
func (j *job) unlimitedRestarts() bool { return j.group.lasts() && j.maxRestarts == 0 }

// maxRestartCount is the largest number of failures counted for a task.
const maxRestartCount = 1<<16 - 1

// backoff returns the delay before the next attempt. It doubles with each failure
// up to the cap, which is lower for a service that is to run at all times, and is reduced
// by a jitter of up to a half.
func (s *Scheduler) backoff(j *job, index int32) time.Duration {
	n := min(max(int(j.tasks[index].restarts), 1)-1, maxDoublings)
	d := min(s.opts.BackoffBase<<n, s.opts.BackoffCap)
	if j.unlimitedRestarts() {
		d = min(d, s.opts.ServiceBackoffCap)
	}
	h := s.hash(uint64(j.id), uint64(index), uint64(j.tasks[index].restarts))
	return d - time.Duration(h%uint64(d/2+1))
}

// maxDoublings keeps the shift of the backoff in range.
const maxDoublings = 20

// assign assigns a pending task to a worker and reserves size there.
func (s *Scheduler) assign(j *job, index, slot int32, size model.Resources, at model.Time) {
	t := &j.tasks[index]
	if t.state == taskReady {
		s.addReady(j, -1)
	} else {
		j.waiting--
		s.waitingTasks--
		s.markStale(j.group)
	}
	if j.next == index {
		j.next++
	}
	t.state = taskPlaced
	t.over = withinSize
	t.worker = slot
	t.size = size
	t.since = at
	j.assigned++
	s.assignedTasks++
	tm := s.teams[j.group.team]
	tm.addTask(j.group, size)
	w := &s.workers[slot]
	w.tasks = append(w.tasks, taskRef{j, index})
	if r := w.reservation; r != nil && r.job != j && j.group.lasts() {
		r.lastingBorrow = true
	}
	s.countSuspect(taskRef{j, index}, 1)
	s.isolate(slot, taskRef{j, index})
	s.setFree(slot, w.free.Sub(size))
	s.reserved = s.reserved.Add(size)
	if j.assigned == 1 && j.group.repeatable {
		tm.victims.ReplaceOrInsert(j)
	}
	if w.onProbation() {
		w.health.probe = taskRef{j, index}
	}
}

// release frees the resources of an assigned task and makes it ready.
func (s *Scheduler) release(j *job, index int32) {
	t := &j.tasks[index]
	s.countSuspect(taskRef{j, index}, -1)
	s.clearOverUse(taskRef{j, index})
	tm := s.teams[j.group.team]
	switch t.state {
	case taskRunning:
		j.running--
	case taskStopping:
		tm.stopping = tm.stopping.Sub(t.size)
	}
	t.state = taskReady
	j.assigned--
	s.assignedTasks--
	if j.assigned == 0 {
		tm.victims.Delete(j)
	}
	tm.removeTask(j.group, t.size)
	w := &s.workers[t.worker]
	w.removeTask(j, index)
	s.endIsolation(t.worker, taskRef{j, index})
	if w.health != nil && w.health.probe == (taskRef{j, index}) {
		w.health.probe = taskRef{}
	}
	s.setFree(t.worker, w.free.Add(t.size))
	s.reserved = s.reserved.Sub(t.size)
	if j.cancelled {
		return
	}
	j.next = min(j.next, index)
	s.enqueue(j)
	s.addReady(j, 1)
}

// enqueue adds j to the waiting jobs of its group.
func (s *Scheduler) enqueue(j *job) {
	if !j.queued {
		j.group.add(j)
	}
}

// cancelStop undoes the stop of t, which a later plan may stop again.
func (s *Scheduler) cancelStop(j *job, t *task) {
	tm := s.teams[j.group.team]
	tm.stopping = tm.stopping.Sub(t.size)
	if t.over == overStopped {
		t.over = overThrottled
	}
}

func (s *Scheduler) markStopping(j *job, t *task) {
	if t.state == taskRunning {
		j.running--
	}
	t.state = taskStopping
	tm := s.teams[j.group.team]
	tm.stopping = tm.stopping.Add(t.size)
}

// addReady changes the number of ready tasks of j by n, and adds its group to the
// queue of the team or removes it from there if need be.
func (s *Scheduler) addReady(j *job, n int32) {
	before := j.ready
	j.ready += n
	s.readyTasks += int64(n)
	s.markStale(j.group)
	switch {
	case before == 0 && j.ready > 0:
		s.addReadyJobs(j.group, 1)
		s.markFitFailureUnreported(j.group)
	case before > 0 && j.ready == 0:
		s.addReadyJobs(j.group, -1)
	}
}

func (s *Scheduler) addReadyJobs(g *group, n int32) {
	g.readyJobs += n
	t := s.teams[g.team]
	switch {
	case g.readyJobs > 0 && g.slot < 0:
		t.queue.add(g)
		s.evaluateGroup(g)
	case g.readyJobs == 0 && g.slot >= 0:
		t.queue.remove(g)
	}
}

// findTask returns a job and one of its tasks, or nil if either is unknown.
func (s *Scheduler) findTask(id model.TaskID) (*job, *task) {
	j := s.jobs[id.Job]
	if j == nil || id.Index < 0 || int(id.Index) >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[id.Index]
}

// removeIfFinished removes j once none of its tasks is pending or assigned.
func (s *Scheduler) removeIfFinished(j *job) {
	if !j.finished() {
		return
	}
	delete(s.jobs, j.id)
	j.group.unfinished--
	if j.group.unfinished == 0 {
		s.dropGroup(j.group)
	}
}

func (s *Scheduler) dropGroup(g *group) {
	delete(s.groups, g.groupKey)
	s.selectors.drop(g.selector)
	s.fitBounds.release(g)
	left := slices.DeleteFunc(s.byClass[g.class], func(o *group) bool { return o == g })
	if len(left) == 0 {
		delete(s.byClass, g.class)
		return
	}
	s.byClass[g.class] = left
}
