// Package permit decides what to query from a policy service outside of the cell:
// for which steps, about which workers, and when to query again. Permits expire;
// the set of workers that a step may use does not change, but a response may be cut
// short or come from a service that does not know a worker yet, so that a refusal is
// checked again. The package reads no clock.
package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

const (
	// MaxQueryWorkers bounds the workers in one query.
	MaxQueryWorkers = 100
	// maxQueriesAtOnce bounds the queries about one job that are in flight. Different
	// entries send them, so that the permits are valid at the same time.
	maxQueriesAtOnce = 8
	// minRenewalWorkers is the least number of workers in a query that renews permits,
	// if as many are allowed.
	minRenewalWorkers = 12
	// minFreshWorkers is the least number of workers in a first query, if there are as
	// many: some of them are not permitted, and others fill up before the response.
	minFreshWorkers = 40
	// minFreshForGang is the same for at least manyTasks tasks that start together. They need
	// room on permitted workers at one moment, which comes the sooner the more of these are
	// known, and most of the time of a long query does not depend on the number of workers.
	minFreshForGang = 90
	manyTasks       = 8
	// reservableFactor is how many times the tasks that start together the workers known to
	// be permitted should hold when idle, if there is no room now: workers are reserved among
	// them, and those that are free soonest are few.
	reservableFactor = 4
	// roomFactorPercent is how much room a renewal covers, in percent of what the
	// pending tasks need: other jobs take some of it before the response arrives.
	roomFactorPercent = 150
	// placementMargin is how long before its expiry a permit is no longer used for
	// placements: the start must reach the worker while the permit is valid.
	placementMargin = 250 * time.Millisecond
	// startMargin is the part of placementMargin that a start needs to reach the
	// worker: later than that before the expiry, no start is sent.
	startMargin = 50 * time.Millisecond
	// reservedRenewal is how long after its end a permit for a reserved worker is renewed.
	// The scheduler ends a reservation after schedule.PermitRenewal.
	reservedRenewal = schedule.PermitRenewal / 2
	// retryAfter is the time before a failed query is sent again.
	retryAfter = 20 * time.Millisecond
	// recheckAfter is the time before a job whose tasks start together and that needs no
	// query is examined again, unless all of its permits end sooner.
	recheckAfter = 250 * time.Millisecond
	// unsentAfter is for how long a due query that was not sent is taken to be as large as it
	// was. Its workers are chosen again once one of that size can be sent, since the choice
	// examines all workers and under load most long queries wait for many checks.
	unsentAfter = 500 * time.Millisecond
)

// Options configure a Tracker.
type Options struct {
	// Lateness is the order of jobs that cannot start in time. It must equal that of the
	// scheduler, so that queries are sent in the order in which jobs are placed.
	Lateness lateness.Options
}

// Tracker holds the permits of the jobs that need them.
type Tracker struct {
	opts       Options
	jobs       map[model.JobID]*jobPermits
	byDeadline []model.JobID // all jobs, earliest promised start first
	waiting    []*jobPermits // jobs that may have tasks to place, in the order of startBy
	booked     []*jobPermits // jobs with a booking, earliest promised start first
	contended  contention    // by the queries of all jobs

	now       model.Time                // of the last check
	inFlight  int                       // queries of all jobs in flight
	forgets   uint64                    // calls of ForgetWorker so far
	forgotten map[model.WorkerID]uint64 // number of the last call, of the workers forgotten while queries are in flight
}

// jobPermits are the permits and queries of one job.
type jobPermits struct {
	id        model.JobID
	step      workerclient.TaskName
	order     lateness.Job                   // what its place among the waiting jobs depends on
	startBy   model.Time                     // orders the waiting jobs
	until     model.Time                     // when startBy changes; zero: never
	workers   map[model.WorkerID]workerState // that the policy service was queried about
	inFlight  int                            // queries in flight
	queried   contention                     // the queries in flight about each worker
	retryAt   model.Time                     // when the last query, which failed, may be sent again; zero: it did not fail
	took      time.Duration                  // of the last answered query
	nextQuery model.Time                     // earliest time of the next query
	unsent    unsentQuery                    // the last due query, if it was not sent
	idle      bool                           // all tasks are placed
	booked    []model.WorkerID               // on which room is held for its tasks
	contended contention                     // by the queries of all jobs
}

