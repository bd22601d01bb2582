package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// policyUnderTest is the interface that a simulation drives: the Scheduler or a
// baseline.
type policyUnderTest interface {
	Apply(Event)
	Plan(now model.Time, max int) Plan
}

// baseline is a simple policy: jobs in one order, each task on the first worker on
// which it fits. A job that does not fit is skipped. It learns no sizes, reserves
// no workers and preempts no tasks.
type baseline struct {
	before  func(a, b *plainJob) bool // order of jobs
	split   bool                      // each team is limited to an equal part of the cell
	teams   map[string]bool
	workers []*plainWorker
	jobs    map[model.JobID]*plainJob
	queue   []*plainJob
	used    map[string]model.Resources
	total   model.Resources
}

type plainWorker struct {
	id   model.WorkerID
	free model.Resources
}

type plainJob struct {
	id       model.JobID
	spec     model.JobSpec
	startBy  model.Time
	pending  []int32
	assigned map[int32]Placement
}

func newBaseline(split bool, before func(a, b *plainJob) bool) *baseline {
	return &baseline{before: before, split: split, teams: map[string]bool{}, jobs: map[model.JobID]*plainJob{}, used: map[string]model.Resources{}}
}

// bySubmission orders jobs by submission.
func bySubmission(a, b *plainJob) bool { return a.id < b.id }

// byPatience orders the least patient jobs first.
func byPatience(a, b *plainJob) bool {
	return cmp.Or(cmp.Compare(a.spec.Patience, b.spec.Patience), cmp.Compare(a.id, b.id)) < 0
}

func (b *baseline) Apply(ev Event) {
	switch e := ev.(type) {
	case ConfigChanged:
		for _, t := range e.Teams {
			b.teams[t.Name] = true
		}
	case WorkerUp:
		b.workers = append(b.workers, &plainWorker{e.Spec.ID, e.Spec.Capacity})
		b.total = b.total.Add(e.Spec.Capacity)
	case JobSubmitted:
		j := &plainJob{id: e.ID, spec: e.Spec, startBy: e.StartBy, assigned: map[int32]Placement{}}
		for i := range e.Spec.Tasks {
			j.pending = append(j.pending, i)
		}
		b.jobs[e.ID] = j
		at, _ := slices.BinarySearchFunc(b.queue, j, func(x, y *plainJob) int {
			if b.before(x, y) {
				return -1
			}
			return 1
		})
		b.queue = slices.Insert(b.queue, at, j)
	case JobsCancelled:
		for _, id := range e.IDs {
			b.jobs[id].pending = nil
		}
	case TaskPlaced:
		b.place(e)
	case TaskEnded:
		b.end(e)
	}
}

func (b *baseline) place(e TaskPlaced) {
	j := b.jobs[e.Task.Job]
	j.pending = slices.DeleteFunc(j.pending, func(i int32) bool { return i == e.Task.Index })
	j.assigned[e.Task.Index] = Placement{Task: e.Task, Worker: e.Worker, Size: e.Size}
	b.use(j, e.Worker, e.Size)
}

func (b *baseline) use(j *plainJob, id model.WorkerID, size model.Resources) {
	b.used[j.spec.Team] = b.used[j.spec.Team].Add(size)
	for _, w := range b.workers {
		if w.id == id {
			w.free = w.free.Sub(size)
		}
	}
}

func (b *baseline) end(e TaskEnded) {
	j := b.jobs[e.Task.Job]
	p := j.assigned[e.Task.Index]
	delete(j.assigned, e.Task.Index)
	b.use(j, p.Worker, model.Resources{}.Sub(p.Size))
	if !e.Final {
		j.pending = append(j.pending, e.Task.Index)
	}
}

func (b *baseline) Plan(_ model.Time, max int) Plan {
	var p Plan
	b.queue = slices.DeleteFunc(b.queue, func(j *plainJob) bool { return len(j.pending) == 0 && len(j.assigned) == 0 })
	planned := map[*plainWorker]model.Resources{}
	plannedByTeam := map[string]model.Resources{}
	for _, j := range b.queue {
		if len(p.Placements) >= max {
			break
		}
		placed := b.fit(j, planned, plannedByTeam)
		p.Placements = append(p.Placements, placed...)
	}
	return p
}

// fit finds a worker for each pending task of j. For a gang it finds workers for
// all of them or none.
func (b *baseline) fit(j *plainJob, planned map[*plainWorker]model.Resources, plannedByTeam map[string]model.Resources) []Placement {
	var out []Placement
	var on []*plainWorker
	size := j.spec.Size
	for _, i := range j.pending {
		use := b.used[j.spec.Team].Add(plannedByTeam[j.spec.Team]).Add(size)
		if b.split && !use.Mul(int64(len(b.teams))).Fits(b.total) {
			break
		}
		at := slices.IndexFunc(b.workers, func(w *plainWorker) bool { return planned[w].Add(size).Fits(w.free) })
		if at < 0 {
			break
		}
		w := b.workers[at]
		planned[w] = planned[w].Add(size)
		plannedByTeam[j.spec.Team] = plannedByTeam[j.spec.Team].Add(size)
		on = append(on, w)
		out = append(out, Placement{Task: model.TaskID{Job: j.id, Index: i}, Worker: w.id, Size: size})
	}
	if j.spec.Policy != model.PolicyGang || len(out) == len(j.pending) {
		return out
	}
	for _, w := range on {
		planned[w] = planned[w].Sub(size)
		plannedByTeam[j.spec.Team] = plannedByTeam[j.spec.Team].Sub(size)
	}
	return nil
}
