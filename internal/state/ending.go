package state

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// A gang succeeds with the first end of a member. The others may run for a moment
// longer, so their room is not free before their workers have listed their ends, too.

// EndingAttempt is an attempt whose task has succeeded with its gang, and whose own end
// is not known yet.
type EndingAttempt struct {
	Task    model.TaskID    `cbor:"1,keyasint"`
	Fence   model.Fence     `cbor:"2,keyasint"`
	Attempt uint32          `cbor:"3,keyasint"`
	Size    model.Resources `cbor:"4,keyasint"`
	Since   model.Time      `cbor:"5,keyasint"`
}

// InUse returns the resources of all attempts that may run on w.
func (w *Worker) InUse() model.Resources { return w.Reserved.Add(w.endingSize()) }

func (w *Worker) endingSize() model.Resources {
	sum := model.Resources{}
	for i := range w.Ending {
		sum = sum.Add(w.Ending[i].Size)
	}
	return sum
}

// addEnding keeps the room of an attempt on the worker of t, which is a copy of the task
// from before its success. A worker without an address lists no ends.
func (m *Machine) addEnding(id model.TaskID, t *Task) {
	w := m.workers.list[t.Worker]
	if w.Spec.Address == "" {
		return
	}
	w.Ending = append(w.Ending, EndingAttempt{Task: id, Fence: t.Fence, Attempt: t.Attempt, Size: t.Size, Since: m.now})
	m.emit(m.endingEvent(w))
}

// removeEnding frees the room of an attempt that w reports as ended. It returns false if
// there is none.
func (m *Machine) removeEnding(w *Worker, r *api.Report) bool {
	i := slices.IndexFunc(w.Ending, func(a EndingAttempt) bool { return a.Task == r.Task && a.Fence == r.Fence })
	if i < 0 || !r.State.Ends() {
		return false
	}
	w.Ending = slices.Delete(w.Ending, i, i+1)
	m.emit(m.endingEvent(w))
	return true
}

// removeAllEnding frees the room of the attempts of a worker that runs nothing any more.
func (m *Machine) removeAllEnding(w *Worker) {
	if len(w.Ending) > 0 {
		w.Ending = nil
		m.emit(m.endingEvent(w))
	}
}

func (m *Machine) endingEvent(w *Worker) EndingChanged {
	return EndingChanged{Worker: w.Spec.ID, Size: w.endingSize()}
}