// workerState is what is known of one worker for a job. A permit that the worker has
// rejected is empty.
type workerState struct {
	allowed   bool // by the last response, the policy service permits the worker
	permit    string
	until     model.Time // end of the permit
	refusals  int        // responses in a row without a permit for the worker
	refusedAt model.Time // when the last of them was received
}

// unsentQuery is a due query that could not be sent.
type unsentQuery struct {
	workers int
	until   model.Time // when its size is no longer known
}

// minWorkers returns the least number of workers in a query that is due at now.
func (u unsentQuery) minWorkers(now model.Time) int {
	if now >= u.until {
		return 0
	}
	return u.workers
}

// refused returns the state after a response without a permit for the worker. An earlier
// permit stays valid until it ends.
func (w workerState) refused(now model.Time) workerState {
	w.allowed = false
	w.refusals++
	w.refusedAt = now
	return w
}

// NewTracker returns an empty Tracker.
func NewTracker(o Options) *Tracker {
	return &Tracker{opts: o, jobs: map[model.JobID]*jobPermits{}, contended: contention{}, forgotten: map[model.WorkerID]uint64{}}
}

// Add adds a job that needs permits. It does nothing if the job is tracked already.
func (t *Tracker) Add(id model.JobID, step workerclient.TaskName, order lateness.Job) {
	if t.jobs[id] != nil {
		return
	}
	j := &jobPermits{id: id, step: step, order: order, workers: map[model.WorkerID]workerState{}, queried: contention{}, contended: t.contended}
	j.startBy, j.until = t.opts.Lateness.Position(order, t.now)
	t.jobs[id] = j
	at, _ := slices.BinarySearchFunc(t.byDeadline, j, func(id model.JobID, j *jobPermits) int { return compareDeadlines(t.jobs[id], j) })
	t.byDeadline = slices.Insert(t.byDeadline, at, id)
	t.addWaiting(j)
}

// compareJobs orders jobs by startBy, then by age.
func compareJobs(a, b *jobPermits) int {
	return cmp.Or(cmp.Compare(a.startBy, b.startBy), cmp.Compare(a.id, b.id))
}

// compareDeadlines orders jobs by their promised start, then by age.
func compareDeadlines(a, b *jobPermits) int {
	return cmp.Or(cmp.Compare(a.order.PromisedStart, b.order.PromisedStart), cmp.Compare(a.id, b.id))
}

func (t *Tracker) addWaiting(j *jobPermits) {
	if at, found := slices.BinarySearchFunc(t.waiting, j, compareJobs); !found {
		t.waiting = slices.Insert(t.waiting, at, j)
	}
}

// Wake records that a job may have tasks to place again. A job that had none is not
// examined before.
func (t *Tracker) Wake(id model.JobID) {
	if j := t.jobs[id]; j != nil && j.idle {
		j.idle = false
		t.addWaiting(j)
	}
}

// Remove removes a job and its permits.
func (t *Tracker) Remove(id model.JobID) {
	if t.jobs[id] == nil {
		return
	}
	delete(t.jobs, id)
	t.waiting = slices.DeleteFunc(t.waiting, func(j *jobPermits) bool { return j.id == id })
	t.byDeadline = slices.DeleteFunc(t.byDeadline, func(o model.JobID) bool { return o == id })
}

// Demand is what a job waits to place.
type Demand struct {
	Tasks     int64 // pending tasks
	AllAtOnce bool  // the tasks are placed together or not at all
}

// Scheduler is what the Tracker needs to know of the jobs and workers.
type Scheduler interface {
	// Demand returns what the job has to place; no tasks if it has none.
	Demand(model.JobID) Demand
	// Candidates returns the workers that the job's selectors match, in any order. The
	// result is valid until the next call.
	Candidates(model.JobID) []schedule.Candidate
	// Booked returns where room is held for jobs until their permits are valid.
	Booked() []schedule.Booked
	// CanSend reports whether a query for the job, which is due and about at least the given
	// number of workers, can be sent now.
	CanSend(id model.JobID, workers int) bool
}

// Waits reports whether any job may have tasks to place.
func (t *Tracker) Waits() bool { return len(t.waiting) > 0 }

// dropIdle removes the jobs whose tasks are all placed from those that wait.
func (t *Tracker) dropIdle() {
	t.waiting = slices.DeleteFunc(t.waiting, func(j *jobPermits) bool { return j.idle })
}

