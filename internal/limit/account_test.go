package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTheFirstDemandCoversTheDeadlineOfItsWaiters(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &account{}
	deadline := now.Add(20 * time.Second)
	a.noteLife(deadline.Sub(now))
	a.waiters = append(a.waiters, &waiter{deadline: deadline, ready: make(chan struct{})})
	a.decay(now, time.Second)
	d := a.demand("stands", 1, now, time.Second)
	a.grant(now, &d, Grant{Seq: 1, Permits: 1, LeaseMS: 3000}, now)
	assert.Equal(t, a.inUse, int64(1))
}
