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
	// MaxWorkers bounds the workers that one question names.
	MaxWorkers = 100
	// renewWorkers bounds the workers that are asked about again, since a job that
	// waits needs few of them.
	renewWorkers = 12
	// spare is how long before its end a permit is no longer used: a start has
	// to reach the worker while it holds.
	spare = 250 * time.Millisecond
	// reach is what of it a start takes to the worker.
	reach = 50 * time.Millisecond
	// retryAfter is the time before a question without an answer is asked again.
	retryAfter = 20 * time.Millisecond
)

// Question asks which workers may run the tasks of a job.
type Question struct {
	Job     model.JobID
	Step    courier.TaskName
	Workers []model.WorkerID
}

// Desk keeps the permits of the jobs that need them.
type Desk struct {
	jobs  map[model.JobID]*docket
	order []model.JobID // earliest promise first
}

// docket is what is known of one job.
type docket struct {
	step   courier.TaskName
	by     model.Time // when its start is promised
	asked  map[model.WorkerID]bool
	good   []model.WorkerID
	tokens map[model.WorkerID]token
	open   bool       // a question is on its way
	askAt  model.Time // no question before
}

type token struct {
	text  string
	until model.Time
}

// NewDesk returns an empty desk.
func NewDesk() *Desk { return &Desk{jobs: map[model.JobID]*docket{}} }

// Add notes a job that needs permits, with the time by which its start is promised.
func (d *Desk) Add(id model.JobID, step courier.TaskName, by model.Time) {
	if d.jobs[id] != nil {
		return
	}
	d.jobs[id] = &docket{step: step, by: by, asked: map[model.WorkerID]bool{}, tokens: map[model.WorkerID]token{}}
	at, _ := slices.BinarySearchFunc(d.order, id, d.compare)
	d.order = slices.Insert(d.order, at, id)
}

// compare orders jobs by promise, then by age.
func (d *Desk) compare(a, b model.JobID) int {
	return cmp.Or(cmp.Compare(d.jobs[a].by, d.jobs[b].by), cmp.Compare(a, b))
}

// Remove forgets a job.
func (d *Desk) Remove(id model.JobID) {
	if d.jobs[id] == nil {
		return
	}
	delete(d.jobs, id)
	d.order = slices.DeleteFunc(d.order, func(o model.JobID) bool { return o == id })
}

// Cell is what the desk asks of the cell.
type Cell interface {
	// Waits reports whether the job has tasks to place.
	Waits(model.JobID) bool
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
func (d *Desk) Questions(now model.Time, cell Cell, send func(Question) bool) {
	first, _ := slices.BinarySearchFunc(d.order, now, func(id model.JobID, now model.Time) int {
		return cmp.Compare(d.jobs[id].by, now)
	})
	for _, part := range [][]model.JobID{d.order[first:], d.order[:first]} {
		for _, id := range part {
			if q, ok := d.question(id, now, cell); ok && !send(q) {
				return
			}
		}
	}
}

// question returns what should be asked for a job, if anything.
func (d *Desk) question(id model.JobID, now model.Time, cell Cell) (Question, bool) {
	e := d.jobs[id]
	if e.open || now < e.askAt || e.permitted(now) || !cell.Waits(id) {
		return Question{}, false
	}
	workers := e.choose(cell.Candidates(id))
	return Question{Job: id, Step: e.step, Workers: workers}, len(workers) > 0
}

// Asked notes that a question is on its way.
func (d *Desk) Asked(q *Question) {
	if e := d.jobs[q.Job]; e != nil {
		e.open = true
	}
}

// permitted reports whether any permit holds now.
func (e *docket) permitted(now model.Time) bool {
	for _, t := range e.tokens {
		if now < t.until {
			return true
		}
	}
	return false
}

// choose returns the workers to ask about: those not asked about yet, or else
// those that are known to be good and have most room.
func (e *docket) choose(candidates []model.WorkerID) []model.WorkerID {
	var fresh, good []model.WorkerID
	for _, w := range candidates {
		switch {
		case !e.asked[w]:
			fresh = append(fresh, w)
		case slices.Contains(e.good, w):
			good = append(good, w)
		}
	}
	if len(good) > 0 && len(fresh) < renewWorkers {
		return good[:min(len(good), renewWorkers)]
	}
	return fresh[:min(len(fresh), MaxWorkers)]
}

// Answered takes in an answer that came at now.
func (d *Desk) Answered(q *Question, a *courier.Advice, now model.Time) {
	e := d.jobs[q.Job]
	if e == nil {
		return
	}
	e.open = false
	for _, w := range q.Workers {
		e.asked[w] = true
	}
	until := now.Add(a.Valid.Std() - spare)
	for _, p := range a.Permits {
		e.tokens[p.Worker] = token{text: p.Token, until: until}
		if !slices.Contains(e.good, p.Worker) {
			e.good = append(e.good, p.Worker)
		}
	}
}

// Unanswered takes in that a question failed.
func (d *Desk) Unanswered(q *Question, now model.Time) {
	if e := d.jobs[q.Job]; e != nil {
		e.open = false
		e.askAt = now.Add(retryAfter)
	}
}

// Forget drops what is known of a worker that has started anew: its permits
// are void, and whether it may run a step has to be asked again.
func (d *Desk) Forget(worker model.WorkerID) {
	for _, e := range d.jobs {
		delete(e.tokens, worker)
		delete(e.asked, worker)
		e.good = slices.DeleteFunc(e.good, func(w model.WorkerID) bool { return w == worker })
	}
}

// Void drops one permit that a worker did not take.
func (d *Desk) Void(id model.JobID, worker model.WorkerID) {
	if e := d.jobs[id]; e != nil {
		delete(e.tokens, worker)
	}
}

// Token returns the permit of a job for a worker that holds at now, or "".
func (d *Desk) Token(id model.JobID, worker model.WorkerID, now model.Time) string {
	e := d.jobs[id]
	if e == nil || now >= e.tokens[worker].until.Add(spare-reach) {
		return ""
	}
	return e.tokens[worker].text
}

// Held is a permit that holds until a time.
type Held struct {
	Worker model.WorkerID
	Until  model.Time
}

// Permits returns the permits of a job, by worker.
func (d *Desk) Permits(id model.JobID) []Held {
	e := d.jobs[id]
	if e == nil {
		return nil
	}
	out := make([]Held, 0, len(e.tokens))
	for _, w := range e.good {
		if t, ok := e.tokens[w]; ok {
			out = append(out, Held{w, t.until})
		}
	}
	return out
}

// Jobs returns the jobs that need permits, the earliest promise first. The caller must not change it.
func (d *Desk) Jobs() []model.JobID { return d.order }
