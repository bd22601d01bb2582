package schedule

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// limitHold is a turn in which a pressing job that the limits of its team hold up keeps
// later jobs of the team from starting, so that the work that runs can end and the job can
// start. A pause of the same length follows, in which the later jobs may start. The next
// turn of the same job is twice as long. A turn that the running work is expected to
// outlast is left out: the later jobs may start in its time, too. A turn ends early once it
// has kept a job of which nothing runs waiting for MaxIdleWait, with most of the limits
// unused.
type limitHold struct {
	job       *job
	from      model.Time
	until     model.Time // end of the turn
	resume    model.Time // end of the pause after it
	idleSince model.Time // since when a job of which nothing runs waits; zero: none does
}

// paused reports whether no job of the team may keep others from starting.
func (h *limitHold) paused(now model.Time) bool { return h.until <= now && now < h.resume }

// end ends the turn early. The pause is as long as the turn was.
func (h *limitHold) end(now model.Time) {
	h.until, h.resume = now, now.Add(now.Sub(h.from))
}

// holdsLimit reports whether j, which the limits of its team hold up, keeps later jobs of
// the team from starting. It begins a turn if none is on and no pause either. A job that
// the limits allow only once a service has ended never does.
func (p *planner) holdsLimit(t *team, j *job, size model.Resources) bool {
	if !p.pressing(j) || !t.fitsBesideServices(j.tasksAtOnce(), size) || t.hold.paused(p.now) {
		return false
	}
	if p.now >= t.hold.resume {
		t.hold = p.nextTurn(t, j, size)
	}
	if !p.turnGoesOn(t, j) {
		return false
	}
	p.wakeAt(t.hold.until)
	return true
}

// nextTurn returns a turn for j that begins now. It ends at once if it cannot help.
func (p *planner) nextTurn(t *team, j *job, size model.Resources) limitHold {
	length := p.s.opts.LimitHold << min(j.limitTurns, maxDoublings)
	j.limitTurns++
	h := limitHold{job: j, from: p.now, until: p.now.Add(length), resume: p.now.Add(2 * length)}
	if p.s.limitsAllowAt(t, j, size, p.now) > h.until {
		h.until = p.now
	}
	return h
}

// turnGoesOn reports whether the turn that is on goes on. It ends early if its job waits no
// longer.
func (p *planner) turnGoesOn(t *team, j *job) bool {
	h := &t.hold
	if h.until <= p.now {
		return false
	}
	if h.job != j && !h.job.startable() {
		h.end(p.now)
		return false
	}
	if !t.mostlyIdle() || !p.keepsIdleJobWaiting(t) {
		h.idleSince = 0
		return true
	}
	if h.idleSince == 0 {
		h.idleSince = p.now
	}
	due := h.idleSince.Add(p.s.opts.MaxIdleWait)
	if p.now < due {
		p.wakeAt(due)
		return true
	}
	h.job.limitTurns = max(h.job.limitTurns, 1) - 1 // the next turn is no longer than this one was meant to be
	h.end(p.now)
	return false
}

// keepsIdleJobWaiting reports whether the turn of a team keeps another job waiting, of
// which nothing runs and which the limits of the team allow.
func (p *planner) keepsIdleJobWaiting(t *team) bool {
	for i := range t.queue.entries {
		g := t.queue.entries[i].group
		if g.fitFailure.Err != nil || !t.allows(1, p.s.sizeFor(g)) {
			continue
		}
		for _, j := range g.jobs {
			if j != t.hold.job && j.assigned == 0 && j.startable() && t.allows(j.tasksAtOnce(), p.s.sizeFor(g)) {
				return true
			}
		}
	}
	return false
}

// mostlyIdle reports whether the team uses less than half of what its limits allow.
func (t *team) mostlyIdle() bool {
	return 2*t.running < t.maxRunning && withinHalf(t.reserved, t.maxResources)
}

// withinHalf reports whether use takes less than half of b, whose zero components are no
// limit.
func withinHalf(use, b model.Resources) bool {
	return (b.CPU == 0 || 2*use.CPU < b.CPU) &&
		(b.Memory == 0 || 2*use.Memory < b.Memory) &&
		(b.Accelerators == 0 || 2*use.Accelerators < b.Accelerators)
}

// limitsAllowAt returns the earliest time at which enough of what runs may have ended that
// the limits of its team allow j. Work whose end is unknown may end at any moment.
func (s *Scheduler) limitsAllowAt(t *team, j *job, size model.Resources, now model.Time) model.Time {
	n := j.tasksAtOnce()
	missing := n - t.headroom()
	reserved := t.reserved.Add(size.Mul(n))
	for _, e := range s.expectedEndsOf(t, now) {
		missing--
		reserved = reserved.Sub(e.size)
		if missing <= 0 && within(reserved, t.maxResources) {
			return e.at
		}
	}
	return maxTime
}

// expectedEndsOf returns the expected ends of the tasks of a team in order of time, but for
// those of services.
func (s *Scheduler) expectedEndsOf(t *team, now model.Time) []expectedEnd {
	var out []expectedEnd
	for _, j := range s.jobs {
		if j.assigned == 0 || j.group.lasts() || s.teams[j.group.team] != t {
			continue
		}
		for i := range j.tasks {
			if k := &j.tasks[i]; k.state.assigned() {
				out = append(out, expectedEnd{max(s.expectedEndOf(j, k, now), now), k.size})
			}
		}
	}
	slices.SortFunc(out, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	return out
}
