package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/state"
)

// pastUse passes the past use of the teams on to the scheduler.
type pastUse struct {
	l           *leader
	proposed    bool       // a change of the half-life is not committed yet
	nextRefresh model.Time // when the scheduler gets new values
}

const (
	// pastUseRefreshes is how often in a half-life the scheduler gets new values, at least:
	// between two, an average moves by at most 2.2% of its distance from what is reserved.
	pastUseRefreshes = 32
	// maxPastUseRefresh bounds the time between two refreshes, so that the gauges and a team
	// that was declared again have current values.
	maxPastUseRefresh = 2 * time.Second
)

// tick proposes the half-life of the settings if another one is in force, and refreshes the
// values of the scheduler when it is time.
func (p *pastUse) tick(now model.Time) {
	p.proposeHalfLife()
	if now >= p.nextRefresh {
		p.refresh(now)
	}
}

// proposeHalfLife proposes the half-life of the settings if another one is in force. A
// proposal that fails is made again with the next tick.
func (p *pastUse) proposeHalfLife() {
	c := p.l.c
	want := c.s.opts.PastUseHalfLife
	if p.proposed || c.machine.PastUseHalfLife() == want {
		return
	}
	p.proposed = true
	c.propose(&state.Command{SetPastUse: &state.SetPastUse{HalfLife: want}}, func(state.Result, error) { p.proposed = false })
}

// halfLifeChanged handles a committed change of the half-life.
func (p *pastUse) halfLifeChanged(halfLife model.Duration) {
	p.l.c.log.Info("Half-life of past use has changed.", "half_life", halfLife)
	p.refresh(p.l.c.s.now())
}

// refresh passes the current values on to the scheduler and the metrics.
func (p *pastUse) refresh(now model.Time) {
	m := p.l.c.machine
	halfLife := m.PastUseHalfLife()
	interval := maxPastUseRefresh
	if halfLife != 0 {
		interval = min(halfLife.Std()/pastUseRefreshes, maxPastUseRefresh)
	}
	p.nextRefresh = now.Add(interval)
	if halfLife == 0 && !p.l.sched.ConsidersPastUse() {
		return
	}
	_, _, d := m.Config()
	e := schedule.PastUseChanged{HalfLife: halfLife.Std()}
	if halfLife != 0 {
		for i := range d.Teams {
			name := d.Teams[i].Name
			e.Teams = append(e.Teams, schedule.TeamPastUse{Team: name, Average: m.PastUse(name, now)})
		}
	}
	p.l.sched.Apply(e)
	p.record(d.Teams)
}

// record sets the gauges of the teams.
func (p *pastUse) record(teams []model.Team) {
	loads := p.l.c.s.metrics.pastLoad
	loads.Reset()
	for i := range teams {
		if load, known := p.l.sched.PastLoad(teams[i].Name); known {
			loads.WithLabelValues(teams[i].Name).Set(float64(load) / 1e6)
		}
	}
}

// view returns the past use of a team at now, or nil while it is not considered.
func (p *pastUse) view(team string, now model.Time) *api.PastUse {
	load, known := p.l.sched.PastLoad(team)
	if !known {
		return nil
	}
	return &api.PastUse{Average: p.l.c.machine.PastUse(team, now), LoadPermille: load / 1000}
}
