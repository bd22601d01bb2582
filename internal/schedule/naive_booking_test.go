package schedule

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Permits and bookings, by the reference planner.

// permittedUntil returns the time before which a permit of j for a worker is valid, or, with
// renewable, may be valid again. It is the largest time if j needs no permit.
func (n *naive) permittedUntil(j *job, slot int32, renewable bool) model.Time {
	if j.permits == nil {
		return maxTime
	}
	id := n.s.workers[slot].id
	until, known := j.permits.until[id]
	if known && renewable && !j.permits.refused[id] {
		return until.Add(PermitRenewal)
	}
	return until
}

// mayBook reports whether a worker may be booked or reserved for j.
func (n *naive) mayBook(j *job, slot int32) bool {
	return j.permits == nil || n.permittedUntil(j, slot, true) > n.now && n.now >= n.s.workers[slot].bookAfter
}

// mayStartNow reports whether j has any valid permit, if it needs one.
func (n *naive) mayStartNow(j *job) bool {
	if j.permits == nil {
		return true
	}
	for _, until := range j.permits.until {
		if until > n.now {
			return true
		}
	}
	return false
}

// recordKeptWaiting records the reservations that keep a job without a permit waiting.
func (n *naive) recordKeptWaiting(j *job, size model.Resources) {
	if !n.borrows(j, size) {
		return
	}
	for _, r := range n.s.reservations {
		room := slices.ContainsFunc(r.claims, func(c claim) bool {
			w := &n.s.workers[c.slot]
			return w.open() && n.matches(j.group, w) && size.Fits(n.free(c.slot))
		})
		if r.job != j && r.advance && room {
			n.keepsWaiting(r)
		}
	}
}

// tryBooking books room for a gang on workers whose permits may have ended.
func (n *naive) tryBooking(j *job, size model.Resources) bool {
	if j.group.policy != gang || j.permits == nil || n.now < j.bookAfter {
		return false
	}
	claims := n.gangClaims(j, size, func(slot int32) bool {
		return n.fitsOnce(j, slot, size) && n.mayBook(j, slot)
	})
	if claims == nil {
		return false
	}
	b := &booking{job: j, claims: claims, size: size, since: n.now, until: n.now.Add(n.s.opts.MaxIdleWait * (1 << min(j.lapses, maxBookingDoublings)))}
	n.s.addBooking(b)
	n.keep(b)
	return true
}

// keep assigns the tasks of a booking without placing them.
func (n *naive) keep(b *booking) {
	n.eachClaimed(b.job, b.claims, func(index, slot int32) { n.assign(b.job, index, slot, b.size) })
	n.wakeAt(b.until)
}

// keepBookings places or keeps the tasks of the bookings, or drops these.
func (n *naive) keepBookings() {
	for _, b := range slices.Clone(n.s.bookings) {
		j := b.job
		if !n.canKeep(b) {
			n.s.dropBooking(b)
			continue
		}
		valid := true
		for _, c := range b.claims {
			valid = valid && n.permittedUntil(j, c.slot, false) > n.now
		}
		space := len(n.plan.Placements) == 0 || len(n.plan.Placements)+int(n.ready(j)) <= n.max
		switch {
		case valid && space:
			n.eachClaimed(j, b.claims, func(index, slot int32) { n.addPlacement(j, index, slot, b.size) })
		case !valid && n.now >= b.until:
			n.s.dropBooking(b)
			j.bookAfter = 2*n.now - b.since
			j.lapses++
			n.s.pauseEnds = append(n.s.pauseEnds, j.bookAfter)
			for _, c := range b.claims {
				n.s.workers[c.slot].bookAfter = j.bookAfter
			}
		default:
			n.keep(b)
		}
	}
}

// booked returns what all bookings hold on a worker.
func (n *naive) booked(slot int32) (sum model.Resources) {
	for _, b := range n.s.bookings {
		for _, c := range b.claims {
			if c.slot == slot {
				sum = sum.Add(b.size.Mul(c.tasks))
			}
		}
	}
	return sum
}

// canKeep reports whether the booked workers can still hold the gang.
func (n *naive) canKeep(b *booking) bool {
	j, count := b.job, int64(0)
	for _, c := range b.claims {
		count += c.tasks
		w := &n.s.workers[c.slot]
		if kept := w.onProbation() || w.isolatedFor.job != nil; !w.open() || kept && !n.mayTryGang(j, w, true) || !n.matches(j.group, w) {
			return false
		}
		if n.permittedUntil(j, c.slot, true) <= n.now || !b.size.Mul(c.tasks).Fits(n.free(c.slot)) {
			return false
		}
	}
	t := n.s.teams[j.group.team]
	use, running := n.use(j.group.team)
	within := running+t.requestPermits+count <= t.maxRunning && within(use.Add(b.size.Mul(count)), t.maxResources)
	return within && !n.blockedGroup[j.group] && j.waiting == 0 && j.assigned == 0 && n.ready(j) == count && b.size == n.size(j.group)
}
