package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// backfill holds the reservations whose workers may be given other tasks in one
// plan. It is determined when the plan begins, so that backfill cannot delay a
// reservation.
type backfill struct {
	reservations []*reservation  // those with a known start in the future
	latest       model.Time      // latest of their starts
	most         model.Resources // largest free amount of each component on their workers
	fastest      int64           // speed of the fastest of their workers
}

func (p *planner) beginBackfill() {
	b := &p.backfill
	for _, r := range p.s.reservations {
		start := p.s.reservationStart(r, p.now)
		if start <= p.now {
			continue
		}
		b.reservations = append(b.reservations, r)
		b.latest = max(b.latest, start)
		for _, c := range r.claims {
			b.most = b.most.Max(p.s.workers[c.slot].free)
			b.fastest = max(b.fastest, p.s.workers[c.slot].speed)
		}
	}
}

// mayBackfill reports whether tasks of g could fit on reserved workers.
func (p *planner) mayBackfill(g *group, size model.Resources) bool {
	b := &p.backfill
	if len(b.reservations) == 0 || g.runTime == 0 || g.policy != batch {
		return false
	}
	return size.Fits(b.most) && p.now.Add(speed.Scale(g.runTime, b.fastest)) <= b.latest
}

// findBackfill returns the tightest worker that is reserved for another job and on
// which a task of j would end before the reservation starts, or noSlot. It relies
// on learned run times only.
func (p *planner) findBackfill(j *job, size model.Resources) int32 {
	best := noSlot
	if !p.mayBackfill(j.group, size) {
		return best
	}
	for _, r := range p.backfill.reservations {
		if r.job == j {
			continue
		}
		for _, c := range r.claims {
			if p.now.Add(speed.Scale(j.group.runTime, p.s.workers[c.slot].speed)) > r.start {
				continue
			}
			if p.usable(j, c.slot, size) && (best == noSlot || p.compareTight(c.slot, best) < 0) {
				best = c.slot
			}
		}
	}
	return best
}

// reservationStart returns when all claims of r are expected to have enough free
// capacity, by learned run times. It returns zero if that is unknown or if they
// have it now.
func (s *Scheduler) reservationStart(r *reservation, now model.Time) model.Time {
	if r.startKnown && now <= r.startValidUntil && r.startVersion == s.learned.Version() {
		return r.start
	}
	r.startKnown, r.startVersion = true, s.learned.Version()
	r.start, r.startValidUntil = 0, maxTime
	size := s.sizeFor(r.job.group)
	for _, c := range r.claims {
		at, until := s.expectedFreeAt(c.slot, size.Mul(c.tasks), now)
		r.startValidUntil = min(r.startValidUntil, until)
		if at == maxTime {
			r.start = 0
			break
		}
		r.start = max(r.start, at)
	}
	return r.start
}

// maxTime is later than any time.
const maxTime model.Time = maxInt64

// expectedFreeAt returns when a worker is expected to have need free: zero if it
// has it now, maxTime if that is unknown. The result is valid until the second
// time returned.
func (s *Scheduler) expectedFreeAt(slot int32, need model.Resources, now model.Time) (at, until model.Time) {
	w := &s.workers[slot]
	free := w.free
	if need.Fits(free) {
		return 0, maxTime
	}
	ends := s.expectedEnds(w, now)
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

// expectedEnd is when an assigned task is expected to end.
type expectedEnd struct {
	at   model.Time
	size model.Resources
}

// expectedEnds returns the expected ends of the tasks of w in order of time. It
// leaves out tasks of services and those whose end is unknown.
func (s *Scheduler) expectedEnds(w *worker, now model.Time) []expectedEnd {
	var out []expectedEnd
	for _, r := range w.tasks {
		if at := s.expectedEndOf(r.job, r.task(), now); at != 0 && !r.job.group.lasts() {
			out = append(out, expectedEnd{at, r.task().size})
		}
	}
	slices.SortFunc(out, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	return out
}

// expectedEndOf returns when an assigned task is expected to end. It returns zero if that is
// unknown: its class has no learned run time, or it already runs for longer.
func (s *Scheduler) expectedEndOf(j *job, t *task, now model.Time) model.Time {
	run := speed.Scale(s.learnedRunTime(j.group), s.workers[t.worker].speed)
	if at := t.since.Add(run); run > 0 && at >= now {
		return at
	}
	return 0
}

// learnedRunTime returns the learned run time of g at normal speed, or zero if there are too few
// observations.
func (s *Scheduler) learnedRunTime(g *group) time.Duration {
	s.sizeFor(g)
	return g.runTime
}
