package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// overloadHold is how long new workflows are refused after a tick was late.
	overloadHold = 100 * time.Millisecond
	// overloadRetryAfter is the advice with such a refusal.
	overloadRetryAfter = 500 * time.Millisecond
)

// overload tells, by how late ticks are handled, that the process gets too little
// processor time for its load: heartbeats of the group then wait as long, several times
// a round, and the leader could lose its quorum.
type overload struct {
	maxDelay time.Duration // how late a tick may be handled; zero: any time
	until    time.Time     // new workflows are refused until then
}

// observe records that a tick that was due at the given time is handled at now. It
// reports whether the overload begins with it.
func (o *overload) observe(due, now time.Time) (begins bool) {
	if o.maxDelay == 0 || now.Sub(due) <= o.maxDelay {
		return false
	}
	begins = !o.active(now)
	o.until = now.Add(overloadHold)
	return begins
}

// active reports whether the process is overloaded at now.
func (o *overload) active(now time.Time) bool { return now.Before(o.until) }

// admitWorkflow returns an error of kind QueueFull if a new workflow cannot be taken now.
// A workflow that is known, or about to be committed, is not new.
func (l *leader) admitWorkflow(id model.WorkflowID) error {
	if !l.c.overload.active(time.Now()) || l.submitting[id] > 0 || l.c.machine.Workflow(id) != nil {
		return nil
	}
	err := errkind.New(errkind.QueueFull, "the leader has too little processor time for new workflows; retry after the given delay")
	return errkind.WithRetryAfter(err, overloadRetryAfter)
}
