package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

const (
	// stalledAfter is how long after its promised start a job without a running task
	// counts as stalled.
	stalledAfter = 3 * time.Second
	// maxStalledExamined bounds the jobs whose reasons one count examines.
	maxStalledExamined = 32
)

// Reasons why jobs are stalled, as metrics name them, beside those of waitReasons.
const (
	stalledUnexamined = "unexamined" // beyond maxStalledExamined
	stalledOther      = "other"
)

// stalledReasons are the reasons of waitReasons that explain a stalled job, the one that
// rules out the others first.
var stalledReasons = [...]string{whyStarting, whyStopping, "backoff", "budget", whyRefused, "limit", "queue", "booked", whyRenewal, "gang", "permit", "booked_by_others", "reservation", "probation", "suspect", "silent", "evacuated"}

// stalledJobs counts the jobs of which no task runs although at most half of the cell is
// in use. A job counts if two successive counts find it so.
type stalledJobs struct {
	found map[model.JobID]struct{} // by the last count
}

// countStalled updates the counts of stalled jobs by reason.
func (l *leader) countStalled(now model.Time) {
	counts := map[string]int{}
	found := map[model.JobID]struct{}{}
	if l.halfFree() {
		for _, id := range l.sched.NotRunning(now.Add(-stalledAfter)) {
			found[id] = struct{}{}
			if _, before := l.stalled.found[id]; before {
				counts[l.stalledReason(id, len(found), now)]++
			}
		}
	}
	l.stalled.found = found
	l.c.s.metrics.setStalled(counts)
}

// halfFree reports whether at most half of the cell's processors and memory are reserved.
func (l *leader) halfFree() bool {
	st := l.sched.Stats()
	return 2*st.Reserved.CPU <= st.Total.CPU && 2*st.Reserved.Memory <= st.Total.Memory
}

// stalledReason returns why the nth stalled job does not run.
func (l *leader) stalledReason(id model.JobID, n int, now model.Time) string {
	j := l.c.machine.Job(id)
	switch {
	case n > maxStalledExamined:
		return stalledUnexamined
	case j == nil:
		return stalledOther
	}
	return mainReason(l.waitReasons(j, now), l.policy.refusedByAll(j, now))
}

// refusedByAll reports whether the policy service permits none of the workers that it was
// queried about.
func (p *policy) refusedByAll(j *state.Job, now model.Time) bool {
	st := p.tracker.Status(j.ID, now)
	return st.Queried > 0 && st.Allowed == 0
}

// mainReason returns the reason that rules out the others. Refusals explain nothing as long
// as some worker is permitted.
func mainReason(reasons []api.WhyNot, noneAllowed bool) string {
	for _, name := range stalledReasons {
		if name == whyRefused && !noneAllowed {
			continue
		}
		for i := range reasons {
			if reasons[i].Reason == name {
				return name
			}
		}
	}
	return stalledOther
}

// setStalled sets the number of stalled jobs by reason.
func (m *metrics) setStalled(counts map[string]int) {
	for _, name := range append(stalledReasons[:], stalledUnexamined, stalledOther) {
		m.stalledJobs.WithLabelValues(name).Set(float64(counts[name]))
	}
}
