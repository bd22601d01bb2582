package schedule

import (
	"strings"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// maxSeparateClasses is the number of label classes that get bins of their own.
// Further classes share bins, and searches in those filter by class.
const maxSeparateClasses = 64

// binKey identifies a bin of the index of free capacity.
type binKey struct {
	class, domain int32
	pace          speed.Class
}

// packed returns k as one number. Each change of a worker looks it up, and a map finds a
// number faster than a struct.
func (k binKey) packed() uint64 {
	return uint64(uint32(k.domain))<<32 | uint64(uint32(k.class))<<8 | uint64(uint8(k.pace))
}

// bins assigns numbers to bins.
type bins struct {
	shared  int32            // class that stands for itself and all higher ones
	ids     map[uint64]int32 // by binKey.packed
	keys    []binKey         // by bin
	byClass [][]int32        // bins of each class, ascending
	paced   bool             // there is a bin for workers of another class of speed than the average
}

func (b *bins) of(class, domain int32, pace speed.Class) int32 {
	key := binKey{min(class, b.shared), domain, pace}
	packed := key.packed()
	if id, ok := b.ids[packed]; ok {
		return id
	}
	if b.ids == nil {
		b.ids = map[uint64]int32{}
	}
	id := int32(len(b.keys))
	b.ids[packed] = id
	b.paced = b.paced || pace != speed.Average
	b.keys = append(b.keys, key)
	for int(key.class) >= len(b.byClass) {
		b.byClass = append(b.byClass, nil)
	}
	b.byClass[key.class] = append(b.byClass[key.class], id)
	return id
}

// shape is a label class with a capacity. A cell has few shapes.
type shape struct {
	class    int32
	capacity model.Resources
}

// mayRun reports whether w may be given tasks now or after it is uncordoned. Such
// workers count when a job is checked for whether it can ever fit.
func (w *worker) mayRun() bool {
	return w.known && (w.mode == model.WorkerOpen || w.mode == model.WorkerCordoned)
}

func (s *Scheduler) countShape(w *worker, n int64) {
	if !w.mayRun() {
		return
	}
	s.countsVersion++
	k := shape{w.class, w.capacity}
	before := len(s.shapes)
	s.shapes[k] += n
	if s.shapes[k] == 0 {
		delete(s.shapes, k)
	}
	if len(s.shapes) != before {
		s.cellVersion++
	}
}

func (s *Scheduler) workerUp(e WorkerUp) {
	slot, ok := s.workerByID[e.Spec.ID]
	if !ok {
		slot = s.newSlot(e.Spec.ID)
	}
	w := &s.workers[slot]
	s.uncount(w)
	reserved := w.capacity.Sub(w.free)
	w.capacity = e.Spec.Capacity
	w.free = w.capacity.Sub(reserved)
	w.labels = e.Spec.Labels
	w.class = s.labels.classOf(w.labels)
	w.domain = s.domains.intern(e.Spec.FailureDomain)
	w.rack = s.racks.intern(e.Spec.FailureDomain + "/" + e.Spec.Rack)
	w.region = s.regions.intern(e.Spec.Region)
	s.addDomainTie(w.domain, e.Spec.FailureDomain)
	s.setEvacuated(slot)
	s.setMode(slot, e.Mode)
	s.count(w)
	s.reindex(slot)
	s.updateReservation(slot)
}

func (s *Scheduler) newSlot(id model.WorkerID) int32 {
	id = model.WorkerID(strings.Clone(string(id)))
	s.slotsVersion++
	var slot int32
	if n := len(s.freeSlots); n > 0 {
		slot = s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
	} else {
		slot = int32(len(s.workers))
		s.workers = append(s.workers, worker{})
	}
	s.workers[slot] = worker{id: id, known: true, mode: model.WorkerLost, tie: s.hashString(string(id)), speed: speed.Normal}
	s.workerByID[id] = slot
	return slot
}

// count adds a worker to the totals of the cell.
func (s *Scheduler) count(w *worker) { s.countBy(w, 1) }

// uncount removes a worker from the totals of the cell.
func (s *Scheduler) uncount(w *worker) { s.countBy(w, -1) }

func (s *Scheduler) countBy(w *worker, n int64) {
	s.countShape(w, n)
	if w.mode == model.WorkerLost {
		return
	}
	if !w.evacuated {
		s.total = s.total.Add(w.capacity.Mul(n))
	}
	if s.workerCount == 0 || s.workerCount+n == 0 {
		s.cellVersion++
	}
	s.workerCount += n
}

func (s *Scheduler) setWorkerMode(e WorkerModeChanged) {
	slot, ok := s.workerByID[e.Worker]
	if !ok {
		return
	}
	w := &s.workers[slot]
	if w.mode == e.Mode {
		return
	}
	s.uncount(w)
	s.setMode(slot, e.Mode)
	s.count(w)
	s.reindex(slot)
}

func (s *Scheduler) setWorkerResponsive(e WorkerResponsivenessChanged) {
	slot, ok := s.workerByID[e.Worker]
	if !ok || s.workers[slot].unresponsive == !e.Responsive {
		return
	}
	s.workers[slot].unresponsive = !e.Responsive
	s.reindex(slot)
}

// setEnding sets the resources of ended tasks that are not free yet.
func (s *Scheduler) setEnding(e EndingChanged) {
	slot, ok := s.workerByID[e.Worker]
	if !ok {
		return
	}
	w := &s.workers[slot]
	free := w.free.Add(w.ending).Sub(e.Size)
	w.ending = e.Size
	s.setFree(slot, free)
}

// setMode changes the mode of a worker. A lost worker counts as responsive and its
// health record is cleared, so that it starts afresh when it returns.
func (s *Scheduler) setMode(slot int32, mode model.WorkerMode) {
	w := &s.workers[slot]
	w.mode = mode
	if mode == model.WorkerLost {
		w.unresponsive = false
		s.clearHealth(w)
	}
	if w.draining() {
		s.draining = append(s.draining, slot)
	}
}

func (s *Scheduler) addDomainTie(domain int32, name string) {
	if int(domain) == len(s.domainTies) {
		s.domainTies = append(s.domainTies, s.hashString(name))
	}
}

// removeWorkers removes a batch of workers and releases the tasks that are still
// assigned to them.
func (s *Scheduler) removeWorkers(ids []model.WorkerID) {
	for _, id := range ids {
		slot, ok := s.workerByID[id]
		if !ok {
			continue
		}
		w := &s.workers[slot]
		for len(w.tasks) > 0 {
			r := w.tasks[len(w.tasks)-1]
			s.release(r.job, r.index)
			if r.job.cancelled {
				s.finish(r.job, r.index)
			}
		}
		s.uncount(w)
		s.clearHealth(w)
		if w.reservation != nil {
			s.dropReservation(w.reservation)
		}
		s.dropBookingsOn(slot)
		s.free.Remove(slot)
		s.slotsVersion++
		delete(s.workerByID, id)
		s.workers[slot] = worker{}
		s.freeSlots = append(s.freeSlots, slot)
	}
}

// setFree sets the free resources of a worker.
func (s *Scheduler) setFree(slot int32, free model.Resources) {
	w := &s.workers[slot]
	grew := !free.Fits(w.free)
	w.free = free
	w.invalidateReservation()
	s.updateIndex(slot)
	if grew && !s.rollingBack {
		s.invalidateFitBounds(slot)
	}
}

// reindex updates the index of free capacity after any change of a worker beyond
// that of its assigned tasks, and resets the bounds that the change may
// invalidate.
func (s *Scheduler) reindex(slot int32) {
	s.updateIndex(slot)
	s.invalidateFitBounds(slot)
}

// updateIndex puts an available worker into the index of free capacity and removes
// any other one from it.
func (s *Scheduler) updateIndex(slot int32) {
	w := &s.workers[slot]
	if !w.available() {
		s.free.Remove(slot)
		return
	}
	s.free.Put(slot, s.bins.of(w.class, w.domain, w.pace), w.free, w.tie)
}

// binsFor appends to out the bins that may contain workers matching a selector.
// exact reports whether every worker of these bins matches.
func (s *Scheduler) binsFor(out []int32, selector int32) (found []int32, exact bool) {
	exact = true
	last := int32(-1)
	for _, class := range s.matching(selector) {
		class = min(class, s.bins.shared)
		if class == last || int(class) >= len(s.bins.byClass) {
			continue
		}
		last = class
		exact = exact && class != s.bins.shared
		out = append(out, s.bins.byClass[class]...)
	}
	return out, exact
}
