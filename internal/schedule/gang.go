package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// gangWorker is a worker on which some tasks of a gang fit.
type gangWorker struct {
	slot  int32
	next  int32 // index of the next worker of the same rack, or noGangWorker
	tasks int64 // number of tasks that fit
}

// noGangWorker marks the end of a list of gangWorkers.
const noGangWorker int32 = -1

// gangRack is a rack in which some tasks of a gang fit.
type gangRack struct {
	rack   int32
	domain int32
	region int32
	first  int32 // index of its first gangWorker
	tasks  int64
	tie    uint64 // least tie of its workers
}

// gangWorkers lists the workers on which tasks of a gang fit. It is kept from plan
// to plan because it is large.
type gangWorkers struct {
	all    []gangWorker
	racks  []gangRack
	byRack []int32 // index in racks plus one; zero if the rack is not listed
}

func (c *gangWorkers) clear(racks int) {
	for i := range c.racks {
		c.byRack[c.racks[i].rack] = 0
	}
	c.all = c.all[:0]
	c.racks = c.racks[:0]
	c.byRack = extend(c.byRack, racks)
}

func (c *gangWorkers) add(w *worker, slot int32, tasks int64) {
	at := c.byRack[w.rack]
	if at == 0 {
		c.racks = append(c.racks, gangRack{rack: w.rack, domain: w.domain, region: w.region, first: noGangWorker, tie: w.tie})
		at = int32(len(c.racks))
		c.byRack[w.rack] = at
	}
	r := &c.racks[at-1]
	c.all = append(c.all, gangWorker{slot, r.first, tasks})
	r.first = int32(len(c.all) - 1)
	r.tasks += tasks
	r.tie = min(r.tie, w.tie)
}

// of returns the workers of r.
func (c *gangWorkers) of(r *gangRack) []gangWorker {
	var out []gangWorker
	for i := r.first; i != noGangWorker; i = c.all[i].next {
		out = append(out, c.all[i])
	}
	return out
}

// placeGang places all ready tasks of j, or none, and reports whether it placed
// them.
func (p *planner) placeGang(j *job, size model.Resources) bool {
	c := &p.s.gangWorkers
	chosen := p.findRacks(j, size, j.claims(), p.permitted)
	if chosen == nil && j.group.perWorker == 0 && j.reservation == nil && j.permits == nil {
		p.s.fitBounds.lower(j.group.fit, tasksIn(c.racks))
	}
	if chosen == nil {
		chosen = p.findFurtherRacks(j, size, tasksIn(c.racks), p.permitted)
	}
	if chosen == nil {
		return false
	}
	if !p.fitsPlan(j) {
		p.full = true
		return false
	}
	for i := range chosen {
		p.fillRack(j, size, c.of(&chosen[i]))
	}
	return true
}

// findFurtherRacks chooses racks for the ready tasks of a gang, found of which fit on the
// available workers and those reserved for it: with workers that are lent to it, or else with
// those that are the last choice. It returns nil if the tasks do not fit.
func (p *planner) findFurtherRacks(j *job, size model.Resources, found int64, permitted permitCheck) []gangRack {
	if chosen := p.findBorrowedRacks(j, size, permitted); chosen != nil {
		return chosen
	}
	return p.findLastRacks(j, size, found, permitted)
}

// fitsPlan reports whether the plan may place all ready tasks of j in addition.
func (p *planner) fitsPlan(j *job) bool {
	return len(p.plan.Placements) == 0 || len(p.plan.Placements)+int(j.ready) <= p.max
}

// fillRack places tasks of j on the workers of one rack, the tightest first.
func (p *planner) fillRack(j *job, size model.Resources, rack []gangWorker) {
	p.sortGangWorkers(rack)
	index := j.nextReady(j.next)
	for _, at := range rack {
		for n := at.tasks; n > 0 && j.ready > 0; n-- {
			p.addPlacement(j, index, at.slot, size)
			index = j.nextReady(index)
		}
	}
}

// findRacks chooses racks for the ready tasks of j; nil if they do not fit. A gang is as slow
// as its slowest member: it gets the workers of the fastest classes that hold all of it, unless
// it would be spread over regions for that alone. A gang that does not fit at all takes one
// search.
func (p *planner) findRacks(j *job, size model.Resources, claims []claim, permitted permitCheck) []gangRack {
	all := p.findRacksAmong(j, size, claims, permitted, speed.Slow)
	if all == nil || !p.s.bins.paced {
		return all
	}
	split := !inOneRegion(all)
	for _, slowest := range [...]speed.Class{speed.Fast, speed.Average} {
		if chosen := p.findRacksAmong(j, size, claims, permitted, slowest); chosen != nil && (split || inOneRegion(chosen)) {
			return chosen
		}
	}
	return p.findRacksAmong(j, size, claims, permitted, speed.Slow)
}

func inOneRegion(racks []gangRack) bool {
	return !slices.ContainsFunc(racks, func(r gangRack) bool { return r.region != racks[0].region })
}

