package schedule

import (
	"fmt"
	"strings"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Reasons returned by WaitReasons, with what they count.
const (
	waitBackoff      = "backoff"          // tasks that wait after a failure
	waitBudget       = "budget"           // tasks without a restart left
	waitLimit        = "limit"            // tasks that exceed the limit of the team
	waitQueue        = "queue"            // jobs of the team that come first
	waitMoved        = "moved"            // jobs with a later promised start that come first
	waitSelector     = "selector"         // workers whose labels do not match
	waitSize         = "size"             // workers that are too small
	waitEvacuated    = "evacuated"        // workers in an evacuated failure domain
	waitMode         = "mode"             // workers that are not open to new tasks
	waitUnresponsive = "silent"           // workers that do not respond to commands, or have just refused one
	waitProbation    = "probation"        // workers on probation
	waitSuspect      = "suspect"          // workers kept for a task that may have crashed others
	waitReservation  = "reservation"      // workers reserved for another job
	waitBooked       = "booked"           // workers that are booked for the job
	waitOthersBooked = "booked_by_others" // workers whose room is booked for others
	waitExclusive    = "exclusive"        // workers that run as many tasks of the job as they may
	waitPastUse      = "past_use"         // teams that come first because of past use
	waitShare        = "share"            // workers that are full
	waitPermit       = "permit"           // workers with room for a task but without a valid permit
	waitGang         = "gang"             // tasks for which the workers of waitNext have no room at the same time
	waitNext         = "next"             // workers with room for a task
)

// WaitReasons returns why the pending tasks of a job wait at now, with counts of
// tasks, jobs or workers. It examines every worker and is meant for requests by
// people, not for use in a loop.
func (s *Scheduler) WaitReasons(id model.JobID, now model.Time) []api.WhyNot {
	j := s.jobs[id]
	if j == nil || j.ready+j.waiting == 0 {
		return nil
	}
	w := waitReasons{s: s, j: j, now: now}
	w.tasks()
	w.booking()
	if j.ready > 0 {
		w.team()
		w.pastUse()
		w.moved()
		w.workers()
	}
	return w.out
}

type waitReasons struct {
	s   *Scheduler
	j   *job
	now model.Time
	out []api.WhyNot
}

func (w *waitReasons) add(reason string, count int64, format string, args ...any) {
	if count > 0 {
		w.out = append(w.out, api.WhyNot{Reason: reason, Count: count, Detail: fmt.Sprintf(format, args...)})
	}
}

func (w *waitReasons) tasks() {
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
	w.add(waitBackoff, inBackoff, "tasks are in backoff; the next may start in %s", max(next.Sub(w.now), 0))
}

// booking adds the workers that are booked for the job.
func (w *waitReasons) booking() {
	if b := w.j.booking; b != nil {
		w.add(waitBooked, int64(len(b.claims)), "workers are booked for the gang for another %s at most, while the permits for them are renewed", max(b.until.Sub(w.now), 0))
	}
}

func (w *waitReasons) team() {
	t := w.s.teams[w.j.group.team]
	ahead, first := w.ahead(t)
	w.add(waitQueue, ahead, "jobs of team %s have an earlier promised start%s", t.name, w.describeFirst(first))
	over := int64(w.j.ready) - max(t.headroom(), 0)
	w.add(waitLimit, over, "tasks exceed the limit of team %s, which runs %d tasks and holds %d request permits of %d", t.name, t.running, t.requestPermits, t.maxRunning)
	size := w.s.sizeFor(w.j.group)
	if w.j.group.policy == gang {
		size = size.Mul(int64(w.j.ready))
	}
	if !t.withinMaxResources(size) {
		w.add(waitLimit, int64(w.j.ready), "tasks exceed the resource limit of team %s, which has %s reserved of %s", t.name, t.reserved, t.maxResources)
	}
}

// moved adds the jobs that come first since the job missed its promised start, even if there
// are none: until its new place in the order is near, the job reserves no workers.
func (w *waitReasons) moved() {
	by := w.j.startBy.Sub(w.j.promisedStart)
	if by <= 0 {
		return
	}
	var n int64
	for _, o := range w.s.jobs {
		if o.ready > 0 && o.less(w.j) && o.promisedStart > w.j.promisedStart {
			n++
		}
	}
	p := planner{s: w.s, now: w.now}
	w.out = append(w.out, api.WhyNot{Reason: waitMoved, Count: n, Detail: fmt.Sprintf(
		"jobs with a later promised start come first: this one missed its own by %s and was moved back by %s; it may reserve workers in %s",
		w.now.Sub(w.j.promisedStart), by, max(p.pressingFrom(w.j).Sub(w.now), 0))})
}

// ahead returns how many jobs of the team come before the job, and the first of them.
func (w *waitReasons) ahead(t *team) (n int64, first *job) {
	for i := range t.queue.entries {
		for _, o := range t.queue.entries[i].group.jobs {
			if o.ready == 0 || !o.less(w.j) {
				continue
			}
			n++
			if first == nil || o.less(first) {
				first = o
			}
		}
	}
	return n, first
}

// describeFirst names the job that comes before the others of its team, and whether they
// may overtake it.
func (w *waitReasons) describeFirst(first *job) string {
	if first == nil {
		return ""
	}
	p := planner{s: w.s, now: w.now}
	if p.pressing(first) {
		return fmt.Sprintf("; the first is job %s, which no other job of the team may overtake", first.id)
	}
	return fmt.Sprintf("; the first is job %s", first.id)
}

// reservingJobs names the jobs for which workers are reserved that match the job.
func (w *waitReasons) reservingJobs() string {
	var names []string
	for _, r := range w.s.reservations {
		if r.job != w.j {
			names = append(names, fmt.Sprintf("%s (team %s, %d workers)", r.job.id, w.s.teams[r.job.group.team].name, len(r.claims)))
		}
	}
	return strings.Join(names, ", ")
}

func (w *waitReasons) workers() {
	size := w.s.sizeFor(w.j.group)
	n := w.countWorkers(size)
	t := w.s.teams[w.j.group.team]
	w.add(waitSelector, n.byReason[waitSelector], "workers do not match the selector")
	w.add(waitSize, n.byReason[waitSize], "workers are smaller than a task, which needs %s", size)
	w.add(waitEvacuated, n.byReason[waitEvacuated], "workers are in an evacuated failure domain")
	w.add(waitMode, n.byReason[waitMode], "workers are not open to new tasks")
	w.add(waitUnresponsive, n.byReason[waitUnresponsive], "workers do not respond to commands, or have just refused one")
	w.add(waitProbation, n.byReason[waitProbation], "workers are on probation, the last choice")
	w.add(waitSuspect, n.byReason[waitSuspect], "workers are kept for tasks that may have crashed others, the last choice")
	w.add(waitExclusive, n.byReason[waitExclusive], "workers already run as many tasks of the job as one may")
	w.add(waitReservation, n.byReason[waitReservation], "workers are reserved for other waiting jobs and have room for %d tasks now: %s", n.reservedRoom, w.reservingJobs())
	w.add(waitOthersBooked, n.byReason[waitOthersBooked], "workers have room that is booked for gangs whose permits are being renewed")
	w.add(waitShare, n.byReason[waitShare], "workers have too little free capacity; team %s uses %d%% of its share%s", t.name, w.s.load(t, model.Resources{})/(ppm/100), w.describePastUse(t))
	w.permits(&n)
	w.gangRoom(&n)
	w.add(waitNext, n.byReason[""], "workers have enough free capacity for a task")
}

// workerCounts are the workers of the cell by what rules them out for a task.
type workerCounts struct {
	byReason     map[string]int64 // "": nothing rules them out
	expired      int64            // those of waitPermit whose permit has expired
	room         int64            // tasks that fit at the same time on the workers that nothing rules out
	reservedRoom int64            // tasks that fit at the same time on the workers of waitReservation
}

func (w *waitReasons) countWorkers(size model.Resources) workerCounts {
	var c spread
	c.load(w.s, w.j)
	n := workerCounts{byReason: map[string]int64{}}
	for i := range w.s.workers {
		at := &w.s.workers[i]
		if !at.known {
			continue
		}
		reason := w.worker(int32(i), size, &c)
		n.byReason[reason]++
		switch {
		case reason == waitPermit && w.j.permits.until[at.id] != 0:
			n.expired++
		case reason == waitReservation && size.Fits(at.free):
			n.reservedRoom += w.j.tasksThatFit(size, at.free)
		case reason == "":
			n.room += w.j.tasksThatFit(size, w.s.freeFor(w.j, int32(i)))
		}
	}
	return n
}

// permits adds the workers for which the job has no valid permit.
func (w *waitReasons) permits(n *workerCounts) {
	without := n.byReason[waitPermit]
	w.add(waitPermit, without, "workers have enough free capacity but no valid permit (not permitted: %d, expired: %d)", without-n.expired, n.expired)
}

// gangRoom adds the tasks of a gang for which there is no room. A gang starts only as a
// whole, so that workers with enough free capacity for a task do not suffice.
func (w *waitReasons) gangRoom(n *workerCounts) {
	if w.j.group.policy != gang {
		return
	}
	workers := "the workers with enough free capacity"
	if w.j.permits != nil {
		workers += " and a valid permit"
	}
	w.add(waitGang, int64(w.j.ready)-n.room, "tasks of the gang have no room: %s hold %d of %d tasks", workers, n.room, w.j.ready)
}

// worker returns the first reason that rules a worker out; "" for none.
func (w *waitReasons) worker(slot int32, size model.Resources, c *spread) string {
	at := &w.s.workers[slot]
	switch {
	case !w.s.matches(w.j.group.selector, at.class):
		return waitSelector
	case !size.Fits(at.capacity):
		return waitSize
	case at.evacuated:
		return waitEvacuated
	case at.mode != model.WorkerOpen:
		return waitMode
	case at.unresponsive:
		return waitUnresponsive
	case at.onProbation():
		return waitProbation
	case at.isolatedFor.job != nil:
		return waitSuspect
	case w.j.group.perWorker > 0 && c.onWorker[slot] >= w.j.group.perWorker:
		return waitExclusive
	case at.reservation != nil && at.reservation.job != w.j:
		return waitReservation
	case !size.Fits(at.free):
		return waitShare
	case !size.Fits(w.s.freeFor(w.j, slot)):
		return waitOthersBooked
	case !w.j.permits.valid(at.id, w.now):
		return waitPermit
	}
	return ""
}
