package schedule

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/capacity"
)

// noSlot denotes the absence of a worker.
const noSlot int32 = -1

// sizeFor returns the size to reserve for a task of g: the declared size, raised
// to the learned one if that fits on the workers known now and within the limits
// of the team.
func (s *Scheduler) sizeFor(g *group) model.Resources {
	if g.sizeCellVersion != s.cellVersion || g.gang > 0 && g.sizeCountsVersion != s.countsVersion {
		s.updateSize(g)
	}
	return g.taskSize
}

// updateSize updates the task size and the run time of g from those learned for
// its class.
func (s *Scheduler) updateSize(g *group) {
	g.sizeCellVersion, g.sizeCountsVersion = s.cellVersion, s.countsVersion
	before := g.taskSize
	c := s.learned.Class(g.class)
	g.runTime, _ = c.RunTime()
	g.taskSize = c.Size(g.size)
	if g.taskSize != g.size && !s.canFit(g, g.taskSize) {
		g.taskSize = g.size
	}
	if g.fit == nil || g.taskSize != before {
		s.fitBounds.assign(g, fitKey{g.selector, g.taskSize})
		s.markStale(g)
		s.invalidateReservations(g)
	}
}

// noVersion is not a value of cellVersion.
const noVersion = 1<<64 - 1

// learnedChanged makes the groups of a class look up its learned size and run time
// again.
func (s *Scheduler) learnedChanged(class uint64) {
	for _, g := range s.byClass[class] {
		g.sizeCellVersion = noVersion
		s.markStale(g)
	}
}

func (s *Scheduler) canFit(g *group, size model.Resources) bool {
	n := int64(max(g.gang, 1))
	return s.slotsFor(g.selector, size, g.perWorker) >= n && within(size.Mul(n), s.teams[g.team].maxResources)
}

// findBest returns the tightest available worker on which a task of j fits, of those of the
// class of speed that j prefers most, or noSlot.
func (p *planner) findBest(j *job, size model.Resources) int32 {
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	slot := p.bestOf(bins, size, p.accept(j, exact), j.preferred)
	p.recordSearch(j, slot)
	return slot
}

// accept returns the filter for workers on which a task of j may run, or nil if
// all workers of the searched bins qualify.
func (p *planner) accept(j *job, exact bool) func(int32) bool {
	return p.acceptWith(j, exact, p.permitted)
}

// acceptBookable returns the filter of accept for workers that may be booked or reserved,
// though their permit may have expired.
func (p *planner) acceptBookable(j *job, exact bool) func(int32) bool {
	return p.acceptWith(j, exact, p.bookable)
}

// acceptWith returns the filter of accept with the given check for permits.
func (p *planner) acceptWith(j *job, exact bool, permitted permitCheck) func(int32) bool {
	base := p.acceptWithoutPermit(j, exact)
	if j.permits == nil {
		return base
	}
	return func(slot int32) bool {
		return permitted(j, slot) && (base == nil || base(slot))
	}
}

// acceptWithoutPermit returns the filter of accept without the check for permits.
func (p *planner) acceptWithoutPermit(j *job, exact bool) func(int32) bool {
	g := j.group
	if g.perWorker > 0 {
		p.spread.load(p.s, j)
	}
	switch {
	case exact && g.perWorker == 0:
		return nil
	case exact:
		return func(slot int32) bool { return p.spread.onWorker[slot] < g.perWorker }
	case g.perWorker == 0:
		return func(slot int32) bool { return p.s.matches(g.selector, p.s.workers[slot].class) }
	}
	return func(slot int32) bool {
		return p.spread.onWorker[slot] < g.perWorker && p.s.matches(g.selector, p.s.workers[slot].class)
	}
}

// bestOf returns the tightest worker of bins on which size fits and that accept does not refuse,
// of those of the class of speed that is preferred most, or noSlot.
func (p *planner) bestOf(bins []int32, size model.Resources, accept func(int32) bool, preferred preference) int32 {
	if preferred == preferNone || !p.s.bins.paced {
		return p.tightestOf(bins, size, accept, preferNone, 0)
	}
	for rank := range ranks {
		if slot := p.tightestOf(bins, size, accept, preferred, rank); slot != noSlot {
			return slot
		}
	}
	return noSlot
}

// tightestOf returns the tightest worker of those bins whose class of speed has the given rank, on
// which size fits and that accept does not refuse, or noSlot.
func (p *planner) tightestOf(bins []int32, size model.Resources, accept func(int32) bool, preferred preference, rank int) int32 {
	best := noSlot
	var bestKey capacity.Key
	for _, bin := range bins {
		if preferred != preferNone && preferred.rank(p.s.bins.keys[bin].pace) != rank {
			continue
		}
		slot, key, ok := p.s.free.Best(bin, size, accept)
		if ok && (best == noSlot || key.Less(bestKey)) {
			best, bestKey = slot, key
		}
	}
	return best
}

// compareTight orders workers from the tightest to the emptiest.
func (p *planner) compareTight(a, b int32) int {
	ka := capacity.KeyOf(p.s.workers[a].free, p.s.workers[a].tie)
	kb := capacity.KeyOf(p.s.workers[b].free, p.s.workers[b].tie)
	if ka.Less(kb) {
		return -1
	}
	if kb.Less(ka) {
		return 1
	}
	return 0
}

// findSpread returns a worker for a task of a service, or noSlot: in the failure
// domain with the fewest tasks of the service, within that in the rack with the
// fewest, and within that the tightest.
func (p *planner) findSpread(j *job, size model.Resources) int32 {
	p.spread.load(p.s, j)
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	bins = p.fitting(bins, size)
	base := p.accept(j, exact)
	for len(bins) > 0 {
		var now []int32
		now, bins = p.spread.fewest(p.s, bins)
		if slot := p.spreadRacks(now, size, base); slot != noSlot {
			return slot
		}
	}
	p.recordSearch(j, noSlot)
	return noSlot
}

// fitting returns the bins that may contain a worker on which size fits. It reuses
// bins.
func (p *planner) fitting(bins []int32, size model.Resources) []int32 {
	kept := bins[:0]
	for _, bin := range bins {
		if size.Fits(p.s.free.Most(bin)) {
			kept = append(kept, bin)
		}
	}
	return kept
}

// spreadRacks searches bins rack by rack, those with the fewest tasks of the
// service first.
func (p *planner) spreadRacks(bins []int32, size model.Resources, base func(int32) bool) int32 {
	for _, level := range p.spread.levels() {
		accept := func(slot int32) bool {
			return p.spread.onRack[p.s.workers[slot].rack] == level && (base == nil || base(slot))
		}
		if slot := p.bestOf(bins, size, accept, preferNone); slot != noSlot {
			return slot
		}
	}
	return noSlot
}
