package schedule

import (
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// taskRef refers to one task.
type taskRef struct {
	job   *job
	index int32
}

func (r taskRef) task() *task { return &r.job.tasks[r.index] }

// worker is one slot of the dense list of workers.
type worker struct {
	id           model.WorkerID
	labels       model.Labels
	capacity     model.Resources
	free         model.Resources // capacity less ending and the sizes of assigned tasks; negative if the capacity was reduced
	booked       model.Resources // held by bookings, a part of free
	bookAfter    model.Time      // earliest next booking; one has lapsed
	ending       model.Resources // of tasks that have ended and may still run
	tie          uint64          // breaks ties between otherwise equal workers
	tasks        []taskRef
	class        int32 // of labels
	domain       int32
	rack         int32
	region       int32
	pace         speed.Class // class of its speed
	mode         model.WorkerMode
	known        bool
	unresponsive bool         // does not respond to commands
	evacuated    bool         // its failure domain is evacuated
	health       *health      // nil without early failures
	reservation  *reservation // reservation of this worker, or nil
	isolatedFor  taskRef      // the suspect that it is kept for, while that is assigned
	keptAlone    bool         // no other task is placed on it in the start of the suspect
	suspects     int32        // assigned tasks that are suspected
	speed        int64        // in thousandths of the normal speed
}

// available reports whether w is in the index of free capacity.
func (w *worker) available() bool {
	return w.open() && w.reservation == nil && !w.lastChoice()
}

// reservedInAdvance reports whether w is reserved for a job that waits for tasks to end.
func (w *worker) reservedInAdvance() bool { return w.reservation != nil && w.reservation.advance }

func (w *worker) onProbation() bool { return w.health != nil && w.health.probation }

// invalidateReservation makes the start of the reservation of w, if any, be
// determined again.
func (w *worker) invalidateReservation() {
	if w.reservation != nil {
		w.reservation.startKnown = false
	}
}

// open reports whether w may be given tasks.
func (w *worker) open() bool {
	return w.known && w.mode == model.WorkerOpen && !w.unresponsive && !w.evacuated
}

func (w *worker) removeTask(j *job, index int32) {
	i := slices.Index(w.tasks, taskRef{j, index})
	last := len(w.tasks) - 1
	w.tasks[i] = w.tasks[last]
	w.tasks[last] = taskRef{}
	w.tasks = w.tasks[:last]
}
