package schedule

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// A reservation keeps its workers from other jobs until its own can start. While less than
// half of the workers is in use, a job of which nothing runs does not wait for that: after
// MaxIdleWait it is lent reserved workers. All jobs that wait then borrow at one moment, so
// that what they run has until the next such moment to end before it delays the reservation.

// classUse is what is used of the workers of one label class.
type classUse struct{ used, total model.Resources }

// lending is what a plan may lend of the reserved workers.
type lending struct {
	any     bool            // workers are reserved in advance
	classes []classUse      // by label class, when the plan began; nil: not determined
	most    model.Resources // largest free amount of each component on reserved workers
	idle    map[int32]bool  // whether less than half is in use on the workers of a selector
}

// beginLending determines what the plan may lend.
func (p *planner) beginLending() {
	if p.s.countReservations(true) == 0 {
		return
	}
	p.lending.any = true
	p.countUse()
	for _, r := range p.s.reservations {
		if !r.advance {
			continue
		}
		for _, c := range r.claims {
			p.lending.most = p.lending.most.Max(p.s.workers[c.slot].free)
		}
	}
}

// countUse determines how much of the workers is in use.
func (p *planner) countUse() {
	for i := range p.s.workers {
		w := &p.s.workers[i]
		if !w.known || w.mode == model.WorkerLost || w.evacuated {
			continue
		}
		p.lending.classes = extend(p.lending.classes, int(w.class)+1)
		c := &p.lending.classes[w.class]
		c.used = c.used.Add(w.capacity.Sub(w.free))
		c.total = c.total.Add(w.capacity)
	}
}

// mayLend reports whether jobs of g of which nothing runs may be lent reserved workers. A
// service may always: each of its tasks is missing until it runs.
func (p *planner) mayLend(g *group, size model.Resources) bool {
	if !p.lending.any || !size.Fits(p.lending.most) {
		return false
	}
	return g.lasts() || p.mostlyIdle(g.selector)
}

// mostlyIdle reports whether less than half of each resource was in use on the workers that
// a selector matches.
func (p *planner) mostlyIdle(selector int32) bool {
	if p.lending.classes == nil {
		p.countUse()
	}
	if idle, known := p.lending.idle[selector]; known {
		return idle
	}
	var use classUse
	for _, class := range p.s.matching(selector) {
		if int(class) < len(p.lending.classes) {
			c := &p.lending.classes[class]
			use.used, use.total = use.used.Add(c.used), use.total.Add(c.total)
		}
	}
	if p.lending.idle == nil {
		p.lending.idle = map[int32]bool{}
	}
	p.lending.idle[selector] = withinHalf(use.used, use.total)
	return p.lending.idle[selector]
}

// mayBorrow reports whether j may be lent reserved workers.
func (p *planner) mayBorrow(j *job, size model.Resources) bool {
	return (j.assigned == 0 || j.group.lasts()) && p.mayLend(j.group, size)
}

// findBorrowed returns the tightest worker that is lent to j, or noSlot.
func (p *planner) findBorrowed(j *job, size model.Resources) int32 {
	best := noSlot
	if !p.mayBorrow(j, size) {
		return best
	}
	for _, r := range p.s.reservations {
		if r.job == j || !r.advance {
			continue
		}
		for _, c := range r.claims {
			if p.usable(j, c.slot, size) && p.lends(r) && (best == noSlot || p.compareTight(c.slot, best) < 0) {
				best = c.slot
			}
		}
	}
	return best
}

// findBorrowedRacks chooses racks for the ready tasks of a gang, with workers that are lent
// to it; nil if they do not fit.
func (p *planner) findBorrowedRacks(j *job, size model.Resources, permitted permitCheck) []gangRack {
	if !p.mayBorrow(j, size) {
		return nil
	}
	claims := slices.Clone(j.claims())
	for _, r := range p.s.reservations {
		if r.job != j && r.advance {
			claims = append(claims, r.claims...)
		}
	}
	chosen := p.findRacksAmong(j, size, claims, permitted, speed.Slow)
	lent := true
	for i := range chosen {
		for _, at := range p.s.gangWorkers.of(&chosen[i]) {
			r := p.s.workers[at.slot].reservation
			lent = (r == nil || r.job == j || p.lends(r)) && lent
		}
	}
	if !lent {
		return nil
	}
	return chosen
}

// lends reports whether r lends its workers now, since it has kept a job waiting for
// MaxIdleWait.
func (p *planner) lends(r *reservation) bool {
	r.lent = p.keepsWaiting(r)
	return r.lent
}

// keepsWaiting records that r keeps a job waiting, and reports whether it has done so for
// MaxIdleWait.
func (p *planner) keepsWaiting(r *reservation) bool {
	if r.keptSince == 0 {
		r.keptSince = p.now
	}
	r.keptLast = p.now
	due := r.keptSince.Add(p.s.opts.MaxIdleWait)
	if p.now < due {
		p.wakeAt(due)
	}
	return p.now >= due
}

// recordWaiting records that reservations keep j waiting, which has no valid permit. It
// may borrow their workers as soon as it has one.
func (p *planner) recordWaiting(j *job, size model.Resources) {
	if !p.mayBorrow(j, size) {
		return
	}
	for _, r := range p.s.reservations {
		if r.job != j && r.advance && slices.ContainsFunc(r.claims, func(c claim) bool { return p.hasRoom(j, c.slot, size) }) {
			p.keepsWaiting(r)
		}
	}
}

// endLending prepares the reservations for the next plan. Those that have lent workers
// keep them again for MaxIdleWait. A job whose permits are renewed does not wait anew.
func (p *planner) endLending() {
	for _, r := range p.s.reservations {
		if r.lent || p.now.Sub(r.keptLast) > p.s.opts.MaxIdleWait {
			r.keptSince, r.lent = 0, false
		}
	}
}
