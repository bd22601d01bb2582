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
	rack   int32
	domain int32
	region int32
	tasks  int64
	tie    uint64 // least of its workers
	sites  []site // from the tightest on
}

// placeGang places all ready tasks of j, or none.
func (p *planner) placeGang(j *job, size model.Resources) bool {
	if len(p.plan.Placements) > 0 && len(p.plan.Placements)+int(j.ready) > p.max {
		p.full = true
		return false
	}
	racks := p.sites(j, size)
	chosen := packRacks(racks, int64(j.ready))
	if chosen == nil {
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
	for _, bin := range bins {
		p.s.free.Each(bin, size, func(slot int32, free model.Resources) {
			if accept != nil && !accept(slot) {
				return
			}
			n := copies(size, free)
			if j.group.exclusive {
				n = 1
			}
			w := &p.s.workers[slot]
			i, ok := at[w.rack]
			if !ok {
				i = len(racks)
				at[w.rack] = i
				racks = append(racks, siteRack{rack: w.rack, domain: w.domain, region: w.region, tie: w.tie})
			}
			r := &racks[i]
			r.tasks += n
			r.tie = min(r.tie, w.tie)
			r.sites = append(r.sites, site{slot, n})
		})
	}
	for i := range racks {
		p.sortSites(racks[i].sites)
	}
	return racks
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
