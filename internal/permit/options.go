package permit

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
)

// options are the candidates of a job by what is known of their permits. Room counts
// tasks of the job that fit into free capacity now.
type options struct {
	allowed     []schedule.Candidate // the policy service permits them
	fresh       []schedule.Candidate // it has not been queried about them
	queried     int                  // candidates about which it has been queried
	validRoom   int64                // on allowed workers with a valid permit
	allowedRoom int64                // on all allowed workers
	freshRoom   int64
	validUntil  model.Time // latest end of a valid permit; zero if none is valid
}

// options sorts out the candidates of a job at now.
func (j *jobPermits) options(candidates []schedule.Candidate, now model.Time) *options {
	o := &options{}
	for _, c := range candidates {
		if !j.queried[c.Worker] {
			o.fresh = append(o.fresh, c)
			o.freshRoom += c.Room
			continue
		}
		o.queried++
		if j.allowed[c.Worker] {
			o.allowed = append(o.allowed, c)
			o.allowedRoom += c.Room
			o.countValid(&c, j.tokens[c.Worker].until, now)
		}
	}
	return o
}

func (o *options) countValid(c *schedule.Candidate, until, now model.Time) {
	if now < until {
		o.validRoom += c.Room
		o.validUntil = max(o.validUntil, until)
	}
}

// queryHelps reports whether a response could let tasks start that the valid permits
// do not. Without a valid permit it always may: the job must be ready for capacity
// that becomes free.
func (o *options) queryHelps(d Demand) bool {
	switch {
	case o.validUntil == 0:
		return true
	case o.validRoom >= d.Tasks:
		return false
	case d.AllAtOnce:
		return o.allowedRoom+o.freshRoom >= d.Tasks
	}
	return o.allowedRoom+o.freshRoom > o.validRoom
}

// recheckAt returns when to examine a job again that needs no query at now.
func (o *options) recheckAt(now model.Time) model.Time {
	return min(now.Add(recheckAfter), o.validUntil)
}

// maxWorkers returns how many workers may be queried about at once. More than one query
// serves only tasks that start at the same time.
func (d Demand) maxWorkers() int {
	if d.AllAtOnce {
		return maxQueriesAtOnce * MaxQueryWorkers
	}
	return MaxQueryWorkers
}

// selectWorkers returns the workers to query: allowed ones if they have room for all
// pending tasks or if few others are left, else those not queried yet.
func (o *options) selectWorkers(d Demand) []model.WorkerID {
	room := d.Tasks * roomFactorPercent / 100
	if len(o.allowed) > 0 && (o.allowedRoom >= d.Tasks || len(o.fresh) < minRenewalWorkers) {
		return cover(o.allowed, room, d.maxWorkers())
	}
	sortByRoom(o.fresh)
	return workersOf(o.fresh[:o.freshToQuery(d, room)])
}

// freshToQuery returns how many workers to query for the first time, of o.fresh in
// order: those of one query, or as many as probably have the missing room, judged by
// the share of the workers queried so far that are allowed.
func (o *options) freshToQuery(d Demand, room int64) int {
	n := min(len(o.fresh), MaxQueryWorkers)
	missing := (room - o.allowedRoom) * int64(o.queried+1)
	for at := range o.fresh[:min(len(o.fresh), d.maxWorkers())] {
		if missing <= 0 || o.fresh[at].Room == 0 {
			break
		}
		missing -= o.fresh[at].Room * int64(len(o.allowed)+1)
		n = max(n, at+1)
	}
	return n
}

// cover returns the workers that are reserved for the job, and of the others those
// with the most room until all together have the given room. It returns at least
// minRenewalWorkers and at most limit.
func cover(allowed []schedule.Candidate, room int64, limit int) []model.WorkerID {
	sortByRoom(allowed)
	n := 0
	for n < min(len(allowed), limit) {
		c := &allowed[n]
		if n >= minRenewalWorkers && !c.Reserved && (room <= 0 || c.Room == 0) {
			break
		}
		room -= c.Room
		n++
	}
	return workersOf(allowed[:n])
}

// sortByRoom orders candidates: reserved ones first, then by room and free capacity,
// the most first.
func sortByRoom(candidates []schedule.Candidate) {
	slices.SortFunc(candidates, func(a, b schedule.Candidate) int {
		return cmp.Or(compareReserved(&a, &b), cmp.Compare(b.Room, a.Room), cmp.Compare(b.FreeCPU, a.FreeCPU), cmp.Compare(a.Worker, b.Worker))
	})
}

func compareReserved(a, b *schedule.Candidate) int {
	switch {
	case a.Reserved == b.Reserved:
		return 0
	case a.Reserved:
		return -1
	}
	return 1
}

func workersOf(candidates []schedule.Candidate) []model.WorkerID {
	out := make([]model.WorkerID, len(candidates))
	for i := range candidates {
		out[i] = candidates[i].Worker
	}
	return out
}
