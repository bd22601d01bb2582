package schedule

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/capacity"
)

// audit recomputes every derived value of s from its tasks and workers and returns
// what differs.
func audit(s *Scheduler) (problems []string) {
	n := &naive{planner: planner{s: s}}
	var assigned, reserved = int64(0), model.Resources{}
	check := func(ok bool, what string) {
		if !ok {
			problems = append(problems, what)
		}
	}
	for i, t := range s.teams {
		sum, running := n.use(int32(i))
		assigned, reserved = assigned+running, reserved.Add(sum)
		check(sum == t.reserved && running == t.running, "use of team "+t.name)
		services, tasks := n.servicesOf(int32(i))
		check(services == t.services && tasks == t.serviceTasks, "services of team "+t.name)
	}
	check(assigned == s.assignedTasks && reserved == s.reserved, "totals of the cell")
	isolated, alone := 0, int64(0)
	for i := range s.workers {
		w := &s.workers[i]
		if !w.known {
			continue
		}
		if r := w.isolatedFor; r.job != nil {
			isolated++
			check(slices.Contains(w.tasks, r) && slices.Contains(s.isolated, int32(i)), "task for which "+string(w.id)+" is kept")
		}
		if w.keptAlone {
			alone++
		}
		check(n.tasksOn(int32(i), true) == int(w.suspects), "suspects on "+string(w.id))
		check(n.booked(int32(i)) == w.booked, "booked resources of "+string(w.id))
		check(n.free(int32(i)) == w.free, "free resources of "+string(w.id))
		slot, key, found := s.free.Best(s.bins.of(w.class, w.domain, w.pace), w.free, func(o int32) bool { return o == int32(i) })
		check(found == w.available(), "index entry of "+string(w.id))
		check(!found || slot == int32(i) && key == capacity.KeyOf(w.free, w.tie), "index key of "+string(w.id))
	}
	check(isolated == len(s.isolated) && alone == s.keptAlone, "number of workers kept for suspects")
	for _, b := range s.bookings {
		check(s.jobs[b.job.id] == b.job && b.job.booking == b && b.job.group.policy == gang, "booking of "+b.job.id.String())
	}
	var ready, waiting int64
	for _, j := range s.jobs {
		r := n.ready(j)
		ready, waiting = ready+r, waiting+int64(j.waiting)
		check(r == int64(j.ready), "ready tasks of "+j.id.String())
		check(r == 0 || slices.Contains(j.group.jobs, j) && s.teams[j.group.team].queue.entries[j.group.slot].group == j.group, "queue entry of "+j.id.String())
		check(j.booking == nil || slices.Contains(s.bookings, j.booking), "list of bookings with "+j.id.String())
		check(s.teams[j.group.team].victims.Has(j) == (j.assigned > 0 && j.group.repeatable), "victims entry of "+j.id.String())
	}
	check(ready == s.readyTasks && waiting == s.waitingTasks, "totals of pending tasks")
	return problems
}
