package schedule

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// Check reports whether a job could ever run on the workers known now. The error
// has kind NoMatchingWorker or NeverFits; the latter names the missing amount and,
// if no worker is large enough for one task, the closest worker. Check returns nil
// while no known worker may be given tasks, as when the only one leaves. q may be nil.
func (s *Scheduler) Check(spec *model.JobSpec, q *model.Queue) error {
	queue := ""
	if q != nil {
		queue = q.WorkerSelector()
	}
	id := s.selector(queue, spec.Selector)
	m := s.fitFailure(id, spec.Size, gangTasks(spec), spec.PerWorker())
	s.selectors.dropUnused(id)
	return m.Err
}

func gangTasks(spec *model.JobSpec) int64 {
	if spec.Policy == model.PolicyGang {
		return int64(spec.Tasks)
	}
	return 1
}

// fitFailure returns why n tasks cannot run anywhere at once; its Err is nil if
// they can, or if no known worker may be given tasks.
func (s *Scheduler) fitFailure(selector int32, size model.Resources, n int64, limit int32) FitFailure {
	if len(s.shapes) == 0 {
		return FitFailure{}
	}
	if s.slotsFor(selector, size, limit) >= n {
		return FitFailure{}
	}
	closest, matched := s.closest(selector, size)
	if matched == 0 {
		return FitFailure{Err: errkind.New(errkind.NoMatchingWorker, "no worker matches the selectors of the job and its queue")}
	}
	w := &s.workers[closest]
	missing := size.Sub(w.capacity).Max(model.Resources{})
	f := FitFailure{Closest: w.id, Missing: missing}
	if missing.IsZero() {
		f.Missing = size.Mul(n - s.slotsFor(selector, size, limit))
		f.Err = errkind.New(errkind.NeverFits, "%d tasks at once do not fit on the %d matching workers; %s more is needed", n, matched, f.Missing)
		return f
	}
	f.Err = errkind.New(errkind.NeverFits, "no worker is large enough for one task; the closest, %s, lacks %s", w.id, missing)
	return f
}

// slotsFor returns how many tasks would fit on the matching workers if those were
// empty, at most limit on each; zero: any number.
func (s *Scheduler) slotsFor(selector int32, size model.Resources, limit int32) int64 {
	var n int64
	for k, count := range s.shapes {
		if !size.Fits(k.capacity) || !s.matches(selector, k.class) {
			continue
		}
		n += count * perWorker(copies(size, k.capacity), limit)
	}
	return n
}

// closest returns the matching worker whose capacity lacks least, and the number
// of matching workers.
func (s *Scheduler) closest(selector int32, size model.Resources) (slot int32, matched int64) {
	slot = noSlot
	var least int64
	for i := range s.workers {
		w := &s.workers[i]
		if !w.mayRun() || !s.matches(selector, w.class) {
			continue
		}
		matched++
		lack := dominant(size.Sub(w.capacity).Max(model.Resources{}), size)
		if slot == noSlot || lack < least || lack == least && w.id < s.workers[slot].id {
			slot, least = int32(i), lack
		}
	}
	return slot, matched
}
