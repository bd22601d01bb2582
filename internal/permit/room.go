package permit

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
)

// room counts how many tasks of a job fit into free capacity now, by what is known of
// the permits for the workers.
type room struct {
	at         model.Time       // when it was counted
	retry      bool             // the last query failed
	valid      int64            // on allowed workers with a valid permit
	allowed    int64            // on all allowed workers
	fresh      int64            // on workers about which no query was sent
	validUntil model.Time       // latest end of a valid permit; zero if none is valid
	whenIdle   int64            // on all allowed workers once they are idle
	reserved   []model.WorkerID // workers reserved for the job whose permits must be renewed, so that they stay reserved
	refused    int64            // on workers that the last response did not permit
	refusedDue model.Time       // earliest check of one of them that is not due yet; zero: none is needed

	allowedWorkers int
	queriedWorkers int
	freshWorkers   int // about which no query was sent
}

// roomOn returns the room on the candidates of a job at now.
func (j *jobPermits) roomOn(candidates []schedule.Candidate, now model.Time) *room {
	r := &room{at: now, retry: j.retryAt != 0}
	for i := range candidates {
		c := &candidates[i]
		w, queried := j.known(c.Worker, now)
		if !queried {
			r.freshWorkers++
			r.fresh += c.Room
			continue
		}
		r.queriedWorkers++
		if !w.allowed {
			r.refused += c.Room
			continue
		}
		r.allowedWorkers++
		r.allowed += c.Room
		r.whenIdle += c.RoomWhenIdle
		if now < w.until {
			r.valid += c.Room
			r.validUntil = max(r.validUntil, w.until)
		}
		if c.Reserved && now >= w.until.Add(reservedRenewal) {
			r.reserved = append(r.reserved, c.Worker)
		}
	}
	return r
}

// known returns what is known of a worker at now, and false if it is to be queried about as
// if it never was: the scheduler counts a permit that ended long ago as one that is not
// renewed.
func (j *jobPermits) known(worker model.WorkerID, now model.Time) (workerState, bool) {
	w, queried := j.workers[worker]
	return w, queried && !(w.allowed && now >= w.until.Add(schedule.PermitRenewal))
}

// queryHelps reports whether a response could let tasks start that the valid permits
// do not. Tasks that start together are booked where the allowed workers have room for
// them, and the booked workers queried about; only after a failed query is there a need for
// another one. Without a valid permit it always may, for tasks that start one by one: they
// must be ready for capacity that becomes free.
func (r *room) queryHelps(d Demand) bool {
	switch {
	case d.AllAtOnce && len(r.reserved) > 0:
		return true
	case r.valid >= d.Tasks:
		return false
	case d.AllAtOnce && r.allowed >= d.Tasks:
		return r.retry
	case d.AllAtOnce:
		return r.allowed+r.fresh >= d.Tasks || r.validUntil == 0 && r.helpsReserve(d)
	case r.validUntil == 0:
		return true
	}
	return r.allowed+r.fresh > r.valid
}

// helpsReserve reports whether a query helps tasks that start together and for which
// there is no room now: it finds the workers to reserve. Other queries would only occupy
// entries that jobs with room need.
func (r *room) helpsReserve(d Demand) bool {
	return r.whenIdle < d.targetRoom() && r.freshWorkers > 0
}

// recheckAt returns when to examine a job again that needs no query at now. Tasks that
// start one by one use the valid permits as capacity becomes free.
func (r *room) recheckAt(d Demand, now model.Time) model.Time {
	next := now.Add(recheckAfter)
	if !d.AllAtOnce && r.validUntil != 0 {
		next = r.validUntil
	} else if r.validUntil != 0 {
		next = min(next, r.validUntil)
	}
	if r.refusedDue != 0 {
		next = min(next, r.refusedDue)
	}
	return next
}

// targetRoom returns for how many tasks there should be room on the workers of a query.
func (d Demand) targetRoom() int64 { return d.Tasks * roomFactorPercent / 100 }

// maxWorkers returns how many workers may be queried about at once. More than one query
// serves only tasks that start at the same time.
func (d Demand) maxWorkers() int {
	if d.AllAtOnce {
		return maxQueriesAtOnce * MaxQueryWorkers
	}
	return MaxQueryWorkers
}

// minFresh returns the least number of workers in a query about workers not queried yet.
func (d Demand) minFresh() int {
	if d.AllAtOnce && d.Tasks >= manyTasks {
		return minFreshForGang
	}
	return minFreshWorkers
}

// selectWorkers returns the workers to query: allowed ones if they have room for all
// pending tasks or if no others are left, else those not queried yet. For tasks that start
// together, reserved workers whose permits must be renewed come before them all.
func (j *jobPermits) selectWorkers(candidates []schedule.Candidate, r *room, d Demand) []model.WorkerID {
	if d.AllAtOnce && len(r.reserved) > 0 {
		return r.reserved
	}
	target := d.targetRoom()
	if r.allowedWorkers > 0 && (r.allowed >= d.Tasks || r.freshWorkers == 0) {
		return cover(j.filter(candidates, d, r, r.allowedWorkers, func(w workerState, _ bool) bool { return w.allowed }), target, d.maxWorkers())
	}
	fresh := j.filter(candidates, d, r, r.freshWorkers, func(_ workerState, queried bool) bool { return !queried })
	n, enough := r.freshWithRoom(fresh, target, d)
	if !enough && d.AllAtOnce {
		n = max(n, r.freshToReserve(fresh, reservableFactor*d.Tasks, d.maxWorkers()))
	}
	return workersOf(fresh[:n])
}

