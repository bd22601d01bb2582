package state

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
)

// submissionKey makes a resent submission find its first job.
type submissionKey struct {
	Team string
	Key  string
}

// Queue returns the declared queue, or nil.
func (m *Machine) Queue(name string) *model.Queue {
	for i := range m.config.Declarations.Queues {
		if q := &m.config.Declarations.Queues[i]; q.Name == name {
			return q
		}
	}
	return nil
}

// DefaultQueue returns the first queue that the team owns, or nil.
func (m *Machine) DefaultQueue(team string) *model.Queue {
	for i := range m.config.Declarations.Queues {
		if q := &m.config.Declarations.Queues[i]; q.Team == team {
			return q
		}
	}
	return nil
}

// submit adds a job. The caller has checked the specification; what depends on
// the configuration is checked here, since only here the order is final.
func (m *Machine) submit(c *Submit) Result {
	if c.IdempotencyKey != "" {
		if r, found := m.findResent(c); found {
			return r
		}
	}
	q := m.Queue(c.Spec.Queue)
	if q == nil {
		return Result{Err: errkind.New(errkind.UnknownQueue, "queue %q is not declared", c.Spec.Queue)}
	}
	if !q.Admits(c.Spec.Team) {
		return Result{Err: errkind.New(errkind.QueueClosed, "queue %q does not admit team %q", q.Name, c.Spec.Team)}
	}
	if c.Spec.Tasks <= 0 {
		return Result{Err: errkind.New(errkind.BadRequest, "a job has at least one task")}
	}
	j := m.newJob(c, q)
	m.jobs[j.ID] = j
	if c.IdempotencyKey != "" {
		m.submissions[submissionKey{c.Spec.Team, c.IdempotencyKey}] = j.ID
	}
	m.emit(JobSubmitted{Job: j})
	return Result{Job: j.ID}
}

// findResent answers a submission whose idempotency key is known.
func (m *Machine) findResent(c *Submit) (Result, bool) {
	id, ok := m.submissions[submissionKey{c.Spec.Team, c.IdempotencyKey}]
	if !ok {
		return Result{}, false
	}
	if m.jobs[id].SubmissionDigest != c.Digest {
		return Result{Err: errkind.New(errkind.IdempotencyConflict,
			"the Idempotency-Key was used for another body, which became job %s", id)}, true
	}
	return Result{Job: id, Existing: true}, true
}

// nextJobID returns the log index, or the next number where a command makes
// several jobs.
func (m *Machine) nextJobID() model.JobID {
	m.lastJob = max(m.lastJob+1, model.JobID(m.index))
	return m.lastJob
}

func (m *Machine) newJob(c *Submit, q *model.Queue) *Job {
	prices := m.config.Declarations.Prices
	j := &Job{
		ID:               m.nextJobID(),
		Spec:             c.Spec,
		Team:             q.ChargedTeam(c.Spec.Team),
		Submitted:        m.now,
		StartBy:          m.now.Add(c.Spec.Patience.Std()),
		Price:            ledger.PriceFor(prices, c.Spec.Patience),
		Version:          m.index,
		Tasks:            make([]Task, c.Spec.Tasks),
		IdempotencyKey:   c.IdempotencyKey,
		SubmissionDigest: c.Digest,
	}
	j.CheapestPrice = j.Price
	if len(prices) > 0 {
		j.CheapestPrice = min(j.Price, prices[len(prices)-1].MicroUnits)
	}
	for i := range j.Tasks {
		j.Tasks[i].Worker = noWorker
	}
	j.counts[model.TaskPending] = c.Spec.Tasks
	m.updatePending(j, false)
	return j
}

// cancel ends waiting tasks at once and tells held ones to stop.
func (m *Machine) cancel(c *Cancel) Result {
	var cancelled []model.JobID
	for _, id := range c.Jobs {
		j := m.jobs[id]
		if j == nil || j.Cancelled || j.Finished != 0 || (c.Team != "" && j.Spec.Team != c.Team) {
			continue
		}
		cancelled = append(cancelled, id)
	}
	if len(cancelled) == 0 {
		return Result{}
	}
	m.emit(JobsCancelled{IDs: cancelled})
	for _, id := range cancelled {
		j := m.jobs[id]
		j.Cancelled = true
		m.endJob(j, model.TaskCancelled, StopCancelled, "cancelled")
	}
	return Result{Count: len(cancelled)}
}

