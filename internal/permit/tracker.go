// Package permit decides what to ask a policy service that lies outside of the
// cell: for which steps, about which workers, and when again. Permits expire;
// which workers a step may use does not change. The package reads no clock.
package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// MaxQueryWorkers bounds the workers that one question names.
	MaxQueryWorkers = 100
	// maxRenewalWorkers bounds the workers that are asked about again, since a job that
	// waits needs few of them.
	maxRenewalWorkers = 12
	// spare is how long before its end a permit is no longer used: a start has
	// to reach the worker while it holds.
	placementMargin = 250 * time.Millisecond
	// reach is what of it a start takes to the worker.
	startMargin = 50 * time.Millisecond
	// retryAfter is the time before a question without an answer is asked again.
	retryAfter = 20 * time.Millisecond
)

// Question asks which workers may run the tasks of a job.
type Query struct {
	Job     model.JobID
	Step    courier.TaskName
	Workers []model.WorkerID
}

// Desk keeps the permits of the jobs that need them.
type Tracker struct {
	jobs       map[model.JobID]*jobPermits
	byDeadline []model.JobID // earliest promise first
}

// docket is what is known of one job.
type jobPermits struct {
	step      courier.TaskName
	startBy   model.Time // when its start is promised
	queried   map[model.WorkerID]bool
	allowed   []model.WorkerID
	tokens    map[model.WorkerID]token
	inFlight  bool       // a question is on its way
	nextQuery model.Time // no question before
}

type token struct {
	value string
	until model.Time
}

// NewTracker returns an empty desk.
func NewTracker() *Tracker { return &Tracker{jobs: map[model.JobID]*jobPermits{}} }

// Add notes a job that needs permits, with the time by which its start is promised.
func (t *Tracker) Add(id model.JobID, step courier.TaskName, startBy model.Time) {
	if t.jobs[id] != nil {
		return
	}
	t.jobs[id] = &jobPermits{step: step, startBy: startBy, queried: map[model.WorkerID]bool{}, tokens: map[model.WorkerID]token{}}
	at, _ := slices.BinarySearchFunc(t.byDeadline, id, t.compare)
	t.byDeadline = slices.Insert(t.byDeadline, at, id)
}

// compare orders jobs by promise, then by age.
func (t *Tracker) compare(a, b model.JobID) int {
	return cmp.Or(cmp.Compare(t.jobs[a].startBy, t.jobs[b].startBy), cmp.Compare(a, b))
}

// Remove forgets a job.
func (t *Tracker) Remove(id model.JobID) {
	if t.jobs[id] == nil {
		return
	}
	delete(t.jobs, id)
	t.byDeadline = slices.DeleteFunc(t.byDeadline, func(o model.JobID) bool { return o == id })
}

// Cell is what the desk asks of the cell.
type Scheduler interface {
	// Waits reports whether the job has tasks to place.
	HasPendingTasks(model.JobID) bool
	// Candidates returns the workers that the job's selectors match, those with
	// most room first.
	Candidates(model.JobID) []model.WorkerID
}

// Questions offers to send what should be asked now; send says by Asked what it
// takes, and ends the offers by false. Jobs
// that can still start in time come first, by promise, and those that are late
// after them. That answers the load after a change of the leader, when every job
// that waits has to be asked for anew: the answers that short work needs at once
// do not queue behind those for work that is late or has time.
func (t *Tracker) EachDueQuery(now model.Time, scheduler Scheduler, send func(Query) bool) {
	onTime, _ := slices.BinarySearchFunc(t.byDeadline, now, func(id model.JobID, now model.Time) int {
		return cmp.Compare(t.jobs[id].startBy, now)
	})
	for _, jobs := range [][]model.JobID{t.byDeadline[onTime:], t.byDeadline[:onTime]} {
		for _, id := range jobs {
			if q, ok := t.dueQuery(id, now, scheduler); ok && !send(q) {
				return
			}
		}
	}
}

