package schedule

import (
	"fmt"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Reasons returned by WaitReasons, with what they count.
const (
	waitBackoff      = "backoff"     // tasks that wait after a failure
	waitBudget       = "budget"      // tasks without a restart left
	waitLimit        = "limit"       // tasks that exceed the limit of the team
	waitQueue        = "queue"       // jobs of the team that come first
	waitSelector     = "selector"    // workers whose labels do not match
	waitSize         = "size"        // workers that are too small
	waitMode         = "mode"        // workers that are not open to new tasks
	waitUnresponsive = "silent"      // workers that do not respond to commands
	waitProbation    = "probation"   // workers on probation
	waitReservation  = "reservation" // workers reserved for another job
	waitExclusive    = "exclusive"   // workers that run a task of the job
	waitShare        = "share"       // workers that are full
	waitNext         = "next"        // workers with room for a task
)

// WaitReasons returns why the pending tasks of a job wait at now, with counts of
// tasks, jobs or workers. It examines every worker and is meant for requests by
// people, not for use in a loop.
func (s *Scheduler) WaitReasons(id model.JobID, now model.Time) []api.WhyNot {
	j := s.jobs[id]
	if j == nil || j.ready+j.waiting == 0 {
		return nil
	}
	w := waitReasons{s: s, j: j}
	w.tasks(now)
	if j.ready > 0 {
		w.team()
		w.workers()
	}
	return w.out
}

type waitReasons struct {
	s   *Scheduler
	j   *job
	out []api.WhyNot
}

func (w *waitReasons) add(reason string, count int64, format string, args ...any) {
	if count > 0 {
		w.out = append(w.out, api.WhyNot{Reason: reason, Count: count, Detail: fmt.Sprintf(format, args...)})
	}
}

func (w *waitReasons) tasks(now model.Time) {
	var exhausted, inBackoff int64
	var next model.Time
	for i := range w.j.tasks {
		t := &w.j.tasks[i]
		switch {
		case t.state != taskWaiting:
		case t.since == 0:
			exhausted++
		default:
			inBackoff++
			next = earlier(next, t.since)
		}
	}
	w.add(waitBudget, exhausted, "tasks have no restart left")
	w.add(waitBackoff, inBackoff, "tasks are in backoff; the next may start in %s", max(next.Sub(now), 0))
}

func (w *waitReasons) team() {
	t := w.s.teams[w.j.group.team]
	ahead := int64(0)
	for i := range t.queue.entries {
		for _, o := range t.queue.entries[i].group.jobs {
			if o.ready > 0 && o.less(w.j) {
				ahead++
			}
		}
	}
	w.add(waitQueue, ahead, "jobs of team %s have an earlier promised start", t.name)
	over := int64(w.j.ready) - max(t.headroom(), 0)
	w.add(waitLimit, over, "tasks exceed the limit of team %s, which runs %d tasks and holds %d request permits of %d", t.name, t.running, t.requestPermits, t.maxRunning)
	size := w.s.sizeFor(w.j.group)
	if !t.withinMaxResources(size) {
		w.add(waitLimit, int64(w.j.ready), "tasks exceed the resource limit of team %s, which has %s reserved of %s", t.name, t.reserved, t.maxResources)
	}
}

func (w *waitReasons) workers() {
	s, g := w.s, w.j.group
	size := s.sizeFor(g)
	var c spread
	c.load(s, w.j)
	counts := map[string]int64{}
	for i := range s.workers {
		if s.workers[i].known {
			counts[w.worker(int32(i), size, &c)]++
		}
	}
	t := s.teams[g.team]
	w.add(waitSelector, counts[waitSelector], "workers do not match the selector")
	w.add(waitSize, counts[waitSize], "workers are smaller than a task, which needs %s", size)
	w.add(waitMode, counts[waitMode], "workers are not open to new tasks")
	w.add(waitUnresponsive, counts[waitUnresponsive], "workers do not respond to commands")
	w.add(waitProbation, counts[waitProbation], "workers are on probation")
	w.add(waitExclusive, counts[waitExclusive], "workers already run a task of this exclusive job")
	w.add(waitReservation, counts[waitReservation], "workers are reserved for other waiting jobs")
	w.add(waitShare, counts[waitShare], "workers have too little free capacity; team %s uses %d%% of its share", t.name, s.load(t, model.Resources{})/(ppm/100))
	w.add(waitNext, counts[""], "workers have enough free capacity for a task")
}

// worker returns the first reason that rules a worker out; "" for none.
func (w *waitReasons) worker(slot int32, size model.Resources, c *spread) string {
	at := &w.s.workers[slot]
	switch {
	case !w.s.matches(w.j.group.selector, at.class):
		return waitSelector
	case !size.Fits(at.capacity):
		return waitSize
	case at.mode != model.WorkerOpen:
		return waitMode
	case at.unresponsive:
		return waitUnresponsive
	case at.onProbation():
		return waitProbation
	case w.j.group.exclusive && c.onWorker[slot]:
		return waitExclusive
	case at.reservation != nil && at.reservation.job != w.j:
		return waitReservation
	case !size.Fits(at.free):
		return waitShare
	}
	return ""
}
