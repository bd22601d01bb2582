package permit

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// near returns entries in the region of the leader.
func near(addresses ...string) []Entry {
	var out []Entry
	for _, a := range addresses {
		out = append(out, Entry{Address: a})
	}
	return out
}

func choose(t *testing.T, b *Balancer, now model.Time, entries ...string) string {
	t.Helper()
	e, ok := b.Choose(near(entries...), 10*time.Millisecond, now)
	assert.Assert(t, ok)
	return e
}

func TestQueryGoesToLeastLoadedEntry(t *testing.T) {
	b := NewBalancer(0)
	b.Begin("a", 60*time.Millisecond)
	b.Begin("b", 30*time.Millisecond)
	assert.Equal(t, choose(t, b, 1000, "a", "b", "c"), "c")
	assert.Equal(t, choose(t, b, 1000, "a", "b"), "b")
	b.End("a", 60*time.Millisecond, true, 1000)
	assert.Equal(t, choose(t, b, 1000, "a", "b"), "a")
}

func TestFailedEntryIsAvoidedDuringCooldown(t *testing.T) {
	b := NewBalancer(0)
	const cost = 9 * time.Millisecond
	b.Begin("a", cost)
	b.Begin("b", 10*cost)
	b.End("a", cost, false, 1000)
	assert.Equal(t, choose(t, b, 1000, "a", "b"), "b", "although more service time is outstanding there")
	assert.Equal(t, choose(t, b, 2999, "a", "b"), "b")
	assert.Equal(t, choose(t, b, 3000, "a", "b"), "a", "the cooldown has ended")
}

func TestAnswerEndsCooldown(t *testing.T) {
	b := NewBalancer(0)
	const cost = 50 * time.Millisecond
	b.Begin("a", cost)
	b.Begin("a", cost)
	b.End("a", cost, false, 1000)
	b.End("a", cost, true, 1010)
	b.Begin("b", cost)
	assert.Equal(t, choose(t, b, 1010, "a", "b"), "a")
}

func TestFailedEntryIsUsedWhenNoOtherExists(t *testing.T) {
	b := NewBalancer(0)
	b.Begin("a", time.Second)
	b.End("a", time.Second, false, 1000)
	assert.Equal(t, choose(t, b, 1001, "a"), "a")
	_, ok := b.Choose(nil, 0, 1001)
	assert.Assert(t, !ok)
}

func TestQueryTimeoutFollowsOutstandingCost(t *testing.T) {
	b := NewBalancer(0)
	assert.Equal(t, b.Begin("a", 400*time.Millisecond), time.Second)
	assert.Equal(t, b.Begin("a", 400*time.Millisecond), 1600*time.Millisecond)
	assert.Equal(t, b.Begin("b", 0), 400*time.Millisecond)
}

func TestSaturatedEntryGetsNoQuery(t *testing.T) {
	b := NewBalancer(0)
	b.Begin("a", saturationCost)
	_, ok := b.Choose(near("a"), time.Millisecond, 1000)
	assert.Assert(t, !ok, "a saturated entry must get no query")
	b.End("a", saturationCost, true, 1000)
	assert.Equal(t, choose(t, b, 1000, "a"), "a")
}

// Guards against short queries that take the way to another region although an entry is near, and
// long ones that occupy the near entries.
func TestShortQueriesPreferNearEntriesAndLongOnesFarOnes(t *testing.T) {
	entries := []Entry{{Address: "far", Far: true}, {Address: "near"}}
	const short = 10 * time.Millisecond
	for _, row := range []struct {
		name        string
		cost        time.Duration
		near, far   time.Duration // service time outstanding
		want        string
		notAccepted bool
	}{
		{name: "a short query", cost: short, want: "near"},
		{name: "a short query behind few others", cost: short, near: 30 * time.Millisecond, want: "near"},
		{name: "a short query if the wait is longer than the way", cost: short, near: 50 * time.Millisecond, want: "far"},
		{name: "a short query beside a long one", cost: short, near: longQueryCost, want: "far"},
		{name: "a long query", cost: longQueryCost, want: "far"},
		{name: "a short query when all are saturated", cost: short, near: longQueryCost, far: longQueryCost, notAccepted: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := NewBalancer(0)
			for address, cost := range map[string]time.Duration{"near": row.near, "far": row.far} {
				if cost > 0 {
					b.Begin(address, cost)
				}
			}
			got, ok := b.Choose(entries, row.cost, 10_000)
			assert.Equal(t, ok, !row.notAccepted)
			if ok {
				assert.Equal(t, got, row.want)
			}
		})
	}
}

