package schedule

import (
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// The speed of workers, by the reference planner.

// runOn returns how long a task runs on a worker that runs for the given time at normal speed.
func (n *naive) runOn(run time.Duration, slot int32) time.Duration {
	permille := n.s.workers[slot].speed
	if permille == 1000 {
		return run
	}
	return run * 1000 / time.Duration(permille)
}

// preferring orders the workers for a job of single tasks: those of the classes of speed that
// it prefers first, then from the tightest to the emptiest.
func (n *naive) preferring(j *job) func(a, b int32) bool {
	return func(a, b int32) bool {
		pa, pb := n.s.workers[a].pace, n.s.workers[b].pace
		switch {
		case pa == pb:
			return n.tighter(a, b)
		case n.wantsFast(j):
			return pa > pb
		}
		return pa < pb
	}
}

// wantsFast reports whether a job of single tasks prefers fast workers.
func (n *naive) wantsFast(j *job) bool {
	return j.preferred == preferFast
}

// fastGangClaims returns the workers for all tasks of a gang among those that are available:
// the fastest that hold it, if these are in one region or the gang must be in several.
func (n *naive) fastGangClaims(j *job, size model.Resources, may func(int32) bool) []claim {
	all := n.gangClaimsOn(j, size, may, false)
	if all == nil {
		return nil
	}
	for _, slowest := range []speed.Class{speed.Fast, speed.Average} {
		claims := n.gangClaimsOn(j, size, func(slot int32) bool { return n.s.workers[slot].pace >= slowest && may(slot) }, false)
		if claims != nil && (n.regionsOf(claims) == 1 || n.regionsOf(all) > 1) {
			return claims
		}
	}
	return all
}

// regionsOf returns the number of regions of workers.
func (n *naive) regionsOf(claims []claim) int {
	var regions []int32
	for _, c := range claims {
		if r := n.s.workers[c.slot].region; !slices.Contains(regions, r) {
			regions = append(regions, r)
		}
	}
	return len(regions)
}
