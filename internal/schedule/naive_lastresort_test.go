package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Where suspects are placed, and workers that are the last choice, by the reference planner.

// findAlone returns an available worker without tasks, or else one on which every task
// has run past its start, or else such a one that is kept for another suspect, or noSlot.
func (n *naive) findAlone(j *job, size model.Resources) int32 {
	available := func(slot int32) bool { return n.s.workers[slot].available() && n.fits(j, slot, size) }
	slot := n.best(func(slot int32) bool { return available(slot) && n.tasksOn(slot, false) == 0 }, n.tighter)
	if slot == noSlot {
		slot = n.best(func(slot int32) bool { return available(slot) && n.quiet(&n.s.workers[slot]) }, n.tighter)
	}
	if slot == noSlot {
		slot = n.best(func(slot int32) bool {
			return n.shared(j, slot) && n.fits(j, slot, size) && n.quiet(&n.s.workers[slot])
		}, n.tighter)
	}
	return slot
}

// shared reports whether a worker is kept for a suspect and may be shared with tasks of j.
func (n *naive) shared(j *job, slot int32) bool {
	w := &n.s.workers[slot]
	r := w.isolatedFor
	if r.job == nil || w.reservation != nil || w.onProbation() {
		return false
	}
	if determined := n.isolatedBefore || len(n.reservedBefore) > 0; !n.lasts(j) && !(determined && n.mostlyIdleBefore(j)) {
		return !slices.ContainsFunc(w.tasks, func(r taskRef) bool {
			t := r.task()
			return r.job.suspects[r.index].suspicion != NotSuspected && (t.state != taskRunning || n.now.Sub(t.since) < model.StartSpan)
		})
	}
	v := r.job.suspects[r.index]
	settled := r.task().state == taskRunning && n.now.Sub(r.task().since) >= model.StartSpan
	return !w.keptAlone || v.suspicion != KeepAlone || v.aloneUntil <= n.now || settled
}

// findAmongSuspects returns the worker with the fewest suspects for another one, or noSlot.
func (n *naive) findAmongSuspects(j *job, size model.Resources) int32 {
	return n.best(func(slot int32) bool {
		return (n.s.workers[slot].available() || n.shared(j, slot)) && n.fits(j, slot, size)
	}, func(a, b int32) bool {
		return cmp.Or(cmp.Compare(n.tasksOn(a, true), n.tasksOn(b, true)), n.compareTight(a, b)) < 0
	})
}

// mayTryGang reports whether a gang may be placed on a worker that is kept for a suspect, or
// with probes on one on probation.
func (n *naive) mayTryGang(j *job, w *worker, probes bool) bool {
	h := w.health
	if w.reservation != nil {
		return false
	}
	if w.isolatedFor.job != nil {
		return n.shared(j, n.s.workerByID[w.id])
	}
	if !probes || h == nil || !h.probation || n.now < h.nextTry.Add(n.s.opts.ProbeWait) {
		return false
	}
	t := h.probe
	return t.job == nil || t.task().state == taskRunning && n.now.Sub(t.task().since) >= probeSettled
}

// gangClaimsAmong returns claims like gangClaimsOn with workers that are the last choice, too.
func (n *naive) gangClaimsAmong(j *job, size model.Resources, may func(int32) bool) []claim {
	for _, probes := range []bool{false, true} {
		claims := n.gangClaimsFrom(j, size, may, false, func(w *worker) bool {
			return w.available() || w.reservation != nil && w.reservation.job == j || n.mayTryGang(j, w, probes)
		})
		if claims != nil {
			return claims
		}
	}
	return nil
}

// tasksOn returns the number of tasks, or of suspects, that are assigned to a worker.
func (n *naive) tasksOn(slot int32, suspects bool) (count int) {
	for _, j := range n.s.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state.assigned() && t.worker == slot && (!suspects || j.suspects[int32(i)].suspicion != NotSuspected) {
				count++
			}
		}
	}
	return count
}
