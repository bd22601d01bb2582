package state

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
)

// submissionKey identifies a submission, so that a resend returns the first job.
type submissionKey struct {
	Team string
	Key  string
}

// Queue returns the declared queue, or nil.
func (m *Machine) Queue(name string) *model.Queue {
	return findQueue(m.config.Declarations.Queues, name)
}

// ServedQueue returns the queue by whose terms accepted work runs: the declared one or,
// if it has been withdrawn, its last declaration. It returns nil if there is neither.
func (m *Machine) ServedQueue(name string) *model.Queue {
	if q := m.Queue(name); q != nil {
		return q
	}
	return findQueue(m.config.WithdrawnQueues, name)
}

func findQueue(queues []model.Queue, name string) *model.Queue {
	for i := range queues {
		if q := &queues[i]; q.Name == name {
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

// submit adds a job. The caller has checked the specification. What depends on
// the configuration is checked here, since only the log fixes the order of
// submissions and changes of the configuration.
func (m *Machine) submit(c *Submit) Result {
	if c.IdempotencyKey != "" {
		if r, found := m.FindResent(c); found {
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
	if err := m.AdmitJob(&c.Spec, c.Limit); err != nil {
		return Result{Err: err}
	}
	j := m.newJob(c, q)
	m.jobs[j.ID] = j
	m.chargeJob(j)
	if c.IdempotencyKey != "" {
		m.submissions[submissionKey{c.Spec.Team, c.IdempotencyKey}] = j.ID
	}
	m.emit(JobSubmitted{Job: j})
	return Result{Job: j.ID}
}

// FindResent returns the result for a submission whose idempotency key is known,
// and whether it is.
func (m *Machine) FindResent(c *Submit) (Result, bool) {
	id, ok := m.submissions[submissionKey{c.Spec.Team, c.IdempotencyKey}]
	if !ok {
		return Result{}, false
	}
	if m.jobs[id].SubmissionDigest != c.Digest {
		return Result{Err: errkind.New(errkind.IdempotencyConflict,
			"the Idempotency-Key was used for job %s with another body; use a new key", id)}, true
	}
	return Result{Job: id, Existing: true}, true
}

// nextJobID returns the log index as the next job ID, or the next free number if
// a command creates several jobs.
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

// cancel ends the pending tasks of jobs at once and stops the others.
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

// fail ends a job, or one of its tasks, that cannot succeed.
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

// failTask ends one task. It emits an event for a pending task, since no event of
// the job covers it.
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

// endJob moves the pending tasks to the final phase and stops those that hold
// resources.
func (m *Machine) endJob(j *Job, final model.TaskPhase, cause StopCause, reason string) {
	for i := range j.Spec.Tasks {
		if j.Finished != 0 {
			return // the last pending task ended the job
		}
		m.endTask(j, model.TaskID{Job: j.ID, Index: i}, final, cause, reason)
	}
}

// endTask moves a pending task to the final phase, or stops a task that holds
// resources.
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

// refund marks jobs whose promised start was missed. They are charged at the
// cheapest price.
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

// expire removes finished jobs and workflows, lost workers and journal records
// whose retention time has passed.
func (m *Machine) expire() Result {
	m.removeWorkers()
	before := m.now.Add(-m.opts.KeepFinished.Std())
	n := 0
	for _, id := range m.finishedJobs {
		j := m.jobs[id]
		if j.Finished > before {
			break
		}
		m.releaseJob(j)
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

// ExpireDue reports whether an Expire command at the time now would remove a job,
// a lost worker or a journal record.
func (m *Machine) ExpireDue(now model.Time) bool {
	if len(m.finishedJobs) > 0 && m.jobs[m.finishedJobs[0]].Finished <= now.Add(-m.opts.KeepFinished.Std()) {
		return true
	}
	return m.journal.ExpireDue(now) || len(m.removableWorkers(now)) > 0
}

// HasSubmission reports whether the state holds a job that the team submitted
// with the idempotency key.
func (m *Machine) HasSubmission(team, idempotencyKey string) bool {
	_, ok := m.submissions[submissionKey{team, idempotencyKey}]
	return ok
}

// JobCount returns the number of jobs in the state, including finished ones.
func (m *Machine) JobCount() int { return len(m.jobs) }

// PendingJobs returns how many jobs of the queue have pending tasks.
func (m *Machine) PendingJobs(queue string) int64 { return m.pendingJobs[queue] }