// findRacksAmong chooses racks for the ready tasks of j, without workers of a class below
// slowest; nil if they do not fit.
// Failure domains are searched in an order specific to the job. The first one in
// which a single rack holds all tasks is chosen, since no choice uses fewer racks.
// Reserved workers count if claims list them, and permitted says which workers the
// permits of j allow.
func (p *planner) findRacksAmong(j *job, size model.Resources, claims []claim, permitted permitCheck, slowest speed.Class) []gangRack {
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	if slowest > speed.Slow {
		bins = slices.DeleteFunc(bins, func(bin int32) bool { return p.s.bins.keys[bin].pace < slowest })
		claims = slices.DeleteFunc(slices.Clone(claims), func(c claim) bool { return p.s.workers[c.slot].pace < slowest })
	}
	accept := p.acceptWith(j, exact, permitted)
	c := &p.s.gangWorkers
	c.clear(len(p.s.racks.byName))
	add := func(slot int32, free model.Resources) {
		if accept == nil || accept(slot) {
			c.add(&p.s.workers[slot], slot, j.tasksThatFit(size, free))
		}
	}
	for _, domain := range p.s.domainsFor(j) {
		from := len(c.racks)
		p.findGangWorkers(j, size, domain, bins, claims, permitted, add)
		if tasksIn(c.racks[from:]) < int64(j.ready) {
			continue
		}
		chosen := fewestRacks(slices.Clone(c.racks[from:]), int64(j.ready))
		if len(chosen) == 1 {
			return chosen
		}
	}
	if tasksIn(c.racks) < int64(j.ready) {
		return nil
	}
	return packRacks(c.racks, int64(j.ready))
}

// domainsFor returns all failure domains in an order that differs from job to job.
func (s *Scheduler) domainsFor(j *job) []int32 {
	out := make([]int32, len(s.domainTies))
	keys := make([]uint64, len(out))
	for i := range out {
		out[i] = int32(i)
		keys[i] = s.hash(uint64(j.id), s.domainTies[i])
	}
	slices.SortFunc(out, func(a, b int32) int { return cmp.Compare(keys[a], keys[b]) })
	return out
}

// findGangWorkers calls add for the workers of one failure domain on which tasks
// of j fit.
func (p *planner) findGangWorkers(j *job, size model.Resources, domain int32, bins []int32, claims []claim, permitted permitCheck, add func(int32, model.Resources)) {
	for _, bin := range bins {
		if p.s.bins.keys[bin].domain == domain {
			p.s.free.Each(bin, size, add)
		}
	}
	for _, claim := range claims {
		w := &p.s.workers[claim.slot]
		if w.domain == domain && p.usableWith(j, claim.slot, size, permitted) {
			add(claim.slot, w.free)
		}
	}
}

// tasksThatFit returns how many tasks of j fit into free on a worker without others of j.
func (j *job) tasksThatFit(size, free model.Resources) int64 {
	return perWorker(copies(size, free), j.group.perWorker)
}

// perWorker returns n, but at most the limit of tasks per worker; zero: none.
func perWorker(n int64, limit int32) int64 {
	if limit == 0 {
		return n
	}
	return min(n, int64(limit))
}

// sortGangWorkers orders workers from the tightest to the emptiest, those of a faster class
// first and those on probation last.
func (p *planner) sortGangWorkers(workers []gangWorker) {
	slices.SortFunc(workers, func(a, b gangWorker) int {
		return cmp.Or(
			compareBool(p.s.workers[a.slot].onProbation(), p.s.workers[b.slot].onProbation()),
			cmp.Compare(p.s.workers[b.slot].pace, p.s.workers[a.slot].pace),
			p.compareTight(a.slot, b.slot),
		)
	})
}

// copies returns how many times size fits into free, of which a component may be
// negative.
func copies(size, free model.Resources) int64 {
	if !size.Fits(free) {
		return 0
	}
	n := int64(maxInt32)
	for _, c := range [...][2]int64{{size.CPU, free.CPU}, {size.Memory, free.Memory}, {size.Accelerators, free.Accelerators}} {
		if c[0] > 0 {
			n = min(n, c[1]/c[0])
		}
	}
	return n
}

func tasksIn(racks []gangRack) (n int64) {
	for i := range racks {
		n += racks[i].tasks
	}
	return n
}

// packRacks chooses racks for n tasks: all in one failure domain if they fit
// there, else in one region, else anywhere. Among equal choices it takes the one
// with the fewest racks. It returns nil if the tasks do not fit.
func packRacks(racks []gangRack, n int64) []gangRack {
	for _, locality := range []func(*gangRack) int32{
		func(r *gangRack) int32 { return r.domain },
		func(r *gangRack) int32 { return r.region },
		func(*gangRack) int32 { return 0 },
	} {
		if best := packWithin(racks, n, locality); best != nil {
			return best
		}
	}
	return nil
}

// packWithin packs n tasks into racks with the same locality.
func packWithin(racks []gangRack, n int64, locality func(*gangRack) int32) []gangRack {
	byLocality := map[int32][]gangRack{}
	for i := range racks {
		at := locality(&racks[i])
		byLocality[at] = append(byLocality[at], racks[i])
	}
	var best []gangRack
	for _, local := range byLocality {
		chosen := fewestRacks(local, n)
		if chosen != nil && (best == nil || fewer(chosen, best)) {
			best = chosen
		}
	}
	return best
}

// fewer orders choices by the number of racks; the tie of the first rack decides
// between equals.
func fewer(a, b []gangRack) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].tie < b[0].tie
}

// fewestRacks chooses the racks with the most capacity, and for the remaining
// tasks the tightest rack that holds them. It returns nil if n tasks do not fit.
// It reorders racks.
func fewestRacks(racks []gangRack, n int64) []gangRack {
	slices.SortFunc(racks, func(a, b gangRack) int {
		return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.tie, b.tie))
	})
	for i := range racks {
		if racks[i].tasks < n {
			n -= racks[i].tasks
			continue
		}
		last := i
		for last+1 < len(racks) && racks[last+1].tasks >= n {
			last++
		}
		return append(racks[:i:i], racks[last])
	}
	return nil
}
