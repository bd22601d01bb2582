package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// yieldSlack is the time to its promised start that a job must have left to be
// stopped for another: room is to be found for it again, in time.
const yieldSlack = 2 * time.Second

// yields reports whether tasks of v may be stopped for a gang where no work is
// lost by it: they save what they have done, and can still be in time. Gangs do
// not, since all of a gang would have to stop.
func (p *planner) yields(v *job) bool {
	g := v.group
	return g.policy == batch && g.checkpoint && g.repeatable && v.startBy >= p.now.Add(yieldSlack)
}

// readySite is a worker that could be made ready for tasks of a gang at once.
type readySite struct {
	slot  int32
	now   int64 // tasks that fit without stopping any
	tasks int64 // that fit once what yields there has stopped
}

// coverReady claims workers that have room for need tasks of j once what yields
// there has been stopped, those with most room first; nil if they never have. It
// answers a cell that is full of small patient work, in which no worker is ever
// empty enough for the large tasks of a gang.
func (p *planner) coverReady(j *job, size model.Resources, need int64) []claim {
	bins, exact := p.s.binsFor(nil, j.group.selector)
	accept := p.accept(j, exact)
	var sites []readySite
	for _, bin := range bins {
		left := maxWorkersWeighed
		p.s.free.Descend(bin, func(slot int32, _ model.Resources) bool {
			if accept == nil || accept(slot) {
				sites = append(sites, p.readySite(j, size, slot))
			}
			left--
			return left > 0
		})
	}
	slices.SortFunc(sites, func(a, b readySite) int {
		return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.tasks, a.tasks), p.compareTight(b.slot, a.slot))
	})
	var out []claim
	for _, at := range sites {
		n := min(at.tasks, need)
		if n <= 0 {
			continue
		}
		out = append(out, claim{at.slot, n})
		need -= n
		if need == 0 {
			return out
		}
	}
	return nil
}

func (p *planner) readySite(j *job, size model.Resources, slot int32) readySite {
	w := &p.s.workers[slot]
	most := int64(maxInt32)
	if j.group.exclusive {
		most = 1
	}
	at := readySite{slot: slot, now: min(copies(size, w.free), most)}
	free := w.free
	for _, r := range w.tasks {
		if p.stopped(r) || r.task().state.stoppable() && p.yields(r.job) {
			free = free.Add(r.task().size)
		}
	}
	at.tasks = min(copies(size, free), most)
	return at
}