// Guards against entries that stand idle while long queries wait, and short ones that wait behind them.
func TestLongQueriesLeaveShortOnesTheEntriesThatTheyNeed(t *testing.T) {
	const now = model.Time(10_000)
	for _, row := range []struct {
		entries, short, long int
		cost                 time.Duration // of a short query; zero: a millisecond
	}{
		{entries: 1, short: 0, long: 1},
		{entries: 1, short: 1, long: 1},
		{entries: 3, short: 0, long: 2},
		{entries: 8, short: 0, long: 7},
		{entries: 8, short: 3, long: 4},
		{entries: 44, short: 4, cost: 50 * time.Millisecond, long: 39},
		{entries: 44, short: 6, cost: sharedCost, long: 37},
		{entries: 44, short: 30, cost: 10 * time.Millisecond, long: 25},
		{entries: 44, short: 30, cost: time.Millisecond, long: 39},
	} {
		b := NewBalancer(0)
		entries := make([]Entry, row.entries)
		for i := range entries {
			entries[i].Address = strconv.Itoa(i)
		}
		for range row.short {
			e, ok := b.Choose(entries, 0, now)
			assert.Assert(t, ok)
			b.Begin(e, max(row.cost, time.Millisecond))
		}
		long := 0
		for {
			e, ok := b.Choose(entries, longQueryCost, now)
			if !ok {
				break
			}
			b.Begin(e, longQueryCost)
			long++
		}
		assert.Equal(t, long, row.long, "%+v", row)
		_, ok := b.Choose(entries, time.Millisecond, now)
		assert.Equal(t, ok, row.entries > 1, "a short query beside %d long ones", long)
	}
}

// Guards against a new leader that sends a query for each of many waiting jobs at once
// and loses its quorum meanwhile.
func TestQueriesInFlightAreBoundedAndGrowFromTheStart(t *testing.T) {
	const start model.Time = 1000
	for _, row := range []struct {
		name    string
		entries int
		now     model.Time
		want    int
	}{
		{"at the start", 10, start, firstQueries},
		{"after ten intervals", 10, start.Add(10 * rampInterval), firstQueries + 10},
		{"after a minute", 5, start.Add(time.Minute), maxQueries},
		{"with many entries", 39, start.Add(time.Minute), 39 * maxEntryQueries},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := NewBalancer(start)
			var entries []string
			for i := range row.entries {
				entries = append(entries, fmt.Sprint(i))
			}
			for range row.want {
				assert.Assert(t, !b.Full(near(entries...), row.now))
				b.Begin(choose(t, b, row.now, entries...), time.Millisecond)
			}
			assert.Assert(t, b.Full(near(entries...), row.now))
			short, long := b.Available(near(entries...), row.now)
			assert.Assert(t, !short && !long)
			b.End("0", time.Millisecond, true, row.now)
			assert.Assert(t, !b.Full(near(entries...), row.now))
		})
	}
}

func TestEntriesAreCountedByWhatKeepsThemFromQueries(t *testing.T) {
	b := NewBalancer(0)
	entries := near("a", "b", "c", "d")
	b.Begin("a", saturationCost)
	b.Begin("b", time.Millisecond)
	b.Begin("c", time.Millisecond)
	b.End("c", time.Millisecond, false, 1000)
	assert.Equal(t, b.Count(entries, 1001), EntryCounts{All: 4, Saturated: 1, Avoided: 1})
	assert.Equal(t, b.Count(entries, model.Time(1000).Add(failureCooldown)), EntryCounts{All: 4, Saturated: 1})
}
