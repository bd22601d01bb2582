package schedule

import (
	"math"

	"github.com/filbertmast/filbertmast/internal/model"
)

// fitKey is all that a search for room on the offered workers depends on.
type fitKey struct {
	selector int32
	size     model.Resources
}

// room remembers how much room the last searches found, for all groups with the
// same key. Workers that gain free capacity or are offered anew undo it.
type fitBound struct {
	fitKey
	maxTasks int64 // tasks that fit on all offered workers together are no more
	groups   int32
	bounded  bool // in rooms.known
}

// unbounded is the maxTasks of a room that was not searched.
const unbounded = math.MaxInt64

// rooms holds the rooms of all groups.
type fitBounds struct {
	byKey      map[fitKey]*fitBound
	bounded    []*fitBound // those with a known bound, and some without
	rolledBack []int32     // workers that the last plan gave work and took it back from
}

// maxRolledBackChecks bounds the work of comparing known rooms with lent workers.
const maxRolledBackChecks = 1 << 15

// move makes key the room of g.
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

// leave drops the room of g.
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

// bound notes that at most n tasks fit.
func (f *fitBounds) lower(b *fitBound, n int64) {
	b.maxTasks = min(b.maxTasks, n)
	if !b.bounded {
		b.bounded = true
		f.bounded = append(f.bounded, b)
	}
}

// gained forgets the bounds that a worker with more free capacity may break.
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

// clearFitBounds forgets all bounds.
func (s *Scheduler) clearFitBounds() {
	for _, b := range s.fitBounds.bounded {
		b.maxTasks = unbounded
		b.bounded = false
	}
	s.fitBounds.bounded = s.fitBounds.bounded[:0]
}

// revalidateFitBounds checks the workers on which the last plan had placed work, in
// case it was not applied.
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

// recordSearch notes that a search for one task found nothing. An exclusive or a
// gated job may have failed for another reason than room.
func (p *planner) recordSearch(j *job, found int32) {
	if found == noSlot && !j.group.exclusive && j.permits == nil {
		p.s.fitBounds.lower(j.group.fit, 0)
	}
}
