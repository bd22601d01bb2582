package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstDemandCoversDeadlineOfWaiters(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &teamPool{}
	deadline := now.Add(20 * time.Second)
	a.recordDuration(deadline.Sub(now))
	a.waiters = append(a.waiters, &waiter{deadline: deadline, ready: make(chan struct{})})
	a.decay(now, time.Second)
	d := a.demand("stands", 1, now, time.Second)
	a.applyGrant(now, &d, Grant{Seq: 1, Permits: 1, LeaseMS: 3000}, now)
	assert.Equal(t, a.inUse, int64(1))
}
