package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// backfill is what held workers may be given in one plan. It is worked out as
// the plan begins, so that backfill cannot put a hold off.
type backfill struct {
	holds  []*hold         // whose start is known and to come
	latest model.Time      // of their starts
	most   model.Resources // largest of each component free on their workers
}

func (p *planner) beginBackfill() {
	b := &p.backfill
	for _, h := range p.s.holds {
		start := p.s.holdStart(h, p.now)
		if start <= p.now {
			continue
		}
		b.holds = append(b.holds, h)
		b.latest = max(b.latest, start)
		for _, c := range h.claims {
			b.most = b.most.Max(p.s.workers[c.slot].free)
		}
	}
}

// mayBackfill reports whether tasks of g could find room on held workers.
func (p *planner) mayBackfill(g *group, size model.Resources) bool {
	b := &p.backfill
	if len(b.holds) == 0 || g.run == 0 || g.policy != batch {
		return false
	}
	return size.Fits(b.most) && p.now.Add(g.run) <= b.latest
}

// findBackfill returns the tightest worker that is held for another job and on
// which a task of j would end before the room is needed, or noSlot. It goes by
// learned run times only.
func (p *planner) findBackfill(j *job, size model.Resources) int32 {
	best := noSlot
	if !p.mayBackfill(j.group, size) {
		return best
	}
	for _, h := range p.backfill.holds {
		if h.job == j || p.now.Add(j.group.run) > h.start {
			continue
		}
		for _, c := range h.claims {
			if p.usable(j, c.slot, size) && (best == noSlot || p.compareTight(c.slot, best) < 0) {
				best = c.slot
			}
		}
	}
	return best
}

// holdStart returns when all claims of h are expected to have room, by learned
// run times; zero when that is not known or when they have it already.
func (s *Scheduler) holdStart(h *hold, now model.Time) model.Time {
	if h.known && now <= h.knownUntil && h.knownBy == s.learned.Version() {
		return h.start
	}
	h.known, h.knownBy = true, s.learned.Version()
	h.start, h.knownUntil = 0, maxTime
	size := s.sizeFor(h.job.group)
	for _, c := range h.claims {
		at, until := s.roomAt(c.slot, size.Mul(c.tasks), now)
		h.knownUntil = min(h.knownUntil, until)
		if at == maxTime {
			h.start = 0
			break
		}
		h.start = max(h.start, at)
	}
	return h.start
}

// maxTime is later than any time.
const maxTime model.Time = maxInt64

// roomAt returns when a worker is expected to have need free: zero when it has,
// maxTime when that is not known. The answer holds until the given time.
func (s *Scheduler) roomAt(slot int32, need model.Resources, now model.Time) (at, until model.Time) {
	w := &s.workers[slot]
	free := w.free
	if need.Fits(free) {
		return 0, maxTime
	}
	ends := s.ends(w, now)
	if len(ends) == 0 {
		return maxTime, maxTime
	}
	for _, e := range ends {
		free = free.Add(e.size)
		if need.Fits(free) {
			return e.at, ends[0].at
		}
	}
	return maxTime, maxTime
}

// end is when a held task is expected to end.
type end struct {
	at   model.Time
	size model.Resources
}

// ends returns the expected ends of the tasks of w in order. Tasks of services
// and of classes not learned yet, and those that run longer than learned, are left out.
func (s *Scheduler) ends(w *worker, now model.Time) []end {
	var out []end
	for _, r := range w.tasks {
		t := &r.job.tasks[r.index]
		run := s.learnedRun(r.job.group)
		at := t.since.Add(run)
		if run > 0 && r.job.group.policy != service && at >= now {
			out = append(out, end{at, t.size})
		}
	}
	slices.SortFunc(out, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	return out
}

// learnedRun returns the run time learned for g; zero when none is trusted.
func (s *Scheduler) learnedRun(g *group) time.Duration {
	s.sizeFor(g)
	return g.run
}
