package limit

import (
	"cmp"
	"slices"
)

// Ceiling is an upper bound of the sum of a team's outstanding permits. It is
// committed to the replicated state before more permits are granted, so that a
// new leader knows at once how many an earlier leader may have granted, and can
// use the rest of each limit without waiting. It changes in powers of two to keep
// commits rare.
type Ceiling struct {
	Team    string `cbor:"1,keyasint"`
	Permits int64  `cbor:"2,keyasint"`
}

// minCeiling is the lowest ceiling of a team that has ever used permits. It is
// small, since a new leader cannot use that many permits for as long as a request
// may last, and a team's whole limit may be as low as one or two.
const minCeiling = 1

// ceilingLowerFactor is the quotient of ceiling and outstanding permits above
// which the ceiling is lowered.
const ceilingLowerFactor = 4

// ceiling is the state of one team's ceiling.
type ceiling struct {
	committed int64 // zero for none
	pending   int64 // proposed and not yet committed; zero for none
	wanted    int64 // needed for the demands since the last proposal
}

// inForce returns the bound that a new leader has to assume.
func (c *ceiling) inForce() int64 { return c.committed }

// usable returns the bound of what may be granted now. A proposed lower ceiling
// already counts, since it may be committed at any moment.
func (c *ceiling) usable() int64 {
	if c.pending > 0 {
		return min(c.pending, c.inForce())
	}
	return c.inForce()
}

// SetCeiling records the committed ceiling of a team.
func (g *Granter) SetCeiling(name string, permits int64) {
	c := &g.team(name).ceiling
	c.committed = permits
	if c.pending == permits {
		c.pending = 0
	}
}

// Ceilings returns the ceilings that should be committed now, sorted by team.
// They must be proposed in the order in which they are returned. A ceiling is
// returned again until SetCeiling is called for it, since its proposal may have
// been lost. A lower ceiling limits grants as soon as it has been returned.
func (g *Granter) Ceilings() []Ceiling {
	if !g.opts.Ceilings {
		return nil
	}
	var out []Ceiling
	for name, t := range g.teams {
		t.propose()
		if t.ceiling.pending > 0 {
			out = append(out, Ceiling{Team: name, Permits: t.ceiling.pending})
		}
	}
	slices.SortFunc(out, func(a, b Ceiling) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// propose sets the pending ceiling if a change is due.
func (t *team) propose() {
	c := &t.ceiling
	if c.pending > 0 {
		return
	}
	wanted := c.wanted
	c.wanted = 0
	if wanted > c.inForce() {
		c.pending = roundUp(wanted)
		return
	}
	used := t.counted + t.unknown
	target := roundUp(max(used, wanted) * 2)
	if used*ceilingLowerFactor < c.inForce() && target < c.inForce() {
		c.pending = target
	}
}

// roundUp rounds n up to a power of two, at least minCeiling.
func roundUp(n int64) int64 {
	step := int64(minCeiling)
	for step < n {
		step *= 2
	}
	return step
}
