package state

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// setCapacity changes the capacity of a worker. Its tasks go on, also those beyond a
// smaller capacity; placements are checked against the new one.
func (m *Machine) setCapacity(c *SetCapacity) Result {
	w, _ := m.workers.get(c.Worker)
	if w == nil || w.Mode == model.WorkerLost {
		return Result{Err: errkind.New(errkind.UnknownWorker, "worker %q is not known or lost", c.Worker)}
	}
	if c.Session != w.Session {
		return Result{Err: errkind.New(errkind.StaleLease, "worker %s has a newer session", c.Worker)}
	}
	if w.reportedLater(c.Sequence) {
		return Result{Existing: true}
	}
	w.CapacitySequence = c.Sequence
	if c.Capacity == w.Spec.Capacity {
		return Result{Existing: true}
	}
	w.Spec.Capacity = c.Capacity
	m.emit(WorkerChanged{Spec: w.Spec, Mode: w.Mode, Session: w.Session, At: m.now})
	return Result{}
}

// reportedLater reports whether the capacity of w is from a later heartbeat than the
// one with the given sequence.
func (w *Worker) reportedLater(sequence uint64) bool {
	return sequence != 0 && sequence < w.CapacitySequence
}

// announced returns the specification of w after an announcement and the sequence of
// the heartbeat that its capacity is from. A delayed announcement of the same
// incarnation keeps the later capacity.
func (w *Worker) announced(c *Announce) (model.WorkerSpec, uint64) {
	spec := c.Spec
	if spec.Incarnation == 0 || spec.Incarnation != w.Spec.Incarnation || !w.reportedLater(c.Sequence) {
		return spec, c.Sequence
	}
	spec.Capacity = w.Spec.Capacity
	return spec, w.CapacitySequence
}
