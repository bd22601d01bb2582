package state

import (
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/usage"
)

// pastUse holds, by team, the decayed average of what its tasks have reserved.
type pastUse struct {
	halfLife model.Duration // zero: nothing is recorded
	teams    map[string]*usage.Average
}

// pastUseRecord is the past use of all teams in a snapshot. There is none while nothing is
// recorded.
type pastUseRecord struct {
	HalfLife model.Duration      `cbor:"1,keyasint"`
	Teams    []teamPastUseRecord `cbor:"2,keyasint"` // by name
}

// teamPastUseRecord is the past use of one team in a snapshot.
type teamPastUseRecord struct {
	Team    string        `cbor:"1,keyasint"`
	Average usage.Average `cbor:"2,keyasint"`
}

func newPastUse() pastUse { return pastUse{teams: make(map[string]*usage.Average)} }

// PastUseHalfLife returns the half-life with which past use is recorded; zero: it is not.
func (m *Machine) PastUseHalfLife() model.Duration { return m.pastUse.halfLife }

// PastUse returns the decayed average of what the tasks of the team have reserved until now,
// which may be later than the last command.
func (m *Machine) PastUse(team string, now model.Time) model.Resources {
	recorded, ok := m.pastUse.teams[team]
	if !ok {
		return model.Resources{}
	}
	_, reserved := m.TeamUsage(team)
	average := *recorded
	average.Advance(now, reserved, m.pastUse.halfLife)
	return average.Resources()
}

// setPastUse changes the half-life. The averages so far are kept and decay with the new one.
// Zero ends the recording and drops them.
func (m *Machine) setPastUse(c *SetPastUse) Result {
	if c.HalfLife != 0 && (c.HalfLife < usage.MinHalfLife || c.HalfLife > usage.MaxHalfLife) {
		return Result{Err: errkind.New(errkind.BadRequest, "half-life %s is not from %s to %s", c.HalfLife, usage.MinHalfLife, usage.MaxHalfLife)}
	}
	if c.HalfLife == m.pastUse.halfLife {
		return Result{Existing: true}
	}
	m.advanceAllPastUse()
	m.pastUse.halfLife = c.HalfLife
	if c.HalfLife == 0 {
		clear(m.pastUse.teams)
	} else {
		m.beginPastUse()
	}
	m.emit(PastUseChanged{HalfLife: c.HalfLife})
	return Result{}
}

// beginPastUse adds a record for each team that holds resources and has none.
func (m *Machine) beginPastUse() {
	for team, u := range m.teams {
		if u.held > 0 {
			m.advancePastUse(team)
		}
	}
}

// advancePastUse brings the average of the team up to date. It must be called before what the
// team has reserved changes.
func (m *Machine) advancePastUse(team string) {
	if m.pastUse.halfLife == 0 {
		return
	}
	average, ok := m.pastUse.teams[team]
	if !ok {
		m.pastUse.teams[team] = &usage.Average{At: m.now}
		return
	}
	_, reserved := m.TeamUsage(team)
	average.Advance(m.now, reserved, m.pastUse.halfLife)
}

// advanceAllPastUse brings all averages up to date and drops the negligible ones of teams
// that hold nothing, so that teams that are gone do not stay in the state.
func (m *Machine) advanceAllPastUse() {
	for team, average := range m.pastUse.teams {
		held, reserved := m.TeamUsage(team)
		average.Advance(m.now, reserved, m.pastUse.halfLife)
		if held == 0 && average.Negligible() {
			delete(m.pastUse.teams, team)
		}
	}
}

// record returns the record for a snapshot, or nil.
func (p *pastUse) record() *pastUseRecord {
	if p.halfLife == 0 {
		return nil
	}
	out := &pastUseRecord{HalfLife: p.halfLife, Teams: make([]teamPastUseRecord, 0, len(p.teams))}
	for _, team := range sortedKeys(p.teams) {
		out.Teams = append(out.Teams, teamPastUseRecord{Team: team, Average: *p.teams[team]})
	}
	return out
}

func (p *pastUse) restore(r *pastUseRecord) {
	if r == nil {
		return
	}
	p.halfLife = r.HalfLife
	for i := range r.Teams {
		p.teams[r.Teams[i].Team] = &r.Teams[i].Average
	}
}