// fail ends a job, or one task of it, that cannot succeed.
func (m *Machine) fail(c *Fail) Result {
	j := m.jobs[c.Job]
	if j == nil || j.Finished != 0 || (c.Task != WholeJob && j.Task(c.Task) == nil) {
		return Result{Existing: true}
	}
	if c.Task != WholeJob {
		m.failTask(j, model.TaskID{Job: j.ID, Index: c.Task}, c.Reason)
		return Result{Count: 1}
	}
	j.Reason = c.Reason
	m.emit(JobsCancelled{IDs: []model.JobID{j.ID}})
	m.endJob(j, model.TaskFailed, StopFailed, c.Reason)
	return Result{Count: 1}
}

// failTask ends one task and tells so, since no event of its job does.
func (m *Machine) failTask(j *Job, id model.TaskID, reason string) {
	t := &j.Tasks[id.Index]
	if t.Phase == model.TaskPending {
		ev := m.taskEvent(id, t)
		ev.To = model.TaskFailed
		ev.Outcome = model.OutcomeFailed
		defer m.emit(ev)
		j.recordReason(id.Index, reason)
	}
	m.endTask(j, id, model.TaskFailed, StopFailed, reason)
}

// endJob moves waiting tasks to the final phase and stops the held ones.
func (m *Machine) endJob(j *Job, final model.TaskPhase, cause StopCause, reason string) {
	for i := range j.Spec.Tasks {
		if j.Finished != 0 {
			return // with the last waiting task
		}
		m.endTask(j, model.TaskID{Job: j.ID, Index: i}, final, cause, reason)
	}
}

// endTask moves a waiting task to the final phase, or stops a held one.
func (m *Machine) endTask(j *Job, id model.TaskID, final model.TaskPhase, cause StopCause, reason string) {
	t := &j.Tasks[id.Index]
	j.Version = m.index
	if t.Phase.HoldsResources() {
		m.stopTask(j, id, cause, reason)
		return
	}
	if t.Phase != model.TaskPending {
		return
	}
	m.setPhase(j, id, final)
}

// refund marks jobs whose promised start was missed: they are charged at the cheapest price.
func (m *Machine) refund(c *Refund) Result {
	n := 0
	for _, id := range c.Jobs {
		if j := m.jobs[id]; j != nil && !j.StartMissed && j.Finished == 0 {
			j.StartMissed = true
			j.Version = m.index
			n++
		}
	}
	return Result{Count: n}
}

// expire forgets finished jobs, lost workers and records of requests that have
// been kept long enough.
func (m *Machine) expire() Result {
	m.removeWorkers()
	before := m.now.Add(-m.opts.KeepFinished.Std())
	n := 0
	for _, id := range m.finishedJobs {
		j := m.jobs[id]
		if j.Finished > before {
			break
		}
		delete(m.jobs, id)
		if j.IdempotencyKey != "" {
			delete(m.submissions, submissionKey{j.Spec.Team, j.IdempotencyKey})
		}
		m.emit(JobRemoved{ID: id})
		n++
	}
	m.finishedJobs = append([]model.JobID(nil), m.finishedJobs[n:]...)
	m.expireWorkflows(before)
	m.journal.Expire(m.now)
	return Result{Count: n}
}

// ExpireDue reports whether an Expire command at now would forget something.
func (m *Machine) ExpireDue(now model.Time) bool {
	if len(m.finishedJobs) > 0 && m.jobs[m.finishedJobs[0]].Finished <= now.Add(-m.opts.KeepFinished.Std()) {
		return true
	}
	return m.journal.ExpireDue(now) || len(m.removableWorkers(now)) > 0
}

// HasSubmission reports whether a submission under the idempotency key was accepted.
func (m *Machine) HasSubmission(team, idempotencyKey string) bool {
	_, ok := m.submissions[submissionKey{team, idempotencyKey}]
	return ok
}

// JobCount returns how many jobs are kept, finished ones included.
func (m *Machine) JobCount() int { return len(m.jobs) }

// PendingJobs returns how many jobs of the queue have waiting tasks.
func (m *Machine) PendingJobs(queue string) int64 { return m.pendingJobs[queue] }
