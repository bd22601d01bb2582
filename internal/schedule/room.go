package schedule

import (
	"math"

	"github.com/filbertmast/filbertmast/internal/model"
)

// roomKey is all that a search for room on the offered workers depends on.
type roomKey struct {
	selector int32
	size     model.Resources
}

// room remembers how much room the last searches found, for all groups with the
// same key. Workers that gain free capacity or are offered anew undo it.
type room struct {
	roomKey
	atMost int64 // tasks that fit on all offered workers together are no more
	groups int32
	listed bool // in rooms.known
}

// unknownRoom is the atMost of a room that was not searched.
const unknownRoom = math.MaxInt64

// rooms holds the rooms of all groups.
type rooms struct {
	byKey map[roomKey]*room
	known []*room // those with a known bound, and some without
	lent  []int32 // workers that the last plan gave work and took it back from
}

// maxLentChecks bounds the work of comparing known rooms with lent workers.
const maxLentChecks = 1 << 15

// move makes key the room of g.
func (r *rooms) move(g *group, key roomKey) {
	if g.room != nil && g.room.roomKey == key {
		return
	}
	r.leave(g)
	if r.byKey == nil {
		r.byKey = map[roomKey]*room{}
	}
	at := r.byKey[key]
	if at == nil {
		at = &room{roomKey: key, atMost: unknownRoom}
		r.byKey[key] = at
	}
	at.groups++
	g.room = at
}

// leave drops the room of g.
func (r *rooms) leave(g *group) {
	if g.room == nil {
		return
	}
	g.room.groups--
	if g.room.groups == 0 {
		delete(r.byKey, g.room.roomKey)
	}
	g.room = nil
}

// bound notes that at most n tasks fit.
func (r *rooms) bound(at *room, n int64) {
	at.atMost = min(at.atMost, n)
	if !at.listed {
		at.listed = true
		r.known = append(r.known, at)
	}
}

// gained forgets the bounds that a worker with more free capacity may break.
func (s *Scheduler) gained(slot int32) {
	w := &s.workers[slot]
	if !w.open() {
		return
	}
	known := s.rooms.known[:0]
	for _, at := range s.rooms.known {
		if at.groups > 0 && !(at.size.Fits(w.free) && s.matches(at.selector, w.class)) {
			known = append(known, at)
			continue
		}
		at.atMost = unknownRoom
		at.listed = false
	}
	s.rooms.known = known
}

// forgetRooms forgets all bounds.
func (s *Scheduler) forgetRooms() {
	for _, at := range s.rooms.known {
		at.atMost = unknownRoom
		at.listed = false
	}
	s.rooms.known = s.rooms.known[:0]
}

// settleRooms checks the workers on which the last plan had placed work, in
// case it was not applied.
func (s *Scheduler) settleRooms() {
	if len(s.rooms.lent)*len(s.rooms.known) > maxLentChecks {
		s.forgetRooms()
	}
	for _, slot := range s.rooms.lent {
		if s.workers[slot].known {
			s.gained(slot)
		}
	}
	s.rooms.lent = s.rooms.lent[:0]
}

// noteSearch notes that a search for one task found nothing. An exclusive or a
// gated job may have failed for another reason than room.
func (p *planner) noteSearch(j *job, found int32) {
	if found == noSlot && !j.group.exclusive && j.gate == nil {
		p.s.rooms.bound(j.group.room, 0)
	}
}
