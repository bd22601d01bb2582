package permit

import (
	"cmp"
	"iter"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// Query asks which workers may run the tasks of a job.
type Query struct {
	Job     model.JobID
	Step    workerclient.TaskName
	Workers []model.WorkerID

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
// deadlines, late ones as if their deadlines were LateShift later. After a change of
// the leader every waiting job must be queried again; with this order the queries for
// jobs that can still start in time go first, and those for late jobs wait LateShift at
// most.
func (t *Tracker) EachDueQuery(now model.Time, scheduler Scheduler, send func(Query) bool) {
	defer t.dropIdle()
	for j := range t.inOrder(now) {
		for _, q := range j.dueQueries(now, scheduler) {
			if !send(q) {
				return
			}
		}
	}
}

// inOrder returns the waiting jobs in the order in which their queries are sent.
func (t *Tracker) inOrder(now model.Time) iter.Seq[*jobPermits] {
	graceEnd := now.Add(-t.opts.LateGrace)
	n, _ := slices.BinarySearchFunc(t.waiting, graceEnd, func(j *jobPermits, at model.Time) int {
		return cmp.Compare(j.startBy, at)
	})
	late, others := t.waiting[:n], t.waiting[n:]
	return func(yield func(*jobPermits) bool) {
		for len(late)+len(others) > 0 {
			from := &others
			if len(others) == 0 || len(late) > 0 && late[0].startBy.Add(t.opts.LateShift) <= others[0].startBy {
				from = &late
			}
			j := (*from)[0]
			*from = (*from)[1:]
			if !yield(j) {
				return
			}
		}
	}
}

// dueQueries returns the queries of a job that are due at now.
func (j *jobPermits) dueQueries(now model.Time, scheduler Scheduler) []Query {
	if j.inFlight > 0 || now < j.nextQuery {
		return nil
	}
	demand := scheduler.Demand(j.id)
	j.idle = demand.Tasks == 0
	if j.idle || !scheduler.CanSend(j.id) {
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
