package bodylimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTransfer(b *budget, c Class, now time.Time) *transfer {
	t := &transfer{class: c, interrupt: func() {}}
	b.begin(t, now)
	return t
}

func budgetOf(limit int64) *budget {
	b := &budget{minRate: 1000, grace: 5 * time.Second}
	for i := range b.accounts {
		b.accounts[i].limit = limit
	}
	return b
}

func at(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// A body that stalls must make room for an ordinary one at once, and a body that may still be
// an ordinary one must not be given up.
func TestOldestBodyIsGivenUpOnlyAfterOrdinaryTime(t *testing.T) {
	b := budgetOf(100_000)
	first := newTransfer(b, Callers, at(0))
	second := newTransfer(b, Callers, at(100*time.Millisecond))
	for _, x := range []*transfer{first, second} {
		_, ok := b.charge(x, 50_000+freeBytes, at(200*time.Millisecond))
		assert.Assert(t, ok)
	}
	next := newTransfer(b, Callers, at(900*time.Millisecond))
	given, ok := b.charge(next, 10_000+freeBytes, at(time.Second))
	assert.Assert(t, !ok && len(given) == 0, "both may be ordinary")
	given, ok = b.charge(next, 10_000+freeBytes, at(1050*time.Millisecond))
	assert.Assert(t, ok && len(given) == 1 && given[0] == first, "the oldest one is given up")
	assert.Equal(t, first.givenUp, reasonBudget)
	assert.Equal(t, b.accounts[Callers].held, int64(60_000))
	_, ok = b.charge(first, 60_000, at(1100*time.Millisecond))
	assert.Assert(t, !ok, "a body that was given up gets no more")
}

// Callers must not take what workers and operators need.
func TestClassesHaveSeparateBudgets(t *testing.T) {
	b := budgetOf(100_000)
	c := newTransfer(b, Callers, at(0))
	_, ok := b.charge(c, 100_000+freeBytes, at(0))
	assert.Assert(t, ok)
	for _, class := range []Class{Workers, Operators} {
		given, ok := b.charge(newTransfer(b, class, at(0)), 100_000+freeBytes, at(time.Minute))
		assert.Assert(t, ok && len(given) == 0, class)
	}
	assert.Equal(t, c.givenUp, reasonNone)
}

// A body that has been read is being served; its bytes count and it must not be given up.
func TestBodiesInServiceAreNotGivenUp(t *testing.T) {
	b := budgetOf(100_000)
	c := newTransfer(b, Callers, at(0))
	_, ok := b.charge(c, 100_000+freeBytes, at(0))
	assert.Assert(t, ok)
	b.endReading(c)
	n := newTransfer(b, Callers, at(0))
	_, ok = b.charge(n, 10_000, at(time.Minute))
	assert.Assert(t, !ok)
	_, ok = b.charge(n, freeBytes, at(time.Minute))
	assert.Assert(t, ok, "an ordinary body needs nothing of the budget")
	b.release(c)
	b.release(c)
	_, ok = b.charge(n, 10_000, at(time.Minute))
	assert.Assert(t, ok)
}

// Bodies that hold nothing are left alone, since giving them up frees nothing.
func TestBodiesWithoutChargedBytesAreNotGivenUp(t *testing.T) {
	b := budgetOf(100_000)
	small := newTransfer(b, Callers, at(0))
	_, ok := b.charge(small, freeBytes, at(0))
	assert.Assert(t, ok)
	large := newTransfer(b, Callers, at(0))
	_, ok = b.charge(large, 100_000, at(0))
	assert.Assert(t, ok)
	given, ok := b.charge(newTransfer(b, Callers, at(0)), 100_000, at(time.Minute))
	assert.Assert(t, ok && len(given) == 1 && given[0] == large)
}

// A body that needs more while it is itself the oldest is the one to go.
func TestOldestBodyIsGivenUpForItself(t *testing.T) {
	b := budgetOf(100_000)
	old, young := newTransfer(b, Callers, at(0)), newTransfer(b, Callers, at(59*time.Second))
	for _, x := range []*transfer{old, young} {
		_, ok := b.charge(x, 50_000+freeBytes, at(59*time.Second))
		assert.Assert(t, ok)
	}
	given, ok := b.charge(old, 60_000+freeBytes, at(59*time.Second))
	assert.Assert(t, !ok && len(given) == 1 && given[0] == old)
	assert.Equal(t, b.accounts[Callers].held, int64(50_000))
	given, ok = b.charge(young, 200_000, at(59*time.Second))
	assert.Assert(t, !ok && len(given) == 0, "no body is given up for one that has no room at all")
}

// A rate must bound how long a body occupies a connection, and must not meet a body whose
// reader is slow.
func TestSlowBodiesAreGivenUpAfterGrace(t *testing.T) {
	rows := []struct {
		name     string
		received int64
		paused   time.Duration
		now      time.Duration
		slow     bool
	}{
		{"nothing within the grace period", 0, 0, 5 * time.Second, false},
		{"nothing after it", 0, 0, 5100 * time.Millisecond, true},
		{"at the rate", 10_000, 0, 15 * time.Second, false},
		{"below the rate", 9_999, 0, 15 * time.Second, true},
		{"a reader that was busy", 9_999, time.Second, 15 * time.Second, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := budgetOf(100_000)
			x := newTransfer(b, Callers, at(0))
			x.received.Store(row.received)
			x.paused = row.paused
			given := b.sweep(at(row.now))
			assert.Equal(t, len(given) == 1, row.slow)
			assert.Equal(t, b.empty(), row.slow)
		})
	}
	b := budgetOf(100_000)
	x := newTransfer(b, Callers, at(0))
	x.pausedAt = at(time.Second)
	assert.Equal(t, len(b.sweep(at(time.Hour))), 0, "a reader that is busy now")
}

// A response that its client does not read must make room as a body does, and no rate applies
// to it, since none of its bytes are received.
func TestUnreadResponseIsGivenUp(t *testing.T) {
	b := budgetOf(100_000)
	r := &transfer{class: Callers, response: true}
	b.begin(r, at(0))
	_, ok := b.charge(r, 100_000, at(0))
	assert.Assert(t, ok)
	assert.Equal(t, len(b.sweep(at(time.Hour))), 0)
	given, ok := b.charge(newTransfer(b, Callers, at(time.Hour)), 50_000, at(time.Hour))
	assert.Assert(t, ok && len(given) == 1)
	assert.Equal(t, r.givenUp, reasonUnread)
}