// MarkSent records that a query is in flight.
func (t *Tracker) MarkSent(q *Query) {
	t.contended.add(q.Workers)
	t.inFlight++
	q.forgets = t.forgets
	if j := t.jobs[q.Job]; j != nil {
		j.queried.add(q.Workers)
		j.inFlight++
	}
}

// markEnded records that a query is no longer in flight. It returns the job, or nil if it
// is not tracked any more.
func (t *Tracker) markEnded(q *Query) *jobPermits {
	t.contended.remove(q.Workers)
	if t.inFlight--; t.inFlight == 0 {
		clear(t.forgotten)
	}
	j := t.jobs[q.Job]
	if j != nil {
		j.queried.remove(q.Workers)
		j.inFlight--
	}
	return j
}

// isOutdated reports whether a worker has restarted since a query was sent, so that the
// response is about an incarnation that has ended.
func (t *Tracker) isOutdated(q *Query, worker model.WorkerID) bool {
	return t.forgotten[worker] > q.forgets
}

// ApplyAdvice records the response to a query, received at now. What it tells of workers
// that have restarted since the query was sent counts for nothing.
func (t *Tracker) ApplyAdvice(q *Query, advice *workerclient.Advice, now model.Time) {
	outdated := make(map[model.WorkerID]bool)
	for _, w := range q.Workers {
		if t.isOutdated(q, w) {
			outdated[w] = true
		}
	}
	j := t.markEnded(q)
	if j == nil {
		return
	}
	j.retryAt, j.took = 0, now.Sub(q.sentAt)
	permitted := make(map[model.WorkerID]bool, len(advice.Permits))
	until := now.Add(advice.Valid.Std() - placementMargin)
	for _, p := range advice.Permits {
		permitted[p.Worker] = true
		if !outdated[p.Worker] {
			j.workers[p.Worker] = workerState{allowed: true, permit: p.Token, until: until}
		}
	}
	for _, w := range q.Workers {
		if !permitted[w] && !outdated[w] {
			j.workers[w] = j.workers[w].refused(now)
		}
	}
}

// MarkFailed records that a query failed, so that it is sent again after retryAfter.
func (t *Tracker) MarkFailed(q *Query, now model.Time) {
	if j := t.markEnded(q); j != nil {
		j.retryAt = now.Add(retryAfter)
		j.nextQuery = j.retryAt
	}
}

// ForgetWorker drops all permits of a worker that has restarted: they are void, and
// the policy service must be queried about the worker again. It returns the jobs that
// had a permit, in no order.
func (t *Tracker) ForgetWorker(worker model.WorkerID) []model.JobID {
	if t.forgets++; t.inFlight > 0 {
		t.forgotten[worker] = t.forgets
	}
	var out []model.JobID
	for id, j := range t.jobs {
		if j.workers[worker].permit != "" {
			out = append(out, id)
		}
		delete(j.workers, worker)
	}
	return out
}

// Invalidate drops one permit that a worker rejected.
func (t *Tracker) Invalidate(id model.JobID, worker model.WorkerID) {
	if j := t.jobs[id]; j != nil && j.workers[worker].allowed {
		j.workers[worker] = workerState{allowed: true}
	}
}

// Token returns the permit of a job for a worker, or "" if none is valid long enough
// at now to start a task.
func (t *Tracker) Token(id model.JobID, worker model.WorkerID, now model.Time) string {
	j := t.jobs[id]
	if j == nil {
		return ""
	}
	w := j.workers[worker]
	if now >= w.until.Add(placementMargin-startMargin) {
		return ""
	}
	return w.permit
}

// Grant is a permit to place tasks on a worker until a time.
type Grant struct {
	Worker  model.WorkerID
	Until   model.Time
	Refused bool // by the last response, the worker is not permitted
}

// Permits returns the permits of a job, in no order; expired ones are included.
func (t *Tracker) Permits(id model.JobID) []Grant {
	j := t.jobs[id]
	if j == nil {
		return nil
	}
	var out []Grant
	for id, w := range j.workers {
		if w.permit != "" {
			out = append(out, Grant{id, w.until, !w.allowed})
		}
	}
	return out
}

// Jobs returns the jobs that need permits, the earliest deadline first. The caller
// must not change the slice.
func (t *Tracker) Jobs() []model.JobID { return t.byDeadline }
