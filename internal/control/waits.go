package control

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
)

// jobWaits are the calls that wait for a job to change.
type jobWaits struct {
	byJob map[model.JobID][]*jobWait
}

// jobWait is one waiting call.
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

// changed answers the calls whose wait for the job is over.
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

// settled reports whether a call need not wait for a job any longer: the job has
// finished, or is newer than the version in the call.
func settled(j *state.Job, req *proto.GetJob) bool {
	return j.Finished != 0 || (req.Since != 0 && j.Version > req.Since)
}

func (v *jobWait) answer(j *state.Job) {
	if j == nil {
		v.fail(errkind.New(errkind.UnknownJob, "job %s has finished and its record has expired", v.req.ID))
		return
	}
	v.done(j)
}

// expire answers the calls whose wait time is over with the current state of the job.
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

// failAll fails every waiting call when this process stops leading.
func (w *jobWaits) failAll() {
	for _, waiting := range w.byJob {
		for _, v := range waiting {
			v.fail(errkind.New(errkind.NotLeader, "this process no longer leads"))
		}
	}
	w.byJob = make(map[model.JobID][]*jobWait)
}
