package permit

import (
	"iter"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Query asks which workers may run the tasks of a job.
type Query struct {
	Job     model.JobID
	Step    workerclient.TaskName
	Workers []model.WorkerID

	sentAt  model.Time
	forgets uint64 // calls of ForgetWorker before it was sent
}

// contention counts the queries in flight about each worker.
type contention map[model.WorkerID]int64

// add counts a query about the given workers.
func (c contention) add(workers []model.WorkerID) {
	for _, w := range workers {
		c[w]++
	}
}

// remove ends the count of a query about the given workers.
func (c contention) remove(workers []model.WorkerID) {
	for _, w := range workers {
		if c[w]--; c[w] <= 0 {
			delete(c, w)
		}
	}
}

// EachDueQuery calls send for each query that is due at now, until send returns
// false. If send takes a query it must call MarkSent. Jobs come in the order of their
// promised starts, and late ones in their place by Options.Lateness. After a change of the
// leader every waiting job must be queried again; with this order the queries for jobs that
// can still start in time go first. Booked jobs keep their place when they become late, since
// the room that is held for them idles.
func (t *Tracker) EachDueQuery(now model.Time, scheduler Scheduler, send func(Query) bool) {
	defer t.dropIdle()
	t.moveLate(now)
	t.updateBooked(scheduler.Booked())
	for j := range t.inOrder() {
		due := j.dueQueries
		if j.booked != nil {
			due = j.bookedQueries
		}
		for _, q := range due(now, scheduler) {
			q.sentAt = now
			inFlight := j.inFlight
			more := send(q)
			j.unsent = unsentQuery{}
			if j.inFlight == inFlight {
				j.unsent = unsentQuery{workers: len(q.Workers), until: now.Add(unsentAfter)}
			}
			if !more {
				return
			}
		}
	}
}

// updateBooked records which jobs are booked, and where.
func (t *Tracker) updateBooked(bookings []schedule.Booked) {
	for _, j := range t.booked {
		j.booked = nil
	}
	t.booked = t.booked[:0]
	for _, b := range bookings {
		if j := t.jobs[b.Job]; j != nil {
			j.booked = b.Workers
			t.booked = append(t.booked, j)
		}
	}
	slices.SortFunc(t.booked, compareDeadlines)
}

// moveLate updates the places of the waiting jobs at now.
func (t *Tracker) moveLate(now model.Time) {
	t.now = max(t.now, now)
	var moved []*jobPermits
	t.waiting = slices.DeleteFunc(t.waiting, func(j *jobPermits) bool {
		if j.until == 0 || now < j.until {
			return false
		}
		moved = append(moved, j)
		return true
	})
	for _, j := range moved {
		j.startBy, j.until = t.opts.Lateness.Position(j.order, now)
		t.addWaiting(j)
	}
}

// inOrder returns the waiting jobs in the order in which their queries are sent.
func (t *Tracker) inOrder() iter.Seq[*jobPermits] {
	booked, waiting := t.booked, t.unbooked(t.waiting)
	return func(yield func(*jobPermits) bool) {
		for len(booked)+len(waiting) > 0 {
			from := &waiting
			if len(waiting) == 0 || len(booked) > 0 && booked[0].order.PromisedStart < waiting[0].startBy {
				from = &booked
			}
			if !yield((*from)[0]) {
				return
			}
			*from = (*from)[1:]
		}
	}
}

// unbooked returns the jobs that are not booked.
func (t *Tracker) unbooked(jobs []*jobPermits) []*jobPermits {
	if len(t.booked) == 0 {
		return jobs
	}
	return slices.DeleteFunc(slices.Clone(jobs), func(j *jobPermits) bool { return j.booked != nil })
}

// bookedQueries returns the queries that are due at now about the booked workers of a job:
// those whose permits are not valid any more when the response arrives. Workers that a
// query in flight is about are left out, so that the parts of a large gang are sent as
// entries become free.
func (j *jobPermits) bookedQueries(now model.Time, scheduler Scheduler) []Query {
	if now < j.retryAt || !scheduler.CanSend(j.id, 0) {
		return nil
	}
	arrives := now.Add(j.took)
	var workers []model.WorkerID
	valid := true
	for _, w := range j.booked {
		until := j.workers[w].until
		if j.queried[w] > 0 || arrives < until {
			continue
		}
		workers = append(workers, w)
		valid = valid && now < until
	}
	if valid {
		return nil
	}
	return j.split(workers)
}

// dueQueries returns the queries of a job that are due at now.
func (j *jobPermits) dueQueries(now model.Time, scheduler Scheduler) []Query {
	if j.inFlight > 0 || now < j.nextQuery {
		return nil
	}
	demand := scheduler.Demand(j.id)
	j.idle = demand.Tasks == 0
	if j.idle || !scheduler.CanSend(j.id, j.unsent.minWorkers(now)) {
		return nil
	}
	candidates := scheduler.Candidates(j.id)
	r := j.roomOn(candidates, now)
	if workers := j.refusedToCheck(candidates, r, demand, now); len(workers) > 0 {
		return j.split(workers)
	}
	if !r.queryHelps(demand) {
		j.nextQuery = r.recheckAt(demand, now)
		return nil
	}
	workers := j.selectWorkers(candidates, r, demand)
	if len(workers) == 0 {
		j.nextQuery = r.recheckAt(demand, now)
	}
	return j.split(workers)
}

// split divides the workers to query about evenly among as few queries as possible.
func (j *jobPermits) split(workers []model.WorkerID) []Query {
	var out []Query
	for left := (len(workers) + MaxQueryWorkers - 1) / MaxQueryWorkers; left > 0; left-- {
		n := (len(workers) + left - 1) / left
		out = append(out, Query{Job: j.id, Step: j.step, Workers: workers[:n]})
		workers = workers[n:]
	}
	return out
}
