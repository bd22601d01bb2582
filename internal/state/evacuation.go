package state

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// SetEvacuation begins or ends the evacuation of a failure domain. While it lasts, no task
// is placed on the workers of the domain, and its executors get no new requests.
type SetEvacuation struct {
	Domain    string `cbor:"1,keyasint"`
	Evacuated bool   `cbor:"2,keyasint,omitempty"`
}

// Evacuation is a failure domain that is being evacuated.
type Evacuation struct {
	Domain string     `cbor:"1,keyasint"`
	Since  model.Time `cbor:"2,keyasint"`
}

// EvacuationChanged reports that the evacuation of a failure domain has begun or ended.
type EvacuationChanged struct {
	Domain    string
	Evacuated bool
	At        model.Time // when it began or ended
}

func (EvacuationChanged) isEvent() {}

// setEvacuation begins or ends an evacuation. A repeated call changes nothing.
func (m *Machine) setEvacuation(c *SetEvacuation) Result {
	i, evacuated := m.findEvacuation(c.Domain)
	switch {
	case evacuated == c.Evacuated:
		return Result{Existing: true}
	case c.Evacuated:
		m.evacuations = slices.Insert(m.evacuations, i, Evacuation{Domain: c.Domain, Since: m.now})
	default:
		m.evacuations = slices.Delete(m.evacuations, i, i+1)
	}
	m.emit(EvacuationChanged{Domain: c.Domain, Evacuated: c.Evacuated, At: m.now})
	for _, w := range m.workers.list {
		if w != nil && w.Spec.FailureDomain == c.Domain && w.Mode != model.WorkerLost {
			m.reportExecutors(w)
		}
	}
	return Result{}
}

// findEvacuation returns the index of a domain in the sorted list of evacuations, or the
// index to insert it at, and whether it is evacuated.
func (m *Machine) findEvacuation(domain string) (int, bool) {
	return slices.BinarySearchFunc(m.evacuations, domain, func(e Evacuation, domain string) int {
		return cmp.Compare(e.Domain, domain)
	})
}

// Evacuated reports whether a failure domain is evacuated.
func (m *Machine) Evacuated(domain string) bool {
	_, evacuated := m.findEvacuation(domain)
	return evacuated
}

// Evacuations returns the evacuations in order of their domains. The caller must not modify
// them.
func (m *Machine) Evacuations() []Evacuation { return m.evacuations }

// DomainKnown reports whether a failure domain is evacuated or has a worker in the state.
func (m *Machine) DomainKnown(domain string) bool {
	return m.Evacuated(domain) || slices.ContainsFunc(m.workers.list, func(w *Worker) bool {
		return w != nil && w.Spec.FailureDomain == domain
	})
}

// DomainUse returns the number of workers of a failure domain that are not lost, and that
// of the tasks that hold resources on them.
func (m *Machine) DomainUse(domain string) (workers, tasks int64) {
	for _, w := range m.workers.list {
		if w != nil && w.Spec.FailureDomain == domain && w.Mode != model.WorkerLost {
			workers++
			tasks += int64(len(w.Held))
		}
	}
	return workers, tasks
}

// receives reports whether a worker may be given new tasks, and its executors new requests.
func (m *Machine) receives(w *Worker) bool {
	return w.Mode == model.WorkerOpen && !m.Evacuated(w.Spec.FailureDomain)
}

func (m *Machine) replayEvacuations(fn func(Event)) {
	for _, e := range m.evacuations {
		fn(EvacuationChanged{Domain: e.Domain, Evacuated: true, At: e.Since})
	}
}
