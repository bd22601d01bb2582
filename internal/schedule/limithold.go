package schedule

import "github.com/filbertmast/filbertmast/internal/model"

// limitHold is a turn in which a pressing job that the limits of its team hold up keeps
// later jobs of the team from starting, so that the work that runs can end and the job can
// start. A pause of the same length follows, in which the later jobs may start. The next
// turn of the same job is twice as long.
type limitHold struct {
	until  model.Time // end of the turn
	resume model.Time // end of the pause after it
}

// paused reports whether no job of the team may keep others from starting.
func (h *limitHold) paused(now model.Time) bool { return h.until <= now && now < h.resume }

// holdsLimit reports whether j, which the limits of its team hold up, keeps later jobs of
// the team from starting. It begins a turn if none is on and no pause either. A job that
// the limits allow only once a service has ended never does.
func (p *planner) holdsLimit(t *team, j *job, size model.Resources) bool {
	if !p.pressing(j) || !t.fitsBesideServices(j.tasksAtOnce(), size) || t.hold.paused(p.now) {
		return false
	}
	if p.now >= t.hold.resume {
		t.hold = p.nextTurn(j)
	}
	p.wakeAt(t.hold.until)
	return true
}

// nextTurn returns a turn for j that begins now.
func (p *planner) nextTurn(j *job) limitHold {
	length := p.s.opts.LimitHold << min(j.limitTurns, maxDoublings)
	j.limitTurns++
	until := p.now.Add(length)
	return limitHold{until: until, resume: until.Add(length)}
}
