package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
)

// testPool returns a pool of n executors with one slot each, all taken.
func testPool(n, maxQueue int, now *time.Time) *pool {
	p := &pool{
		service:      testService,
		maxQueue:     maxQueue,
		owns:         func(*executor, time.Time, time.Time) bool { return true },
		leased:       func(time.Time) bool { return true },
		now:          func() time.Time { return *now },
		onIdle:       func(owner.Grant) {},
		metrics:      newOwnerMetrics(nil),
		meanSlotTime: 100 * time.Millisecond,
	}
	for i := range n {
		x := newExecutor(model.ExecutorSpec{ID: fmt.Sprint(i), Slots: 1}, 1, transportTimeouts{})
		x.inUse = 1
		p.executors = append(p.executors, x)
	}
	return p
}

func newWaiter(now time.Time, startIn, patience time.Duration) *waiter {
	return &waiter{startBy: now.Add(startIn), deadline: now.Add(time.Hour), patience: patience, repeatable: true, ready: make(chan waitResult, 1)}
}

func TestQueueOrderAndRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("the request that must start first is served first", func(t *testing.T) {
		p := testPool(1, 10, &now)
		late, soon := newWaiter(now, 9*time.Second, 0), newWaiter(now, 2*time.Second, 0)
		for _, w := range []*waiter{late, soon} {
			_, err := p.acquireSlot(w)
			assert.NilError(t, err)
		}
		p.releaseSlot(p.executors[0], 0)
		assert.Equal(t, (<-soon.ready).executor, p.executors[0])
		assert.Equal(t, len(late.ready), 0)
	})
	t.Run("a request that would wait too long is refused at once", func(t *testing.T) {
		p := testPool(1, 100, &now)
		for range 20 {
			_, err := p.acquireSlot(newWaiter(now, time.Minute, 0))
			assert.NilError(t, err)
		}
		_, err := p.acquireSlot(newWaiter(now.Add(0), time.Minute, 0))
		assert.NilError(t, err)
		_, err = p.acquireSlot(newWaiter(now, 90*time.Millisecond, 0))
		assert.Equal(t, errkind.Of(err), errkind.DeadlineBeforeStart)
		assert.Assert(t, errkind.RetryAfter(err) >= 100*time.Millisecond)
	})
	t.Run("a full queue refuses its most patient request", func(t *testing.T) {
		p := testPool(1, 2, &now)
		patient, urgent := newWaiter(now, time.Minute, time.Minute), newWaiter(now, time.Minute, time.Second)
		for _, w := range []*waiter{patient, urgent} {
			_, err := p.acquireSlot(w)
			assert.NilError(t, err)
		}
		_, err := p.acquireSlot(newWaiter(now, time.Minute, 2*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, errkind.Of((<-patient.ready).err), errkind.Overloaded)
		_, err = p.acquireSlot(newWaiter(now, time.Minute, time.Hour))
		assert.Equal(t, errkind.Of(err), errkind.Overloaded)
	})
	t.Run("a request that waited too long is not started", func(t *testing.T) {
		p := testPool(1, 10, &now)
		w := newWaiter(now, time.Second, 0)
		_, err := p.acquireSlot(w)
		assert.NilError(t, err)
		now = now.Add(2 * time.Second)
		p.releaseSlot(p.executors[0], 0)
		assert.Equal(t, errkind.Of((<-w.ready).err), errkind.DeadlineBeforeStart)
	})
	t.Run("a draining executor gets no request", func(t *testing.T) {
		p := testPool(2, 10, &now)
		p.executors[0].draining = true
		p.releaseSlot(p.executors[0], 0)
		x, err := p.acquireSlot(newWaiter(now, time.Minute, 0))
		assert.NilError(t, err)
		assert.Assert(t, x == nil)
	})
}

func TestOutlierEjectionIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	p := testPool(10, 10, &now)
	for _, x := range p.executors {
		for range ejectAfterFailures {
			p.recordResult(x, false)
		}
	}
	countEjected := func() (n int) {
		for _, x := range p.executors {
			if x.health.ejected(now) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, countEjected(), 3)
	now = now.Add(minEjectTime)
	assert.Equal(t, countEjected(), 0)
	x := p.executors[0]
	assert.Equal(t, x.capacity(), int32(1))
	assert.Assert(t, x.health.onTrial)
	p.recordResult(x, false)
	assert.Assert(t, x.health.ejected(now.Add(minEjectTime)), "the executor was not ejected for longer after a failed trial")
	p.recordResult(x, true)
	assert.Assert(t, !x.health.ejected(now))
}

func TestRetryBudgetBoundsRetriesBySuccesses(t *testing.T) {
	b := NewRetryBudget(0.2, 10)
	retries := 0
	for range 1000 {
		b.RecordSuccess()
		for b.TryWithdraw() {
			retries++
		}
	}
	assert.Assert(t, retries <= 10+200, "got %d retries", retries)
	assert.Assert(t, retries >= 190, "got %d retries", retries)
}
