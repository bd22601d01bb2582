package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// permitSet holds the workers on which a job may be placed, as permitted by a
// policy service outside the cell.
type permitSet struct {
	until   map[model.WorkerID]model.Time
	refused map[model.WorkerID]bool // workers whose permit is not renewed
	latest  model.Time              // latest end of a permit

	slots        []int32 // of the workers in until that are known, in no order
	slotsVersion uint64  // Scheduler.slotsVersion for which slots was determined
}

// permittedSlots returns the slots of the workers that a set has permits for, in no order.
func (s *Scheduler) permittedSlots(g *permitSet) []int32 {
	if g.slotsVersion == s.slotsVersion {
		return g.slots
	}
	g.slots, g.slotsVersion = g.slots[:0], s.slotsVersion
	for id := range g.until {
		if slot, known := s.workerByID[id]; known {
			g.slots = append(g.slots, slot)
		}
	}
	return g.slots
}

func newPermitSet(gated bool) *permitSet {
	if !gated {
		return nil
	}
	return &permitSet{}
}

// valid reports whether the set permits a worker at now. A nil set permits every
// worker.
func (g *permitSet) valid(worker model.WorkerID, now model.Time) bool {
	return g == nil || now < g.until[worker]
}

// PermitRenewal is how long an expired permit counts as one that is being renewed.
const PermitRenewal = 30 * time.Second

// allowed reports whether the set has a permit for a worker that is valid at now or may
// still be renewed. A nil set allows every worker.
func (g *permitSet) allowed(worker model.WorkerID, now model.Time) bool {
	return g == nil || now < g.renewableUntil(worker)
}

// renewableUntil returns when a permit for a worker no longer counts as one that is being
// renewed; zero if there is none.
func (g *permitSet) renewableUntil(worker model.WorkerID) model.Time {
	until, ok := g.until[worker]
	if !ok || g.refused[worker] {
		return until
	}
	return until.Add(PermitRenewal)
}

// known reports whether the set has permits, expired ones included.
func (g *permitSet) known() bool { return len(g.until) > 0 }

// setPermits replaces the permits of a job that needs them.
func (s *Scheduler) setPermits(e JobPermitsChanged) {
	j := s.jobs[e.ID]
	if j == nil || j.permits == nil {
		return
	}
	g := &permitSet{until: make(map[model.WorkerID]model.Time, len(e.Permits)), refused: map[model.WorkerID]bool{}}
	for _, p := range e.Permits {
		g.until[p.Worker] = p.Until
		if p.Refused {
			g.refused[p.Worker] = true
		}
		g.latest = max(g.latest, p.Until)
	}
	j.permits = g
	j.bookAfter = 0
	s.markStale(j.group)
}

// setPermitNeed changes whether a job needs permits.
func (s *Scheduler) setPermitNeed(e JobPermitNeedChanged) {
	j := s.jobs[e.ID]
	if j == nil || (j.permits != nil) == e.NeedsPermit {
		return
	}
	j.permits = newPermitSet(e.NeedsPermit)
	s.markStale(j.group)
}

// mayPlace reports whether j needs no permit or has one that has not expired.
func (p *planner) mayPlace(j *job) bool { return j.permits == nil || p.now < j.permits.latest }

// permitCheck reports whether the permits of a job allow a worker.
type permitCheck func(j *job, slot int32) bool

// permitted reports whether j may be placed on a worker now.
func (p *planner) permitted(j *job, slot int32) bool {
	return j.permits.valid(p.s.workers[slot].id, p.now)
}

// allowed reports whether j has a permit for a worker, or had one lately, so that the
// worker may be reserved for j.
func (p *planner) allowed(j *job, slot int32) bool {
	return j.permits.allowed(p.s.workers[slot].id, p.now)
}

// Candidate is a worker on which tasks of a job may run, now or later.
type Candidate struct {
	Worker       model.WorkerID
	Room         int64 // number of tasks of the job that fit into its free capacity
	RoomWhenIdle int64 // number of tasks of the job that fit into its whole capacity
	FreeCPU      int64 // in thousandths of a core
	Reserved     bool  // reserved for the job
	Rank         int   // by the speed that the job prefers; a lower one is better
}

// Candidates returns the open and responsive workers that match the selectors of a
// job and are large enough for one of its tasks, in no order. A worker that is reserved for
// another job, and may not be lent, has no room, nor has one that is the last choice, unless the
// job needs it. It returns nil if the job is unknown.
// The result is valid until the next call.
func (s *Scheduler) Candidates(id model.JobID) []Candidate {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	var placed spread
	if j.group.perWorker > 0 {
		placed.load(s, j)
	}
	size := s.sizeFor(j.group)
	classes := s.matching(j.group.selector)
	p := planner{s: s}
	p.beginLending()
	borrows := p.mayBorrow(j, size)
	isolated, probation := s.lastResorts(j, size)
	out := s.candidates[:0]
	for slot := range s.workers {
		w := &s.workers[slot]
		if !w.open() || !j.group.size.Fits(w.capacity) {
			continue
		}
		if _, ok := slices.BinarySearch(classes, w.class); !ok {
			continue
		}
		c := Candidate{
			Worker:       w.id,
			RoomWhenIdle: j.tasksThatFit(size, w.capacity),
			FreeCPU:      w.free.CPU,
			Rank:         j.preferred.rank(w.pace),
			Reserved:     w.reservation != nil && w.reservation.job == j,
		}
		free := s.freeFor(j, int32(slot))
		room := j.tasksThatFit(size, free)
		if j.group.perWorker > 0 {
			room = min(room, int64(j.group.perWorker-placed.onWorker[slot]))
		}
		usable := w.available() || borrows && w.reservedInAdvance() || probation && w.onProbation() || isolated && w.isolatedFor.job != nil
		if room > 0 && (c.Reserved || usable) {
			c.Room = room
		}
		out = append(out, c)
	}
	s.candidates = out
	return out
}