// filter returns the candidates of whose state keep approves, n in number. The first
// d.maxWorkers of them are in the order in which they are queried. Each query in flight about
// a worker is counted as taking room for one task there, so that jobs are not sent to the same
// workers.
func (j *jobPermits) filter(candidates []schedule.Candidate, d Demand, r *room, n int, keep func(w workerState, queried bool) bool) []schedule.Candidate {
	out := make([]schedule.Candidate, 0, n)
	for _, c := range candidates {
		if w, queried := j.known(c.Worker, r.at); keep(w, queried) {
			c.Room = max(c.Room-j.contended[c.Worker], 0)
			out = append(out, c)
		}
	}
	d.sortFirst(out, d.maxWorkers())
	return out
}

// freshWithRoom returns how many of the workers not queried yet to query: as many as
// probably have the missing room, judged by the share of the workers queried so far that are
// allowed (a third if none was), but at least d.minFresh and at most d.maxWorkers. It reports
// whether they have it.
func (r *room) freshWithRoom(fresh []schedule.Candidate, target int64, d Demand) (n int, enough bool) {
	limit := d.maxWorkers()
	missing := (target - r.allowed) * int64(r.queriedWorkers+3)
	for n < min(len(fresh), limit) && missing > 0 && fresh[n].Room > 0 {
		missing -= fresh[n].Room * int64(r.allowedWorkers+1)
		n++
	}
	return max(n, min(len(fresh), d.minFresh())), missing <= 0
}

// freshToReserve returns how many of the workers not queried yet to query for tasks that
// start together and must wait for room: as many as probably hold target tasks once they are
// idle.
func (r *room) freshToReserve(fresh []schedule.Candidate, target int64, limit int) (n int) {
	missing := (target - r.whenIdle) * int64(r.queriedWorkers+3)
	for n < min(len(fresh), limit) && missing > 0 {
		missing -= fresh[n].RoomWhenIdle * int64(r.allowedWorkers+1)
		n++
	}
	return n
}

// cover returns the workers that are reserved for the job, and of the others the first
// ones that together have the target room. It returns at least minRenewalWorkers and at
// most limit.
func cover(allowed []schedule.Candidate, target int64, limit int) []model.WorkerID {
	n := 0
	for n < min(len(allowed), limit) {
		c := &allowed[n]
		if n >= minRenewalWorkers && !c.Reserved && (target <= 0 || c.Room == 0) {
			break
		}
		target -= c.Room
		n++
	}
	return workersOf(allowed[:n])
}

// sortCandidates sorts candidates in the order in which they are queried.
func (d Demand) sortCandidates(candidates []schedule.Candidate) {
	slices.SortFunc(candidates, func(a, b schedule.Candidate) int { return d.compareCandidates(&a, &b) })
}

// sortFirst moves the first n candidates in the order in which they are queried to the front
// and sorts them. The others are in no order.
func (d Demand) sortFirst(candidates []schedule.Candidate, n int) {
	low, high := 0, len(candidates)
	for low < n && n < high {
		middle := d.partition(candidates[low:high]) + low
		if middle < n {
			low = middle + 1
		} else {
			high = middle
		}
	}
	d.sortCandidates(candidates[:min(n, len(candidates))])
}

// partition moves the candidates that are queried before one of them to the front and the
// others behind it, and returns its place. It takes the one in the middle.
func (d Demand) partition(candidates []schedule.Candidate) int {
	last := len(candidates) - 1
	swap := func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] }
	swap(len(candidates)/2, last)
	place := 0
	for i := range last {
		if d.compareCandidates(&candidates[i], &candidates[last]) < 0 {
			swap(i, place)
			place++
		}
	}
	swap(place, last)
	return place
}

// compareCandidates puts reserved workers first and full ones last. Of those with room, the ones
// of the speed that the job prefers come first. For tasks that start
// together the workers with the most room come first, for others the tightest ones: tasks
// go where their permits are, and idle workers are kept for those that need them.
func (d Demand) compareCandidates(a, b *schedule.Candidate) int {
	tightest := !d.AllAtOnce && a.Room > 0 && b.Room > 0
	switch {
	case a.Reserved && !b.Reserved:
		return -1
	case b.Reserved && !a.Reserved:
		return 1
	case (a.Room > 0) != (b.Room > 0):
		return cmp.Compare(b.Room, a.Room)
	case a.Room > 0 && a.Rank != b.Rank:
		return cmp.Compare(a.Rank, b.Rank)
	case tightest && a.FreeCPU != b.FreeCPU:
		return cmp.Compare(a.FreeCPU, b.FreeCPU)
	case a.Room != b.Room:
		return cmp.Compare(b.Room, a.Room)
	case a.FreeCPU != b.FreeCPU:
		return cmp.Compare(b.FreeCPU, a.FreeCPU)
	}
	return cmp.Compare(a.Worker, b.Worker)
}

func workersOf(candidates []schedule.Candidate) []model.WorkerID {
	out := make([]model.WorkerID, len(candidates))
	for i := range candidates {
		out[i] = candidates[i].Worker
	}
	return out
}
