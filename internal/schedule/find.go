package schedule

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule/capacity"
)

// noSlot stands for the absence of a worker.
const noSlot int32 = -1

// sizeFor returns what a task of g reserves: the declared size, raised to what
// was learned if the workers known now can hold that.
func (s *Scheduler) sizeFor(g *group) model.Resources {
	if g.sizedAt != s.change || g.gang > 0 && g.sizedCounts != s.counts {
		s.consultLearned(g)
	}
	return g.sized
}

// consultLearned brings what g takes from its class up to date.
func (s *Scheduler) consultLearned(g *group) {
	g.sizedAt, g.sizedCounts = s.change, s.counts
	before := g.sized
	c := s.learned.Class(g.class)
	g.run, _ = c.Run()
	g.sized = c.Size(g.size)
	if g.sized != g.size && !s.canHold(g, g.sized) {
		g.sized = g.size
	}
	if g.room == nil || g.sized != before {
		s.rooms.move(g, roomKey{g.selector, g.sized})
		s.stale(g)
		s.staleHolds(g)
	}
}

// noChange is no change of the cell.
const noChange = 1<<64 - 1

// learnedAnew has the groups of a class take in its new answers.
func (s *Scheduler) learnedAnew(class uint64) {
	for _, g := range s.byClass[class] {
		g.sizedAt = noChange
		s.stale(g)
	}
}

func (s *Scheduler) canHold(g *group, size model.Resources) bool {
	n := int64(max(g.gang, 1))
	return s.slotsFor(g.selector, size, g.exclusive) >= n && within(size.Mul(n), s.teams[g.team].maxResources)
}

// findBest returns the tightest worker into which a task of j fits.
func (p *planner) findBest(j *job, size model.Resources) int32 {
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	slot := p.bestOf(bins, size, p.accept(j, exact))
	p.noteSearch(j, slot)
	return slot
}

// accept returns the filter for workers that a task of j may use, nil when all
// of the searched bins will do.
func (p *planner) accept(j *job, exact bool) func(int32) bool {
	base := p.acceptOpen(j, exact)
	if j.gate == nil {
		return base
	}
	return func(slot int32) bool {
		return p.permitted(j, slot) && (base == nil || base(slot))
	}
}

// acceptOpen is accept for a job that needs no permit.
func (p *planner) acceptOpen(j *job, exact bool) func(int32) bool {
	g := j.group
	if g.exclusive {
		p.spread.load(p.s, j)
	}
	switch {
	case exact && !g.exclusive:
		return nil
	case exact:
		return func(slot int32) bool { return !p.spread.onWorker[slot] }
	case !g.exclusive:
		return func(slot int32) bool { return p.s.matches(g.selector, p.s.workers[slot].class) }
	}
	return func(slot int32) bool {
		return !p.spread.onWorker[slot] && p.s.matches(g.selector, p.s.workers[slot].class)
	}
}

func (p *planner) bestOf(bins []int32, size model.Resources, accept func(int32) bool) int32 {
	best := noSlot
	var bestKey capacity.Key
	for _, bin := range bins {
		slot, key, ok := p.s.free.Best(bin, size, accept)
		if ok && (best == noSlot || key.Less(bestKey)) {
			best, bestKey = slot, key
		}
	}
	return best
}

// compareTight orders workers from the tightest on.
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

// findSpread returns a worker for a task of a service: in the failure domain
// with the fewest of its tasks, there in the rack with the fewest, and there the
// tightest.
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
	p.noteSearch(j, noSlot)
	return noSlot
}

// fitting keeps the bins that may have room for size.
func (p *planner) fitting(bins []int32, size model.Resources) []int32 {
	kept := bins[:0]
	for _, bin := range bins {
		if size.Fits(p.s.free.Most(bin)) {
			kept = append(kept, bin)
		}
	}
	return kept
}

// spreadRacks searches bins rack by rack, those with the fewest tasks first.
func (p *planner) spreadRacks(bins []int32, size model.Resources, base func(int32) bool) int32 {
	for _, level := range p.spread.levels() {
		accept := func(slot int32) bool {
			return p.spread.onRack[p.s.workers[slot].rack] == level && (base == nil || base(slot))
		}
		if slot := p.bestOf(bins, size, accept); slot != noSlot {
			return slot
		}
	}
	return noSlot
}
