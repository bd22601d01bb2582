package state

import (
	"fmt"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// A task may crash every worker that starts it. The machine therefore counts, for
// each task, the workers that have crashed under it, and gives the task up at a
// limit. Only a certain crash counts: the worker has started again as a new
// incarnation, or another worker answers at its address. A worker whose lease has
// expired may also have been cut off; until it is heard of again, the loss is
// unexplained and delays further starts of its tasks for at most crashHold. Losses that
// stay unexplained count at a higher limit. Both count only against tasks whose start the
// worker has got: a start without a response may have been lost on its way. If the leader
// that sent the start was lost, nobody knows whether the worker got it. Such a crash is
// doubtful and counts at the higher limit, too. So is one at the same moment as those of
// other workers, on which the job was starting no task: it has a common cause with them.

const (
	// maxCrashes is the number of crashes from which on a task is not started again. A
	// task that was beside the cause of a crash is placed apart from other suspects, so
	// that it is hardly beside the cause of three.
	maxCrashes = 3
	// maxSoleCrashes replaces maxCrashes if the last crash has no other possible cause.
	maxSoleCrashes = 2
	// startsAfterLastCrash is how often a task may be started after maxCrashes workers have
	// crashed under it, if it is not certain that they have.
	startsAfterLastCrash = 2
	// maxDoubtful replaces maxCrashes if doubtful crashes or silent losses count.
	maxDoubtful = maxCrashes + startsAfterLastCrash
	// maxLosses is the number of crashes and unexplained losses from which on a task is
	// held while one of them is unexplained: crashes that are learned late must not add up
	// to more starts than maxCrashes allows.
	maxLosses = 2
	// crashHold is the time in which most crashed workers start again. A worker that takes
	// longer may be gone, so its tasks are started elsewhere.
	crashHold = 8 * time.Second
	// SettledAfter is the run time from which on the start of a task has not crashed
	// its worker. It is far longer than a start takes.
	SettledAfter = 5 * time.Second
)

// suspicion is what is known of the workers that were lost under a task.
type suspicion struct {
	Crashes     uint16     `cbor:"1,keyasint,omitempty"` // workers that certainly crashed
	Unexplained uint16     `cbor:"2,keyasint,omitempty"` // workers not heard of since their loss
	HeldUntil   model.Time `cbor:"3,keyasint,omitempty"` // the task is not started before
	Near        bool       `cbor:"4,keyasint,omitempty"` // a worker crashed soon after the start
	Silent      uint16     `cbor:"5,keyasint,omitempty"` // those of Unexplained that were lost in the start
	// Key 6 was used by an earlier build.
	Unreceived bool   `cbor:"7,keyasint,omitempty"` // a worker crashed that may not have got its start
	Doubtful   uint16 `cbor:"8,keyasint,omitempty"` // crashes that it is not certain to have caused, nor to have been near
}

// lostAttempt is a task under which a worker may have crashed.
type lostAttempt struct {
	Task     model.TaskID `cbor:"1,keyasint"`
	Evidence evidence     `cbor:"2,keyasint"`
}

// evidence is how likely it is that a task caused a crash of its worker.
type evidence uint8

const (
	evidenceNear       evidence = iota // it was started some time before the crash, or after it
	evidenceLikely                     // it was started when the worker crashed
	evidenceSole                       // so, and no task of another job was
	evidenceUnreceived                 // it is not known that the worker got its start
	evidenceDoubtful                   // the leader that sent the start was lost, or the crash may have a common cause with others
)

// limit returns the number of crashes from which on a task is given up.
func (e evidence) limit() uint16 {
	if e == evidenceSole {
		return maxSoleCrashes
	}
	return maxCrashes
}

// Suspected reports whether a worker has crashed under the task with the index, or may
// have.
func (j *Job) Suspected(index int32) bool {
	_, ok := j.Suspicions[index]
	return ok
}

func (j *Job) setSuspicion(index int32, s suspicion) {
	if s == (suspicion{}) {
		delete(j.Suspicions, index)
		return
	}
	if j.Suspicions == nil {
		j.Suspicions = make(map[int32]suspicion)
	}
	j.Suspicions[index] = s
}

// mayGiveUp reports whether tasks of j are given up after crashes. Tasks that last are always
// restarted, and a task that is not repeatable fails with its first loss.
func (j *Job) mayGiveUp() bool {
	return !j.Spec.Lasts() && !j.Spec.NotRepeatable
}

// unconfirmedStart returns when the current attempt of t was placed, or zero if its worker
// has certainly confirmed the start. The worker may have crashed before a late
// confirmation, which is then from its next incarnation.
func (m *Machine) unconfirmedStart(t *Task) model.Time {
	switch {
	case t.Phase == model.TaskStarting:
		return t.Since
	case t.Phase == model.TaskRunning && m.now.Sub(t.Since) >= SettledAfter:
		return 0
	}
	return t.Unconfirmed
}

// crashTime estimates when a lost worker crashed: after its last confirmed start, and when
// the first start after that was not confirmed. Later ones were sent after the crash.
func (m *Machine) crashTime(w *Worker) model.Time {
	confirmed, unconfirmed := model.Time(0), model.Time(0)
	for _, id := range w.Held {
		if t := &m.jobs[id.Job].Tasks[id.Index]; m.unconfirmedStart(t) == 0 {
			confirmed = max(confirmed, t.Since)
		}
	}
	for _, id := range w.Held {
		placed := m.unconfirmedStart(&m.jobs[id.Job].Tasks[id.Index])
		if placed > confirmed && (unconfirmed == 0 || placed < unconfirmed) {
			unconfirmed = placed
		}
	}
	return max(confirmed, unconfirmed)
}

// suspectsOn returns the tasks that may have crashed w, which are those that were
// starting when it did. It returns nil if there are none or if w ends as planned. The
// crash may have a cause that it shares with other workers rather than a task of the
// given jobs.
func (m *Machine) suspectsOn(w *Worker, commonCause []model.JobID) []lostAttempt {
	return m.suspectsBeside(w, commonCause, w.Lost)
}

// suspectsBeside is suspectsOn with the attempts on w that were lost before, which may have
// crashed it as well.
func (m *Machine) suspectsBeside(w *Worker, commonCause []model.JobID, earlier []lostAttempt) []lostAttempt {
	if len(w.Held) == 0 || w.Mode == model.WorkerLeaving || w.Mode == model.WorkerDraining {
		return nil
	}
	crashed := m.crashTime(w)
	var out []lostAttempt
	for _, id := range w.Held {
		t := &m.jobs[id.Job].Tasks[id.Index]
		if e, suspect := m.evidenceAgainst(t, crashed); suspect {
			out = append(out, lostAttempt{id, e})
		}
	}
	markSole(out, earlier) // a task whose start may not have been received may be the cause, too
	for i := range out {
		a := &out[i]
		t := &m.jobs[a.Task.Job].Tasks[a.Task.Index]
		lost := !t.Received && t.Fence.Term < m.fence().Term
		switch {
		case !t.Received && !lost:
			a.Evidence = evidenceUnreceived
		case lost || slices.Contains(commonCause, a.Task.Job):
			a.Evidence = evidenceDoubtful
		}
	}
	return out
}

// JobsInStart returns the jobs that have tasks on a worker which may crash it in their
// start.
func (m *Machine) JobsInStart(id model.WorkerID) []model.JobID {
	w := m.Worker(id)
	if w == nil {
		return nil
	}
	var out []model.JobID
	for _, a := range m.suspectsOn(w, nil) {
		if !slices.Contains(out, a.Task.Job) {
			out = append(out, a.Task.Job)
		}
	}
	return out
}

// evidenceAgainst returns how likely it is that t caused a crash of its worker at a time.
// It returns false if t has certainly not.
func (m *Machine) evidenceAgainst(t *Task, crashed model.Time) (evidence, bool) {
	placed := m.unconfirmedStart(t)
	if placed != 0 && t.Phase != model.TaskRunning {
		return likelyIf(crashed.Sub(placed) > -model.StartSpan), true
	}
	age := crashed.Sub(t.Since)
	return likelyIf(age < model.StartSpan), age < SettledAfter
}

func likelyIf(likely bool) evidence {
	if likely {
		return evidenceLikely
	}
	return evidenceNear
}

// markSole marks the likely causes of a crash if they and those of the earlier attempts all
// belong to one job.
func markSole(attempts, earlier []lostAttempt) {
	job := model.JobID(0)
	for _, a := range slices.Concat(attempts, earlier) {
		if a.Evidence == evidenceNear {
			continue
		}
		if job != 0 && job != a.Task.Job {
			return
		}
		job = a.Task.Job
	}
	for i := range attempts {
		if attempts[i].Evidence != evidenceNear {
			attempts[i].Evidence = evidenceSole
		}
	}
}

// recordCrash counts a certain crash under each of the tasks. Near tasks are only placed
// apart until another one follows, and those whose start may not have been received until
// they have run.
func (m *Machine) recordCrash(id model.WorkerID, attempts []lostAttempt) {
	if received := received(attempts); len(received) > 0 {
		m.emit(WorkerCrashed{Worker: id, Suspects: len(received)})
	}
	for _, a := range attempts {
		m.updateSuspicion(a.Task, a.Evidence, func(s *suspicion) { s.addCrash(a.Evidence) })
	}
}

// addCrash adds a certain crash.
func (s *suspicion) addCrash(e evidence) {
	switch e {
	case evidenceUnreceived:
		s.Unreceived = true
	case evidenceDoubtful:
		s.Doubtful = addSaturating(s.Doubtful)
	case evidenceNear:
		if s.Near || s.Crashes > 0 {
			s.Crashes = addSaturating(s.Crashes)
		}
		s.Near = true
	default:
		s.Crashes = addSaturating(s.Crashes)
	}
}

// received returns the tasks whose start the worker has got, or may have got.
func received(attempts []lostAttempt) []lostAttempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a lostAttempt) bool { return a.Evidence == evidenceUnreceived })
}

