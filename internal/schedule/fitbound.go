package schedule

import (
	"math"

	"github.com/filbertmast/filbertmast/internal/model"
)

// fitKey is all that a search for free capacity on the available workers depends
// on.
type fitKey struct {
	selector int32
	size     model.Resources
}

// fitBound caches an upper bound on how many tasks fit, found by earlier searches,
// for all groups with the same key. It is reset when a matching worker gains free
// capacity or becomes available.
type fitBound struct {
	fitKey
	maxTasks int64 // upper bound on the tasks that fit on all available workers together
	groups   int32
	bounded  bool // in fitBounds.bounded
}

// unbounded is the maxTasks of a fitBound that no search has lowered.
const unbounded = math.MaxInt64

// fitBounds holds the fitBound of every group.
type fitBounds struct {
	byKey      map[fitKey]*fitBound
	bounded    []*fitBound // all with a known bound, and possibly some without
	rolledBack []int32     // workers on which the last plan placed tasks before it was rolled back
}

// maxRolledBackChecks limits the number of comparisons of rolled-back workers with
// bounds, beyond which all bounds are reset instead.
const maxRolledBackChecks = 1 << 15

// assign makes the fitBound with the given key that of g.
func (f *fitBounds) assign(g *group, key fitKey) {
	if g.fit != nil && g.fit.fitKey == key {
		return
	}
	f.release(g)
	if f.byKey == nil {
		f.byKey = map[fitKey]*fitBound{}
	}
	b := f.byKey[key]
	if b == nil {
		b = &fitBound{fitKey: key, maxTasks: unbounded}
		f.byKey[key] = b
	}
	b.groups++
	g.fit = b
}

// release removes g from its fitBound, which is deleted when no group is left.
func (f *fitBounds) release(g *group) {
	if g.fit == nil {
		return
	}
	g.fit.groups--
	if g.fit.groups == 0 {
		delete(f.byKey, g.fit.fitKey)
	}
	g.fit = nil
}

// lower records that at most n tasks fit.
func (f *fitBounds) lower(b *fitBound, n int64) {
	b.maxTasks = min(b.maxTasks, n)
	if !b.bounded {
		b.bounded = true
		f.bounded = append(f.bounded, b)
	}
}

// invalidateFitBounds resets the bounds that may no longer apply since a worker
// has gained free capacity.
func (s *Scheduler) invalidateFitBounds(slot int32) {
	w := &s.workers[slot]
	if !w.open() {
		return
	}
	bounded := s.fitBounds.bounded[:0]
	for _, b := range s.fitBounds.bounded {
		if b.groups > 0 && !(b.size.Fits(w.free) && s.matches(b.selector, w.class)) {
			bounded = append(bounded, b)
			continue
		}
		b.maxTasks = unbounded
		b.bounded = false
	}
	s.fitBounds.bounded = bounded
}

// clearFitBounds resets all bounds.
func (s *Scheduler) clearFitBounds() {
	for _, b := range s.fitBounds.bounded {
		b.maxTasks = unbounded
		b.bounded = false
	}
	s.fitBounds.bounded = s.fitBounds.bounded[:0]
}

// revalidateFitBounds checks the bounds against the workers on which the last plan
// placed tasks, in case that plan was not applied.
func (s *Scheduler) revalidateFitBounds() {
	if len(s.fitBounds.rolledBack)*len(s.fitBounds.bounded) > maxRolledBackChecks {
		s.clearFitBounds()
	}
	for _, slot := range s.fitBounds.rolledBack {
		if s.workers[slot].known {
			s.invalidateFitBounds(slot)
		}
	}
	s.fitBounds.rolledBack = s.fitBounds.rolledBack[:0]
}

// recordSearch records the result of a search for one task. When nothing was
// found, no task fits; but for a job with a limit per worker or one that needs permits, the
// cause may be other than a lack of free capacity.
func (p *planner) recordSearch(j *job, found int32) {
	if found == noSlot && j.group.perWorker == 0 && j.permits == nil {
		p.s.fitBounds.lower(j.group.fit, 0)
	}
}
