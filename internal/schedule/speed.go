package schedule

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// Workers differ in speed. They are indexed by a few classes of speed rather than by the speed
// itself, so that a search examines few bins and a worker is seldom moved between them. A
// preferred class only orders the workers on which a task fits: no task waits for a fast worker
// while it fits on a slow one.

// preference is the order in which a job takes the classes of speed.
type preference uint8

const (
	preferNone preference = iota
	preferFast
	preferSlow
)

// ranks is the number of values of preference.rank.
const ranks = 3

// rank returns the place of a class in the order of p, zero for the best.
func (p preference) rank(c speed.Class) int {
	switch p {
	case preferFast:
		return int(speed.Fast - c)
	case preferSlow:
		return int(c - speed.Slow)
	}
	return 0
}

// shortPatience is the patience below which a job prefers fast workers, whatever its run time
// is: waiting for permits and for the start takes a large part of it.
const shortPatience = 3 * time.Second

// preferenceOf returns what jobs of g prefer with the given patience and declared run time. A
// task on a slow worker may take almost twice its run time, so that a job of less patience than
// that cannot make up for it. Patient jobs leave the fast workers to others. Tasks that last
// are spread by other rules.
func preferenceOf(g *group, patience, run time.Duration) preference {
	switch {
	case g.policy == gang:
		return preferFast
	case g.lasts():
		return preferNone
	case patience < max(run, shortPatience):
		return preferFast
	}
	return preferSlow
}

// setSpeed changes the speed of a worker.
func (s *Scheduler) setSpeed(e WorkerSpeedChanged) {
	slot, ok := s.workerByID[e.Worker]
	if !ok {
		return
	}
	w := &s.workers[slot]
	w.speed = e.Permille
	w.invalidateReservation()
	if pace := speed.ClassOf(w.speed, w.pace); pace != w.pace {
		w.pace = pace
		s.updateIndex(slot)
	}
}

// SpeedClass returns the class of speed of a worker, and speed.Average if it is unknown.
func (s *Scheduler) SpeedClass(id model.WorkerID) speed.Class {
	if slot, ok := s.workerByID[id]; ok {
		return s.workers[slot].pace
	}
	return speed.Average
}

// SpeedClasses returns the number of workers of each class of speed that are not lost.
func (s *Scheduler) SpeedClasses() map[speed.Class]int {
	out := map[speed.Class]int{speed.Slow: 0, speed.Average: 0, speed.Fast: 0}
	for i := range s.workers {
		if w := &s.workers[i]; w.known && w.mode != model.WorkerLost {
			out[w.pace]++
		}
	}
	return out
}