// question returns what should be asked for a job, if anything.
func (t *Tracker) dueQuery(id model.JobID, now model.Time, scheduler Scheduler) (Query, bool) {
	j := t.jobs[id]
	if j.inFlight || now < j.nextQuery || j.hasValidPermit(now) || !scheduler.HasPendingTasks(id) {
		return Query{}, false
	}
	workers := j.selectWorkers(scheduler.Candidates(id))
	return Query{Job: id, Step: j.step, Workers: workers}, len(workers) > 0
}

// Asked notes that a question is on its way.
func (t *Tracker) MarkSent(q *Query) {
	if j := t.jobs[q.Job]; j != nil {
		j.inFlight = true
	}
}

// permitted reports whether any permit holds now.
func (j *jobPermits) hasValidPermit(now model.Time) bool {
	for _, t := range j.tokens {
		if now < t.until {
			return true
		}
	}
	return false
}

// choose returns the workers to ask about: those not asked about yet, or else
// those that are known to be good and have most room.
func (j *jobPermits) selectWorkers(candidates []model.WorkerID) []model.WorkerID {
	var fresh, known []model.WorkerID
	for _, w := range candidates {
		switch {
		case !j.queried[w]:
			fresh = append(fresh, w)
		case slices.Contains(j.allowed, w):
			known = append(known, w)
		}
	}
	if len(known) > 0 && len(fresh) < maxRenewalWorkers {
		return known[:min(len(known), maxRenewalWorkers)]
	}
	return fresh[:min(len(fresh), MaxQueryWorkers)]
}

// Answered takes in an answer that came at now.
func (t *Tracker) ApplyAdvice(q *Query, advice *courier.Advice, now model.Time) {
	j := t.jobs[q.Job]
	if j == nil {
		return
	}
	j.inFlight = false
	for _, w := range q.Workers {
		j.queried[w] = true
	}
	until := now.Add(advice.Valid.Std() - placementMargin)
	for _, p := range advice.Permits {
		j.tokens[p.Worker] = token{value: p.Token, until: until}
		if !slices.Contains(j.allowed, p.Worker) {
			j.allowed = append(j.allowed, p.Worker)
		}
	}
}

// Unanswered takes in that a question failed.
func (t *Tracker) MarkFailed(q *Query, now model.Time) {
	if j := t.jobs[q.Job]; j != nil {
		j.inFlight = false
		j.nextQuery = now.Add(retryAfter)
	}
}

// Forget drops what is known of a worker that has started anew: its permits
// are void, and whether it may run a step has to be asked again.
func (t *Tracker) ForgetWorker(worker model.WorkerID) {
	for _, j := range t.jobs {
		delete(j.tokens, worker)
		delete(j.queried, worker)
		j.allowed = slices.DeleteFunc(j.allowed, func(w model.WorkerID) bool { return w == worker })
	}
}

// Void drops one permit that a worker did not take.
func (t *Tracker) Invalidate(id model.JobID, worker model.WorkerID) {
	if j := t.jobs[id]; j != nil {
		delete(j.tokens, worker)
	}
}

// Token returns the permit of a job for a worker that holds at now, or "".
func (t *Tracker) Token(id model.JobID, worker model.WorkerID, now model.Time) string {
	j := t.jobs[id]
	if j == nil || now >= j.tokens[worker].until.Add(placementMargin-startMargin) {
		return ""
	}
	return j.tokens[worker].value
}

// Held is a permit that holds until a time.
type Grant struct {
	Worker model.WorkerID
	Until  model.Time
}

// Permits returns the permits of a job, by worker.
func (t *Tracker) Permits(id model.JobID) []Grant {
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	out := make([]Grant, 0, len(j.tokens))
	for _, w := range j.allowed {
		if token, ok := j.tokens[w]; ok {
			out = append(out, Grant{w, token.until})
		}
	}
	return out
}

// Jobs returns the jobs that need permits, the earliest promise first. The caller must not change it.
func (t *Tracker) Jobs() []model.JobID { return t.byDeadline }
