package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

func choose(t *testing.T, b *Balancer, now model.Time, entries ...string) string {
	t.Helper()
	e, ok := b.Choose(entries, 10*time.Millisecond, now)
	assert.Assert(t, ok)
	return e
}

func TestQueryGoesToLeastLoadedEntry(t *testing.T) {
	l := NewBalancer()
	l.Begin("a", 60*time.Millisecond)
	l.Begin("b", 30*time.Millisecond)
	assert.Equal(t, choose(t, l, 1000, "a", "b", "c"), "c")
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "b")
	l.End("a", 60*time.Millisecond, true, 1000)
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "a")
}

func TestFailedEntryIsAvoidedDuringCooldown(t *testing.T) {
	l := NewBalancer()
	const cost = 9 * time.Millisecond
	l.Begin("a", cost)
	l.Begin("b", 10*cost)
	l.End("a", cost, false, 1000)
	assert.Equal(t, choose(t, l, 1000, "a", "b"), "b", "in spite of what is open there")
	assert.Equal(t, choose(t, l, 2999, "a", "b"), "b")
	assert.Equal(t, choose(t, l, 3000, "a", "b"), "a", "it may answer again")
}

func TestAnswerEndsCooldown(t *testing.T) {
	l := NewBalancer()
	const cost = 50 * time.Millisecond
	l.Begin("a", cost)
	l.Begin("a", cost)
	l.End("a", cost, false, 1000)
	l.End("a", cost, true, 1010)
	l.Begin("b", cost)
	assert.Equal(t, choose(t, l, 1010, "a", "b"), "a")
}

func TestFailedEntryIsUsedWhenNoOtherExists(t *testing.T) {
	l := NewBalancer()
	l.Begin("a", time.Second)
	l.End("a", time.Second, false, 1000)
	assert.Equal(t, choose(t, l, 1001, "a"), "a")
	_, ok := l.Choose(nil, 0, 1001)
	assert.Assert(t, !ok)
}

func TestQueryTimeoutFollowsOutstandingCost(t *testing.T) {
	l := NewBalancer()
	assert.Equal(t, l.Begin("a", 400*time.Millisecond), time.Second)
	assert.Equal(t, l.Begin("a", 400*time.Millisecond), 1600*time.Millisecond)
	assert.Equal(t, l.Begin("b", 0), 400*time.Millisecond)
}

func TestSaturatedEntryGetsNoQuery(t *testing.T) {
	l := NewBalancer()
	l.Begin("a", saturationCost)
	_, ok := l.Choose([]string{"a"}, time.Millisecond, 1000)
	assert.Assert(t, !ok, "what is sent keeps its place for good")
	l.End("a", saturationCost, true, 1000)
	assert.Equal(t, choose(t, l, 1000, "a"), "a")
}

func TestLongQueriesUseHalfOfEntries(t *testing.T) {
	l := NewBalancer()
	entries := []string{"a", "b", "c"}
	for range 2 {
		e, ok := l.Choose(entries, longQueryCost, 1000)
		assert.Assert(t, ok)
		l.Begin(e, longQueryCost)
	}
	_, ok := l.Choose(entries, longQueryCost, 1000)
	assert.Assert(t, !ok)
	_, ok = l.Choose(entries, longQueryCost-1, 1000)
	assert.Assert(t, ok)
}
