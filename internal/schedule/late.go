package schedule

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
)

// lateness returns what the place of j in the order depends on.
func (j *job) lateness() lateness.Job {
	return lateness.Job{
		PromisedStart: j.promisedStart,
		Patience:      j.promisedStart.Sub(j.submittedAt),
		RunTime:       j.runTime,
	}
}

// shiftLate updates the place of each job whose place in the order has changed by now.
func (s *Scheduler) shiftLate(now model.Time) {
	for len(s.late) > 0 && s.late[0].startByUntil <= now {
		j := heap.Pop(&s.late).(*job)
		if j.cancelled || int(j.done) == len(j.tasks) {
			continue
		}
		startBy, until := s.opts.Lateness.Position(j.lateness(), now)
		s.reorder(j, startBy)
		j.startByUntil = until
		if until != 0 {
			heap.Push(&s.late, j)
		}
	}
}

// lateMoves is a heap of jobs, ordered by when their place in the order changes.
type lateMoves []*job

func (m lateMoves) Len() int { return len(m) }
func (m lateMoves) Less(i, k int) bool {
	if m[i].startByUntil != m[k].startByUntil {
		return m[i].startByUntil < m[k].startByUntil
	}
	return m[i].id < m[k].id
}
func (m lateMoves) Swap(i, k int) { m[i], m[k] = m[k], m[i] }
func (m *lateMoves) Push(v any)   { *m = append(*m, v.(*job)) }
func (m *lateMoves) Pop() any {
	last := len(*m) - 1
	j := (*m)[last]
	(*m)[last] = nil
	*m = (*m)[:last]
	return j
}

// reorder changes the position of a job in the order of its group and team. It
// drops the reservation of the job, since others come first now.
func (s *Scheduler) reorder(j *job, startBy model.Time) {
	g := j.group
	if j.reservation != nil {
		s.dropReservation(j.reservation)
	}
	if !j.queued {
		j.startBy = startBy
		return
	}
	g.jobs = slices.DeleteFunc(g.jobs, func(o *job) bool { return o == j })
	j.startBy = startBy
	g.add(j)
	s.markStale(g)
}

// NotRunning returns the jobs whose promised start was before a time and of which no task
// runs, although some are pending or assigned. The earliest promised start comes first.
func (s *Scheduler) NotRunning(before model.Time) []model.JobID {
	var found []*job
	for _, j := range s.jobs {
		if j.running == 0 && j.ready+j.waiting+j.assigned > 0 && j.promisedStart < before {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.promisedStart, b.promisedStart), cmp.Compare(a.id, b.id))
	})
	out := make([]model.JobID, len(found))
	for i, j := range found {
		out[i] = j.id
	}
	return out
}

// LateJobs returns the number of jobs that have pending tasks at now, after their
// promised start.
func (s *Scheduler) LateJobs(now model.Time) int {
	n := 0
	for _, j := range s.jobs {
		if j.ready+j.waiting > 0 && j.promisedStart < now {
			n++
		}
	}
	return n
}
