package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// site is a worker with room for some tasks of a gang.
type site struct {
	slot  int32
	tasks int64 // that fit
}

// siteRack is a rack with room for some tasks of a gang.
type siteRack struct {
	domain int32
	region int32
	tasks  int64
	tie    uint64 // least of its workers
	sites  []site // from the tightest on
}

// placeGang places all ready tasks of j, or none.
func (p *planner) placeGang(j *job, size model.Resources) bool {
	racks := p.sites(j, size)
	chosen := packRacks(racks, int64(j.ready))
	if chosen == nil && !j.group.exclusive && j.hold == nil {
		p.s.rooms.bound(j.group.room, tasksIn(racks))
	}
	if chosen == nil {
		return false
	}
	if len(p.plan.Placements) > 0 && len(p.plan.Placements)+int(j.ready) > p.max {
		p.full = true
		return false
	}
	index := j.nextReady(j.next)
	for _, r := range chosen {
		for _, site := range r.sites {
			for n := site.tasks; n > 0 && j.ready > 0; n-- {
				p.put(j, index, site.slot, size)
				index = j.nextReady(index)
			}
		}
	}
	return true
}

// sites returns the racks where tasks of j fit.
func (p *planner) sites(j *job, size model.Resources) []siteRack {
	bins, exact := p.s.binsFor(p.bins[:0], j.group.selector)
	p.bins = bins
	accept := p.accept(j, exact)
	var racks []siteRack
	at := map[int32]int{}
	add := func(slot int32, free model.Resources) {
		if accept != nil && !accept(slot) {
			return
		}
		w := &p.s.workers[slot]
		i, ok := at[w.rack]
		if !ok {
			i = len(racks)
			at[w.rack] = i
			racks = append(racks, siteRack{domain: w.domain, region: w.region, tie: w.tie})
		}
		racks[i].add(site{slot, p.siteTasks(j, size, free)}, w.tie)
	}
	for _, bin := range bins {
		p.s.free.Each(bin, size, add)
	}
	if j.hold != nil {
		for _, c := range j.hold.claims {
			if p.usable(j, c.slot, size) {
				add(c.slot, p.s.workers[c.slot].free)
			}
		}
	}
	for i := range racks {
		p.sortSites(racks[i].sites)
	}
	return racks
}

// siteTasks returns how many tasks of j fit into free.
func (p *planner) siteTasks(j *job, size, free model.Resources) int64 {
	if j.group.exclusive {
		return 1
	}
	return copies(size, free)
}

func (r *siteRack) add(s site, tie uint64) {
	r.tasks += s.tasks
	r.tie = min(r.tie, tie)
	r.sites = append(r.sites, s)
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
