package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// site is a worker with room for some tasks of a gang.
type site struct {
	slot  int32
	next  int32 // site of the same rack, or noSite
	tasks int64 // that fit
}

// noSite stands for the absence of a site.
const noSite int32 = -1

// siteRack is a rack with room for some tasks of a gang.
type siteRack struct {
	rack   int32
	domain int32
	region int32
	first  int32 // of its sites
	tasks  int64
	tie    uint64 // least of its workers
}

// sites is where tasks of a gang fit. It is kept from plan to plan, since it is large.
type sites struct {
	all    []site
	racks  []siteRack
	byRack []int32 // position in racks, and one; zero for none
}

func (c *sites) clear(racks int) {
	for i := range c.racks {
		c.byRack[c.racks[i].rack] = 0
	}
	c.all = c.all[:0]
	c.racks = c.racks[:0]
	c.byRack = extend(c.byRack, racks)
}

func (c *sites) add(w *worker, slot int32, tasks int64) {
	at := c.byRack[w.rack]
	if at == 0 {
		c.racks = append(c.racks, siteRack{rack: w.rack, domain: w.domain, region: w.region, first: noSite, tie: w.tie})
		at = int32(len(c.racks))
		c.byRack[w.rack] = at
	}
	r := &c.racks[at-1]
	c.all = append(c.all, site{slot, r.first, tasks})
	r.first = int32(len(c.all) - 1)
	r.tasks += tasks
	r.tie = min(r.tie, w.tie)
}

// of returns the sites of r.
func (c *sites) of(r *siteRack) []site {
	var out []site
	for i := r.first; i != noSite; i = c.all[i].next {
		out = append(out, c.all[i])
	}
	return out
}

// placeGang places all ready tasks of j, or none.
func (p *planner) placeGang(j *job, size model.Resources) bool {
	c := &p.s.sites
	chosen := p.findRacks(j, size)
	if chosen == nil && !j.group.exclusive && j.hold == nil && j.gate == nil {
		p.s.rooms.bound(j.group.room, tasksIn(c.racks))
	}
	if chosen == nil {
		return false
	}
	if len(p.plan.Placements) > 0 && len(p.plan.Placements)+int(j.ready) > p.max {
		p.full = true
		return false
	}
	for i := range chosen {
		p.fillRack(j, size, c.of(&chosen[i]))
	}
	return true
}

// fillRack places tasks of j on the sites of one rack, the tightest first.
func (p *planner) fillRack(j *job, size model.Resources, rack []site) {
	p.sortSites(rack)
	index := j.nextReady(j.next)
	for _, at := range rack {
		for n := at.tasks; n > 0 && j.ready > 0; n-- {
			p.put(j, index, at.slot, size)
			index = j.nextReady(index)
		}
	}
}

// findRacks chooses racks for the ready tasks of j; nil when there is no room.
// Failure domains are searched in an order of the job's own. The first in which
// one rack holds all tasks is taken, since no choice has fewer racks.
func (p *planner) findRacks(j *job, size model.Resources) []siteRack {
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	accept := p.accept(j, exact)
	c := &p.s.sites
	c.clear(len(p.s.racks.byName))
	add := func(slot int32, free model.Resources) {
		if accept == nil || accept(slot) {
			c.add(&p.s.workers[slot], slot, p.siteTasks(j, size, free))
		}
	}
	for _, domain := range p.s.domainsFor(j) {
		from := len(c.racks)
		p.findSites(j, size, domain, bins, add)
		chosen := fewestRacks(slices.Clone(c.racks[from:]), int64(j.ready))
		if len(chosen) == 1 {
			return chosen
		}
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

// findSites adds the workers of one failure domain where tasks of j fit.
func (p *planner) findSites(j *job, size model.Resources, domain int32, bins []int32, add func(int32, model.Resources)) {
	for _, bin := range bins {
		if p.s.bins.keys[bin].domain == domain {
			p.s.free.Each(bin, size, add)
		}
	}
	if j.hold == nil {
		return
	}
	for _, claim := range j.hold.claims {
		w := &p.s.workers[claim.slot]
		if w.domain == domain && p.usable(j, claim.slot, size) {
			add(claim.slot, w.free)
		}
	}
}

// siteTasks returns how many tasks of j fit into free.
func (p *planner) siteTasks(j *job, size, free model.Resources) int64 {
	if j.group.exclusive {
		return 1
	}
	return copies(size, free)
}

// sortSites orders sites from the tightest on.
func (p *planner) sortSites(sites []site) {
	slices.SortFunc(sites, func(a, b site) int {
		return p.compareTight(a.slot, b.slot)
	})
}

// copies returns how many times size fits into free.
func copies(size, free model.Resources) int64 {
	n := int64(maxInt32)
	for _, c := range [...][2]int64{{size.CPU, free.CPU}, {size.Memory, free.Memory}, {size.Accelerators, free.Accelerators}} {
		if c[0] > 0 {
			n = min(n, c[1]/c[0])
		}
	}
	return n
}

func tasksIn(racks []siteRack) (n int64) {
	for i := range racks {
		n += racks[i].tasks
	}
	return n
}

// packRacks chooses racks for n tasks: all in one failure domain if one has
// room, else in one region, else anywhere; of equal choices the one with the
// fewest racks. It returns nil when there is no room.
func packRacks(racks []siteRack, n int64) []siteRack {
	for _, near := range []func(*siteRack) int32{
		func(r *siteRack) int32 { return r.domain },
		func(r *siteRack) int32 { return r.region },
		func(*siteRack) int32 { return 0 },
	} {
		if best := packNear(racks, n, near); best != nil {
			return best
		}
	}
	return nil
}

// packNear packs n tasks into racks that are near each other.
func packNear(racks []siteRack, n int64, near func(*siteRack) int32) []siteRack {
	places := map[int32][]siteRack{}
	for i := range racks {
		at := near(&racks[i])
		places[at] = append(places[at], racks[i])
	}
	var best []siteRack
	for _, place := range places {
		chosen := fewestRacks(place, n)
		if chosen != nil && (best == nil || fewer(chosen, best)) {
			best = chosen
		}
	}
	return best
}

// fewer orders choices of racks; the tie of the first rack decides between equals.
func fewer(a, b []siteRack) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].tie < b[0].tie
}

// fewestRacks takes the roomiest racks, and for the rest the tightest rack
// that holds it; nil when n tasks find no room.
func fewestRacks(racks []siteRack, n int64) []siteRack {
	slices.SortFunc(racks, func(a, b siteRack) int {
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
