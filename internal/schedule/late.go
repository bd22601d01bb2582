package schedule

import (
	"container/heap"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// shiftLate moves jobs whose promise was missed behind those that can still be
// in time. Each moves once, by LateShift, so that none waits for ever.
func (s *Scheduler) shiftLate(now model.Time) {
	for len(s.late) > 0 && s.late[0].promisedStart.Add(s.opts.LateGrace) < now {
		j := heap.Pop(&s.late).(*job)
		if !j.cancelled && int(j.done) < len(j.tasks) {
			s.reorder(j, j.promisedStart.Add(s.opts.LateShift))
		}
	}
}

// reorder changes the place of a job in the order of its group and team. Workers
// that are kept clear for it are given free, since others come first now.
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