// recordUnexplained records that w was lost and may have crashed under its tasks.
func (m *Machine) recordUnexplained(w *Worker, attempts []lostAttempt) {
	w.Lost = append(w.Lost, attempts...)
	for _, a := range received(attempts) {
		m.updateSuspicion(a.Task, evidenceNear, func(s *suspicion) {
			s.addUnexplained(a.Evidence)
			s.HeldUntil = m.now.Add(crashHold)
		})
	}
}

// explainLoss settles what an earlier loss of w was.
func (m *Machine) explainLoss(w *Worker, crashed bool) {
	attempts := w.Lost
	w.Lost = nil
	for _, a := range received(attempts) {
		m.updateSuspicion(a.Task, evidenceNear, func(s *suspicion) { s.removeUnexplained(a.Evidence) })
	}
	if crashed {
		m.recordCrash(w.Spec.ID, attempts)
	}
}

// explainLossesAt settles the losses of other workers with the address of a worker that
// announces itself.
func (m *Machine) explainLossesAt(address string, announced *Worker) {
	for _, w := range m.workers.list {
		if w != nil && w != announced && len(w.Lost) > 0 && address != "" && w.Spec.Address == address {
			m.explainLoss(w, true)
		}
	}
}

// addUnexplained adds a loss.
func (s *suspicion) addUnexplained(e evidence) {
	s.Unexplained = addSaturating(s.Unexplained)
	if e != evidenceNear {
		s.Silent = addSaturating(s.Silent)
	}
}

