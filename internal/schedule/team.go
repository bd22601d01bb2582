package schedule

import (
	"math/bits"

	"github.com/google/btree"

	"github.com/filbertmast/filbertmast/internal/model"
)

// team is an account that tasks are charged to. A team that is not declared has no
// share and starts nothing.
type team struct {
	name         string
	declared     bool
	share        int64
	maxRunning   int64
	maxResources model.Resources

	running        int64 // assigned tasks
	requestPermits int64 // outstanding request permits
	reserved       model.Resources
	stopping       model.Resources // part of reserved, of tasks that are stopping
	plannedStops   model.Resources // part of reserved, of tasks that the current plan stops

	queue   teamQueue           // groups with a ready task
	victims *btree.BTreeG[*job] // repeatable jobs with assigned tasks
	blocked bool                // excluded from the rest of the current plan
	ranked  bool                // first and key are up to date
	first   int32               // index in queue; -1 for none
	key     int64               // precedence; the least comes first

	pastTerm int64 // part of key, for past use

	// The rest is not read for every team in every plan.
	hold         limitHold       // the last turn of a job that the limits hold up
	serviceTasks int64           // part of running, of services
	services     model.Resources // part of reserved, of services
	past         model.Resources // decayed average of reserved
}

// TeamUsage is the current usage of a team.
type TeamUsage struct {
	Running        int64
	Reserved       model.Resources
	RequestPermits int64
}

// headroom returns how many more tasks the team may run.
func (t *team) headroom() int64 { return t.maxRunning - t.running - t.requestPermits }

// withinMaxResources reports whether the team may reserve size more.
func (t *team) withinMaxResources(size model.Resources) bool {
	return within(t.reserved.Add(size), t.maxResources)
}

// allows reports whether the limits of the team allow n more tasks of the given size now.
func (t *team) allows(n int64, size model.Resources) bool {
	return t.headroom() >= n && t.withinMaxResources(size.Mul(n))
}

// fitsBesideServices reports whether the limits of the team allow n tasks of the given
// size beside its services alone, which do not end by themselves.
func (t *team) fitsBesideServices(n int64, size model.Resources) bool {
	return t.serviceTasks+n <= t.maxRunning && within(t.services.Add(size.Mul(n)), t.maxResources)
}

// addTask counts an assigned task of a job of g.
func (t *team) addTask(g *group, size model.Resources) {
	t.running++
	t.reserved = t.reserved.Add(size)
	if g.lasts() {
		t.serviceTasks++
		t.services = t.services.Add(size)
	}
}

// removeTask undoes addTask.
func (t *team) removeTask(g *group, size model.Resources) {
	t.running--
	t.reserved = t.reserved.Sub(size)
	if g.lasts() {
		t.serviceTasks--
		t.services = t.services.Sub(size)
	}
}

// within reports whether use stays within b, whose zero components are no limit.
func within(use, b model.Resources) bool {
	return (b.CPU == 0 || use.CPU <= b.CPU) &&
		(b.Memory == 0 || use.Memory <= b.Memory) &&
		(b.Accelerators == 0 || use.Accelerators <= b.Accelerators)
}

// ppm is the unit of shares: a million is the whole cell.
const ppm = 1_000_000

// dominant returns the largest fraction of total that use takes, in ppm.
func dominant(use, total model.Resources) int64 {
	return max(
		fraction(use.CPU, total.CPU),
		fraction(use.Memory, total.Memory),
		fraction(use.Accelerators, total.Accelerators),
	)
}

func fraction(part, whole int64) int64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return ppm
	}
	return mulDiv(part, ppm, whole)
}

// mulDiv returns a*b/c rounded down, for positive values, but at most the largest
// int64.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return maxInt64
	}
	quo, _ := bits.Div64(hi, lo, uint64(c))
	return int64(min(quo, maxInt64))
}

const maxInt64 = 1<<63 - 1

// load returns the dominant share of the team with size more, relative to its
// entitlement, in ppm: a million is exactly its share of the cell.
func (s *Scheduler) load(t *team, more model.Resources) int64 {
	return s.loadOf(t, t.reserved.Add(more))
}

// loadOf returns the load that the team would have with the given use.
func (s *Scheduler) loadOf(t *team, use model.Resources) int64 {
	d := dominant(use, s.total)
	if d == 0 {
		return 0
	}
	if t.share <= 0 || s.shares <= 0 {
		return maxInt64
	}
	return mulDiv(d, s.shares, t.share)
}
