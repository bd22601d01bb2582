package limit

import (
	"cmp"
	"slices"

	"github.com/filbertmast/filbertmast/internal/model"
)

// permitsFor returns how many permits h may use from now on. It may be fewer than
// h has in use: the holder then starts no request until enough have ended, and
// its permits stay counted until it reports that it holds fewer.
func (g *Granter) permitsFor(t *team, h *holding, now model.Time) int64 {
	target := g.fairShare(t, h, now)
	if target < h.counted {
		return target
	}
	grow := min(target-h.counted, max(t.free(), 0))
	if g.opts.Ceilings {
		grow = t.clampToCeiling(grow)
	}
	if grow > 0 && h.want > 0 {
		h.lastTurn = now
	}
	return h.counted + grow
}

// clampToCeiling returns how much of grow the ceiling allows, and records the
// ceiling that the rest would need.
func (t *team) clampToCeiling(grow int64) int64 {
	outstanding := t.counted + t.unknown
	t.ceiling.wanted = max(t.ceiling.wanted, outstanding+grow)
	return max(min(grow, t.ceiling.usable()-outstanding), 0)
}

// fairShare returns the permits of h in a fair division of the team's limit. The
// needs of all holders come first; the rest is divided in proportion to the spare
// permits that they expect to need soon.
func (g *Granter) fairShare(t *team, h *holding, now model.Time) int64 {
	available := t.divisible()
	needed := int64(0)
	wished := int64(0)
	for _, o := range t.holdings {
		if o.lost {
			continue
		}
		needed += o.needs()
		wished += o.spare
	}
	if needed > available {
		return g.contendedShare(t, h, available, now)
	}
	left := available - needed
	if wished <= left {
		return h.needs() + h.spare
	}
	return h.needs() + h.spare*left/wished
}

// divisible returns the permits that live holders may share. Unknown permits of
// an earlier term do not cause the permits that they hold to be revoked.
func (t *team) divisible() int64 {
	lost := lostPermits(t)
	most := max(t.limit-t.tasks-lost, 0)
	return min(most, max(most-t.unknown, t.counted-lost))
}

// lostPermits returns the number of permits that lost holders may be using.
func lostPermits(t *team) int64 {
	var n int64
	for _, o := range t.holdings {
		if o.lost {
			n += o.counted
		}
	}
	return n
}

// contendedShare returns the share of h if the available permits are fewer than
// all holders need. They are divided by max-min fairness; the remaining single
// permits go to holders in turn.
func (g *Granter) contendedShare(t *team, h *holding, available int64, now model.Time) int64 {
	live := make([]*holding, 0, len(t.holdings))
	for _, o := range t.holdings {
		if !o.lost && o.needs() > 0 {
			live = append(live, o)
		}
	}
	slices.SortFunc(live, func(a, b *holding) int { return cmp.Compare(a.needs(), b.needs()) })
	left := available
	for i, o := range live {
		n := int64(len(live) - i)
		share := left / n
		if o.needs() > share {
			return g.shareWithRemainder(live[i:], h, share, left%n, now)
		}
		if o == h {
			return o.needs()
		}
		left -= o.needs()
	}
	return h.needs()
}

// shareWithRemainder returns the share of h among rivals, which all need more
// than share and of which remainder get one permit more. A holder keeps such a
// permit for a time slice; otherwise the earliest lastTurn comes first.
func (g *Granter) shareWithRemainder(rivals []*holding, h *holding, share, remainder int64, now model.Time) int64 {
	if !slices.Contains(rivals, h) {
		return h.needs()
	}
	if remainder == 0 {
		return share
	}
	preceding := int64(0)
	for _, o := range rivals {
		if o != h && g.precedes(o, h, share, now) {
			preceding++
		}
	}
	if preceding < remainder {
		return share + 1
	}
	return share
}

// precedes reports whether o is served before h if both need one permit more.
func (g *Granter) precedes(o, h *holding, share int64, now model.Time) bool {
	oKeeps := o.counted > share && now < o.lastTurn.Add(g.opts.TimeSlice)
	hKeeps := h.counted > share && now < h.lastTurn.Add(g.opts.TimeSlice)
	if oKeeps != hKeeps {
		return oKeeps
	}
	return o.lastTurn < h.lastTurn
}

// contendedByOthers reports whether a holder other than id that is not lost waits
// for permits.
func (t *team) contendedByOthers(id holder) bool {
	for other, h := range t.holdings {
		if other != id && !h.lost && h.want > 0 && h.needs() > h.counted {
			return true
		}
	}
	return false
}
