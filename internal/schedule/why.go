package schedule

import (
	"fmt"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// The reasons of Why.
const (
	whyBackoff     = "backoff"     // tasks that wait after a failure
	whyBudget      = "budget"      // tasks whose restarts are used up
	whyLimit       = "limit"       // tasks over the team's upper limit
	whyQueue       = "queue"       // jobs of the team that come first
	whySelector    = "selector"    // workers whose labels do not match
	whySize        = "size"        // workers that are too small
	whyMode        = "mode"        // workers that take no new work
	whySilent      = "silent"      // workers that do not answer orders
	whyProbation   = "probation"   // workers on probation
	whyReservation = "reservation" // workers kept clear for another job
	whyExclusive   = "exclusive"   // workers that run a task of the job
	whyShare       = "share"       // workers that are full
	whyNext        = "next"        // tasks that the next plan places
)

// Why names what holds the waiting tasks of a job at now, with counts of tasks,
// jobs or workers. It looks at every worker and is meant for people who ask.
func (s *Scheduler) Why(id model.JobID, now model.Time) []api.WhyNot {
	j := s.jobs[id]
	if j == nil || j.ready+j.waiting == 0 {
		return nil
	}
	w := why{s: s, j: j}
	w.tasks(now)
	if j.ready > 0 {
		w.team()
		w.workers()
	}
	return w.out
}

type why struct {
	s   *Scheduler
	j   *job
	out []api.WhyNot
}

func (w *why) add(reason string, count int64, format string, args ...any) {
	if count > 0 {
		w.out = append(w.out, api.WhyNot{Reason: reason, Count: count, Detail: fmt.Sprintf(format, args...)})
	}
}

func (w *why) tasks(now model.Time) {
	var spent, resting int64
	var next model.Time
	for i := range w.j.tasks {
		t := &w.j.tasks[i]
		switch {
		case t.state != taskWaiting:
		case t.since == 0:
			spent++
		default:
			resting++
			next = sooner(next, t.since)
		}
	}
	w.add(whyBudget, spent, "restarts are used up")
	w.add(whyBackoff, resting, "the next may start in %s", max(next.Sub(now), 0))
}

func (w *why) team() {
	t := w.s.teams[w.j.group.team]
	ahead := int64(0)
	for i := range t.line.entries {
		for _, o := range t.line.entries[i].group.jobs {
			if o.ready > 0 && o.less(w.j) {
				ahead++
			}
		}
	}
	w.add(whyQueue, ahead, "jobs of team %s have an earlier promised start", t.name)
	over := int64(w.j.ready) - max(t.room(), 0)
	w.add(whyLimit, over, "team %s runs %d tasks and holds %d request permits of %d", t.name, t.running, t.permits, t.maxRunning)
	size := w.s.sizeFor(w.j.group)
	if !t.withinBound(size) {
		w.add(whyLimit, int64(w.j.ready), "team %s has %s reserved of %s", t.name, t.reserved, t.maxResources)
	}
}

func (w *why) workers() {
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
	w.add(whySelector, counts[whySelector], "workers do not match the selector")
	w.add(whySize, counts[whySize], "workers are smaller than a task, %s", size)
	w.add(whyMode, counts[whyMode], "workers take no new work")
	w.add(whySilent, counts[whySilent], "workers do not answer orders")
	w.add(whyProbation, counts[whyProbation], "workers are on probation")
	w.add(whyExclusive, counts[whyExclusive], "workers run a task of the job")
	w.add(whyReservation, counts[whyReservation], "workers are kept clear for jobs that wait longer")
	w.add(whyShare, counts[whyShare], "workers are full; team %s holds %d%% of its share", t.name, s.load(t, model.Resources{})/(ppm/100))
	w.add(whyNext, counts[""], "workers have room for a task")
}

// worker returns the first reason that rules a worker out; "" for none.
func (w *why) worker(slot int32, size model.Resources, c *spread) string {
	at := &w.s.workers[slot]
	switch {
	case !w.s.matches(w.j.group.selector, at.class):
		return whySelector
	case !size.Fits(at.capacity):
		return whySize
	case at.mode != model.WorkerOpen:
		return whyMode
	case at.silent:
		return whySilent
	case at.onProbation():
		return whyProbation
	case w.j.group.exclusive && c.onWorker[slot]:
		return whyExclusive
	case at.hold != nil && at.hold.job != w.j:
		return whyReservation
	case !size.Fits(at.free):
		return whyShare
	}
	return ""
}
