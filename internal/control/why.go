package control

import (
	"fmt"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

// Reasons why tasks of a job do not run, beside those of the scheduler, with what they
// count.
const (
	whyRefused  = "refused"  // workers that the policy service did not permit when it was last queried about them
	whyRenewal  = "renewal"  // tasks of a gang that have room only on workers whose permit has expired
	whyStarting = "starting" // attempts whose start is not confirmed
	whyStopping = "stopping" // attempts whose stop is not confirmed
)

// waitReasons returns why tasks of a job do not run at now. Like those of the scheduler,
// the reasons are meant for people.
func (l *leader) waitReasons(j *state.Job, now model.Time) []api.WhyNot {
	out := l.sched.WaitReasons(j.ID, now)
	out = append(out, l.policy.renewals(j, now)...)
	out = append(out, l.policy.refusals(j, now)...)
	for _, u := range l.polled.unconfirmed(j, now) {
		out = append(out, u.reason())
	}
	return out
}

// refusals returns how many workers the policy service has refused for the pending tasks
// of a job.
func (p *policy) refusals(j *state.Job, now model.Time) []api.WhyNot {
	st := p.tracker.Status(j.ID, now)
	refused := st.Queried - st.Allowed
	if refused == 0 || j.Count(model.TaskPending) == 0 {
		return nil
	}
	return []api.WhyNot{{Reason: whyRefused, Count: int64(refused),
		Detail: fmt.Sprintf("workers were refused by the policy service, which permits %d of the %d that it was queried about", st.Allowed, st.Queried)}}
}

// renewals returns how many pending tasks of a gang would have room if all of its permits were
// valid at the same time, if the gang could start then.
func (p *policy) renewals(j *state.Job, now model.Time) []api.WhyNot {
	d := p.Demand(j.ID)
	if !d.AllAtOnce {
		return nil
	}
	room := p.tracker.Room(j.ID, p.Candidates(j.ID), now)
	if room.Valid >= d.Tasks || room.Allowed < d.Tasks {
		return nil
	}
	return []api.WhyNot{{Reason: whyRenewal, Count: d.Tasks - room.Valid,
		Detail: fmt.Sprintf("tasks of the gang have room only on workers whose permit has expired: the permitted workers hold %d of %d tasks, those with a valid permit %d", room.Allowed, d.Tasks, room.Valid)}}
}

// unconfirmedAttempts are the attempts of a job that wait for their workers in one phase.
type unconfirmedAttempts struct {
	phase  model.TaskPhase
	count  int64
	oldest model.TaskID
	since  model.Time // when the oldest one entered the phase
	detail string     // of the oldest one
}

// unconfirmed returns the attempts of a job that are starting, and those that are
// stopping.
func (p *polledWorkers) unconfirmed(j *state.Job, now model.Time) []unconfirmedAttempts {
	var out []unconfirmedAttempts
	for _, phase := range [...]model.TaskPhase{model.TaskStarting, model.TaskStopping} {
		if u := unconfirmedIn(j, phase); u.count > 0 {
			u.detail = p.describe(j, &u, now)
			out = append(out, u)
		}
	}
	return out
}

func unconfirmedIn(j *state.Job, phase model.TaskPhase) unconfirmedAttempts {
	u := unconfirmedAttempts{phase: phase}
	if j.Finished != 0 || j.Count(phase) == 0 {
		return u
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Phase != phase {
			continue
		}
		if u.count == 0 || t.Since < u.since {
			u.oldest, u.since = model.TaskID{Job: j.ID, Index: int32(i)}, t.Since
		}
		u.count++
	}
	return u
}

// describe names the oldest of some attempts, its worker and the last command about it.
func (p *polledWorkers) describe(j *state.Job, u *unconfirmedAttempts, now model.Time) string {
	t := j.Task(u.oldest.Index)
	worker := p.l.c.machine.TaskWorker(t)
	out := fmt.Sprintf("attempts are %s; the oldest is attempt %d of task %d on worker %s, since %s", u.phase, t.Attempt, u.oldest.Index, worker, now.Sub(u.since).Round(time.Millisecond))
	pw := p.workers[worker]
	if pw == nil {
		return out + ", which is not polled"
	}
	cmd := pw.commands[u.oldest]
	if cmd == nil || cmd.attempt != t.Attempt {
		return out + ", no command was sent"
	}
	name := commandStart
	if cmd.isStop {
		name = commandStop
	}
	return out + fmt.Sprintf(", %s sent %d times, last response: %s", name, cmd.sent, cmd.lastResponse())
}

func (u *unconfirmedAttempts) reason() api.WhyNot {
	name := whyStarting
	if u.phase == model.TaskStopping {
		name = whyStopping
	}
	return api.WhyNot{Reason: name, Count: u.count, Detail: u.detail}
}
