package control

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
)

// jobWaits are callers who wait for a job to change.
type jobWaits struct {
	byJob map[model.JobID][]*jobWait
}

// jobWait is one waiting caller.
type jobWait struct {
	req   *proto.GetJob
	until model.Time
	done  func(*state.Job)
	fail  func(error)
}

func newJobWaits() jobWaits {
	return jobWaits{byJob: make(map[model.JobID][]*jobWait)}
}

func (w *jobWaits) add(id model.JobID, wait *jobWait) {
	w.byJob[id] = append(w.byJob[id], wait)
}

// changed answers those whose job is newer than what they have seen.
func (w *jobWaits) changed(c *core, id model.JobID) {
	waiting := w.byJob[id]
	if len(waiting) == 0 {
		return
	}
	j := c.machine.Job(id)
	kept := waiting[:0]
	for _, v := range waiting {
		if j != nil && !settled(j, v.req) {
			kept = append(kept, v)
			continue
		}
		v.answer(j)
	}
	w.keep(id, kept)
}

// settled reports whether a job answers a waiting call: it has finished, or is
// newer than the version that the caller named.
func settled(j *state.Job, req *proto.GetJob) bool {
	return j.Finished != 0 || (req.Since != 0 && j.Version > req.Since)
}

func (v *jobWait) answer(j *state.Job) {
	if j == nil {
		v.fail(errkind.New(errkind.UnknownJob, "job %s is no longer kept", v.req.ID))
		return
	}
	v.done(j)
}

// expire answers those who have waited long enough with the job as it stands.
func (w *jobWaits) expire(c *core, now model.Time) {
	for id, waiting := range w.byJob {
		kept := waiting[:0]
		for _, v := range waiting {
			if now < v.until {
				kept = append(kept, v)
				continue
			}
			v.answer(c.machine.Job(id))
		}
		w.keep(id, kept)
	}
}

func (w *jobWaits) keep(id model.JobID, kept []*jobWait) {
	if len(kept) == 0 {
		delete(w.byJob, id)
		return
	}
	w.byJob[id] = kept
}

// failAll ends every wait when leadership is lost.
func (w *jobWaits) failAll() {
	for _, waiting := range w.byJob {
		for _, v := range waiting {
			v.fail(errkind.New(errkind.NotLeader, "leadership has moved"))
		}
	}
	w.byJob = make(map[model.JobID][]*jobWait)
}
