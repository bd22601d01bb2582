package permit

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
)

const (
	// firstRefusalCheck is the time before a worker that a response did not permit is
	// queried about again. It doubles with each further refusal.
	firstRefusalCheck = 1100 * time.Millisecond
	// maxRefusalCheck bounds that time for a job that can start on allowed workers once
	// they have room.
	maxRefusalCheck = 16 * time.Second
	// maxUrgentRefusalCheck bounds it for a job that cannot. With a query about
	// MaxQueryWorkers it leaves such a job less than three seconds without a permit.
	maxUrgentRefusalCheck = 1500 * time.Millisecond
	// refusedRoomFactor is for how many times the pending tasks there must be room before
	// refused workers are queried about for a job that its allowed workers will hold: in a
	// full cell, such queries cannot help.
	refusedRoomFactor = 2
)

// refusedToCheck returns the refused workers to query about now, at most
// MaxQueryWorkers. There are none while allowed workers, or those not queried yet, have
// room for what the job has to place.
func (j *jobPermits) refusedToCheck(candidates []schedule.Candidate, r *room, d Demand, now model.Time) []model.WorkerID {
	if !r.needsRefused(d) {
		return nil
	}
	limit := maxRefusalCheck
	if r.cannotStart(d) {
		limit = maxUrgentRefusalCheck
	}
	var due []schedule.Candidate
	for _, c := range candidates {
		w, queried := j.workers[c.Worker]
		if !queried || w.allowed || c.Room == 0 {
			continue
		}
		if at := w.refusedAt.Add(refusalDelay(w.refusals, limit)); at > now {
			r.refusedDue = earlier(r.refusedDue, at)
			continue
		}
		due = append(due, c)
	}
	d.sortCandidates(due)
	return workersOf(due[:min(len(due), MaxQueryWorkers)])
}

// needsRefused reports whether only refused workers have room for what must start at
// once.
func (r *room) needsRefused(d Demand) bool {
	if r.refused == 0 || r.allowed+r.fresh >= d.atOnce() {
		return false
	}
	least := refusedRoomFactor * d.Tasks
	if r.cannotStart(d) {
		least = d.atOnce()
	}
	return r.allowed+r.fresh+r.refused >= least
}

// cannotStart reports whether the allowed workers are too few for what must start at
// once, even when they are idle.
func (r *room) cannotStart(d Demand) bool { return r.whenIdle < d.atOnce() }

// atOnce returns how many tasks must start at the same time.
func (d Demand) atOnce() int64 {
	if d.AllAtOnce {
		return d.Tasks
	}
	return 1
}

// refusalDelay returns the time from the last of some refusals in a row to the next query
// about the worker.
func refusalDelay(refusals int, limit time.Duration) time.Duration {
	d := firstRefusalCheck
	for ; refusals > 1 && d < limit; refusals-- {
		d *= 2
	}
	return min(d, limit)
}

// earlier returns the earlier of two times; zero stands for never.
func earlier(a, b model.Time) model.Time {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
