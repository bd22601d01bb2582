package limit

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// decide returns how many permits h may use from now on. It may be less than h
// has in use: the holder then starts nothing until enough has ended, and its
// permits stay counted until it says that it holds fewer.
func (g *Granter) decide(t *team, h *holding, now model.Time) int64 {
	target := g.target(t, h, now)
	if target < h.counted {
		return target
	}
	grow := min(target-h.counted, max(t.free(), 0))
	if g.opts.Ceilings {
		grow = t.underCeiling(grow)
	}
	if grow > 0 && h.want > 0 {
		h.turn = now
	}
	return h.counted + grow
}

// underCeiling returns how much of grow the ceiling allows, and notes what is
// wanted beyond it.
func (t *team) underCeiling(grow int64) int64 {
	out := t.counted + t.unknown
	t.ceiling.wanted = max(t.ceiling.wanted, out+grow)
	return max(min(grow, t.ceiling.usable()-out), 0)
}

// target returns the permits of h in a fair division of the team's limit. What
// holders could use at once goes before what they expect to need soon.
func (g *Granter) target(t *team, h *holding, now model.Time) int64 {
	pool := t.divisible()
	needed := int64(0)
	wished := int64(0)
	for _, o := range t.holdings {
		if o.lost {
			continue
		}
		needed += o.needs()
		wished += o.spare
	}
	if needed > pool {
		return g.contended(t, h, pool, now)
	}
	left := pool - needed
	if wished <= left {
		return h.needs() + h.spare
	}
	return h.needs() + h.spare*left/wished
}

// divisible returns the permits that live holders may share. What is unknown of
// an earlier term does not call back what they hold.
func (t *team) divisible() int64 {
	lost := lostPermits(t)
	most := max(t.limit-t.tasks-lost, 0)
	return min(most, max(most-t.unknown, t.counted-lost))
}

// lostPermits returns what holders that are not heard any more may be using.
func lostPermits(t *team) int64 {
	var n int64
	for _, o := range t.holdings {
		if o.lost {
			n += o.counted
		}
	}
	return n
}

// contended divides pool, which is less than all holders need, by max-min
// fairness. Single permits that are left over go round by turns.
func (g *Granter) contended(t *team, h *holding, pool int64, now model.Time) int64 {
	live := make([]*holding, 0, len(t.holdings))
	for _, o := range t.holdings {
		if !o.lost && o.needs() > 0 {
			live = append(live, o)
		}
	}
	slices.SortFunc(live, func(a, b *holding) int { return cmp.Compare(a.needs(), b.needs()) })
	left := pool
	for i, o := range live {
		n := int64(len(live) - i)
		share := left / n
		if o.needs() > share {
			return g.byTurns(live[i:], h, share, left%n, now)
		}
		if o == h {
			return o.needs()
		}
		left -= o.needs()
	}
	return h.needs()
}

// byTurns returns the share of h among holders that all need more than share,
// where rest of them get one permit more. A holder within its turn keeps it;
// else the oldest turn is first.
func (g *Granter) byTurns(rivals []*holding, h *holding, share, rest int64, now model.Time) int64 {
	if !slices.Contains(rivals, h) {
		return h.needs()
	}
	if rest == 0 {
		return share
	}
	before := int64(0)
	for _, o := range rivals {
		if o != h && g.precedes(o, h, share, now) {
			before++
		}
	}
	if before < rest {
		return share + 1
	}
	return share
}

// precedes reports whether o is served before h when both need one permit more.
func (g *Granter) precedes(o, h *holding, share int64, now model.Time) bool {
	oKeeps := o.counted > share && now < o.turn.Add(g.opts.Turn)
	hKeeps := h.counted > share && now < h.turn.Add(g.opts.Turn)
	if oKeeps != hKeeps {
		return oKeeps
	}
	return o.turn < h.turn
}

// contendedBeside reports whether a live holder other than id waits for permits.
func (t *team) contendedBeside(id holder) bool {
	for other, h := range t.holdings {
		if other != id && !h.lost && h.want > 0 && h.needs() > h.counted {
			return true
		}
	}
	return false
}
