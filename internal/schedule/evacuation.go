package schedule

import (
	"github.com/filbertmast/filbertmast/internal/model"
)

// EvacuationChanged records whether a failure domain is evacuated. The workers of an
// evacuated domain are given no tasks and contribute no capacity; what runs there goes on.
type EvacuationChanged struct {
	Domain    string
	Evacuated bool
}

func (EvacuationChanged) isEvent() {}

// setEvacuation begins or ends the evacuation of a failure domain.
func (s *Scheduler) setEvacuation(e EvacuationChanged) {
	domain := s.domains.intern(e.Domain)
	s.addDomainTie(domain, e.Domain)
	if e.Evacuated == s.evacuated[domain] {
		return
	}
	if e.Evacuated {
		if s.evacuated == nil {
			s.evacuated = map[int32]bool{}
		}
		s.evacuated[domain] = true
	} else {
		delete(s.evacuated, domain)
	}
	for slot := range s.workers {
		if w := &s.workers[slot]; w.known && w.domain == domain {
			s.uncount(w)
			s.setEvacuated(int32(slot))
			s.count(w)
			s.reindex(int32(slot))
		}
	}
}

// setEvacuated records whether the failure domain of a worker is evacuated. An evacuated
// worker is neither reserved nor booked. The caller updates the totals and the index.
func (s *Scheduler) setEvacuated(slot int32) {
	w := &s.workers[slot]
	w.evacuated = s.evacuated[w.domain]
	if !w.evacuated {
		return
	}
	if w.reservation != nil {
		s.dropReservation(w.reservation)
	}
	s.dropBookingsOn(slot)
	s.draining = append(s.draining, slot)
}

// inUse returns what is reserved on the workers that contribute capacity.
func (s *Scheduler) inUse() model.Resources {
	sum := s.reserved
	if len(s.evacuated) == 0 {
		return sum
	}
	for i := range s.workers {
		if w := &s.workers[i]; w.known && w.evacuated {
			sum = sum.Sub(w.capacity.Sub(w.free).Sub(w.ending))
		}
	}
	return sum
}
