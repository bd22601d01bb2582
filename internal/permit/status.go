package permit

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
)

// Status counts the permits of a job at a time.
type Status struct {
	Known    int  // permits, expired ones included
	Valid    int  // permits that can be used for a placement
	Allowed  int  // workers that the policy service has allowed
	Queried  int  // workers about which the policy service has been queried
	InFlight bool // a query is in flight
}

// Status returns the permits of a job at now. It returns the zero Status if the job is
// not tracked.
func (t *Tracker) Status(id model.JobID, now model.Time) Status {
	j := t.jobs[id]
	if j == nil {
		return Status{}
	}
	st := Status{Queried: len(j.workers), InFlight: j.inFlight > 0}
	for _, w := range j.workers {
		if w.allowed {
			st.Allowed++
		}
		if w.permit != "" {
			st.Known++
		}
		if now < w.until {
			st.Valid++
		}
	}
	return st
}

// Room counts the tasks of a job that fit into free capacity at a time, by what is known of
// the permits for the workers.
type Room struct {
	Valid     int64 // on allowed workers with a valid permit
	Allowed   int64 // on all allowed workers
	Unqueried int64 // on workers about which no query was sent
}

// Room returns the room for a job on its candidates at now. It returns the zero Room if the
// job is not tracked.
func (t *Tracker) Room(id model.JobID, candidates []schedule.Candidate, now model.Time) Room {
	j := t.jobs[id]
	if j == nil {
		return Room{}
	}
	r := j.roomOn(candidates, now)
	return Room{Valid: r.valid, Allowed: r.allowed, Unqueried: r.fresh}
}

// Position is the place of a job in the order of queries.
type Position struct {
	Ahead     int // waiting jobs whose queries come first
	Overtaken int // those of them with a later deadline
}

// Position returns the place of a job in the order of queries at now. It returns the zero
// Position if the job does not wait.
func (t *Tracker) Position(id model.JobID, now model.Time) Position {
	j := t.jobs[id]
	if j == nil {
		return Position{}
	}
	t.moveLate(now)
	var at Position
	for o := range t.inOrder() {
		if o == j {
			return at
		}
		at.Ahead++
		if o.order.PromisedStart > j.order.PromisedStart {
			at.Overtaken++
		}
	}
	return Position{}
}