// removeUnexplained removes a loss that is explained now.
func (s *suspicion) removeUnexplained(e evidence) {
	s.Unexplained = max(s.Unexplained, 1) - 1
	if e != evidenceNear {
		s.Silent = max(s.Silent, 1) - 1
	}
}

// overLimit reports whether workers have crashed or were lost too often under a task.
func (s *suspicion) overLimit(e evidence) bool {
	return s.Crashes >= e.limit() || int(s.Crashes)+int(s.Silent)+int(s.Doubtful) >= maxDoubtful
}

// updateSuspicion changes the suspicion of a task that has not ended. A pending task is
// given up at the limit of the evidence. It is held only while one of several losses is
// unexplained.
func (m *Machine) updateSuspicion(id model.TaskID, e evidence, change func(*suspicion)) {
	j := m.jobs[id.Job]
	if j == nil || j.Cancelled || !j.mayGiveUp() || j.Task(id.Index) == nil || j.Tasks[id.Index].Phase.Done() {
		return
	}
	s := j.Suspicions[id.Index]
	change(&s)
	if s.Unexplained == 0 || int(s.Crashes)+int(s.Doubtful)+int(s.Unexplained) < maxLosses {
		s.HeldUntil = 0
	}
	j.setSuspicion(id.Index, s)
	m.emit(m.suspicionEvent(j, id.Index))
	if j.Tasks[id.Index].Phase == model.TaskPending && s.overLimit(e) {
		m.giveUp(j, id, &s, e == evidenceSole)
	}
}

// giveUp fails a task that crashes its workers, and with it a step or a gang.
func (m *Machine) giveUp(j *Job, id model.TaskID, s *suspicion, sole bool) {
	m.emit(TaskGivenUp{Task: id, Worker: m.TaskWorker(&j.Tasks[id.Index]), Crashes: int(s.Crashes), Doubtful: int(s.Doubtful), Silent: int(s.Silent), Sole: sole})
	reason := fmt.Sprintf("task %d is given up: %d workers have crashed under it, %d may have, and %d were lost", id.Index, s.Crashes, s.Doubtful, s.Silent)
	f := &Fail{Job: j.ID, Task: id.Index, Reason: reason}
	if j.Step != nil || j.Spec.Policy == model.PolicyGang {
		f.Task = WholeJob
	}
	m.fail(f)
}

// settle clears the suspicion of a running task that has run past its start.
func (m *Machine) settle(j *Job, index int32) bool {
	if !j.Suspected(index) || m.now.Sub(j.Tasks[index].Since) < SettledAfter {
		return false
	}
	j.setSuspicion(index, suspicion{})
	m.emit(m.suspicionEvent(j, index))
	return true
}

func (m *Machine) suspicionEvent(j *Job, index int32) TaskSuspected {
	s := j.Suspicions[index]
	t := &j.Tasks[index]
	return TaskSuspected{Task: model.TaskID{Job: j.ID, Index: index}, Worker: m.TaskWorker(t), Crashes: int(s.Crashes),
		Doubtful: int(s.Doubtful), Unexplained: int(s.Unexplained), Near: s.Near || s.Unreceived, HeldUntil: s.HeldUntil, At: m.now}
}

// replaySuspicions emits the suspicions of a job, for an empty scheduler.
func (m *Machine) replaySuspicions(j *Job, fn func(Event)) {
	for _, index := range sortedKeys(j.Suspicions) {
		fn(m.suspicionEvent(j, index))
	}
}
