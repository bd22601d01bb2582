package control

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

// queuesChanged follows changes of whether queues need permits and of what their queries
// cost.
func (p *policy) queuesChanged(queues []model.Queue) {
	before := p.byQueue
	p.byQueue = make(map[string]model.PolicyCosts, len(queues))
	changed := false
	for i := range queues {
		q := &queues[i]
		p.byQueue[q.Name] = q.Policy
		old, known := before[q.Name]
		changed = changed || known && old != q.Policy
	}
	if !changed {
		return
	}
	for _, id := range p.l.c.machine.JobIDs() {
		j := p.l.c.machine.Job(id)
		if j.Finished == 0 && p.byQueue[j.Spec.Queue] != before[j.Spec.Queue] {
			p.update(j)
		}
	}
}

// update tracks an unfinished job if it needs permits now, and ends that if it needs none
// any more.
func (p *policy) update(j *state.Job) {
	_, needed := p.costs[j.ID]
	needs := p.add(j)
	if needs == needed {
		return
	}
	if !needs {
		p.remove(j.ID)
	}
	p.l.sched.Apply(schedule.JobPermitNeedChanged{ID: j.ID, NeedsPermit: needs})
}
