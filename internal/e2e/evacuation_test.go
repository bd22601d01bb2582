package e2e

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/standin"
)

const (
	evacuateWithin = 5 * time.Second // after the acknowledgement
	openDomain     = "hvolsvollur"
	closedDomain   = "selfoss"
)

// evacuate calls until the begin of the evacuation is acknowledged and returns that time.
func (c *cell) evacuate(via ...*process) time.Time {
	c.t.Helper()
	c.await("an acknowledged evacuation", func() error {
		_, err := c.clientOf(c.operator, via...).Evacuate(context.Background(), closedDomain)
		return err
	})
	return time.Now()
}

func (c *cell) finishEvacuation(via ...*process) {
	c.t.Helper()
	c.await("an acknowledged end of the evacuation", func() error {
		_, err := c.clientOf(c.operator, via...).FinishEvacuation(context.Background(), closedDomain)
		return err
	})
}

// assertNothingBegins checks that no event of a kind at the given worker or executor lies between
// the permitted time after the acknowledgement and end.
func assertNothingBegins(t *testing.T, events []standin.Event, kind standin.EventKind, at string, acknowledged, end time.Time) {
	t.Helper()
	before, other := 0, 0
	for _, e := range events {
		if e.Kind != kind {
			continue
		}
		if e.Worker != at && e.Executor != at {
			if e.At > acknowledged.Add(evacuateWithin).UnixNano() {
				other++
			}
			continue
		}
		if e.At < acknowledged.UnixNano() {
			before++
		}
		late := e.At > acknowledged.Add(evacuateWithin).UnixNano() && e.At < end.UnixNano()
		assert.Assert(t, !late, "%s at %s %s after the acknowledgement", kind, at, time.Unix(0, e.At).Sub(acknowledged))
	}
	assert.Assert(t, before > 0 && other > 0, "%d before at %s, %d later elsewhere", before, at, other)
}

// Guards against a start in an evacuated domain by a leader that is killed right after the
// acknowledgement, by the next one, or by an entry that holds unconfirmed starts.
func TestNoTaskStartsInEvacuatedDomain(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startStandin("worker", "w1", c.processes, "--task-time", "20ms")
	c.startStandin("worker", "w2", c.processes, "--task-time", "20ms", "--failure-domain", openDomain)
	c.awaitWorkers(2)
	entry := c.processes[3]
	cl := c.clientOf(c.keys["stands"], c.processes...)
	jobs := 0
	submit := func(until time.Time) {
		for ; time.Now().Before(until); jobs++ {
			submitUntilAcknowledged(cl, fmt.Sprintf("evacuation-%d", jobs))
		}
	}
	submit(time.Now().Add(2 * time.Second))
	leader := c.leader(entry)
	acknowledged := c.evacuate(entry)
	leader.kill()
	submit(acknowledged.Add(evacuateWithin + 3*time.Second))
	st, err := c.clientOf(c.operator, entry).Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, len(st.Evacuations) == 1 && st.Evacuations[0].Domain == closedDomain, "%+v", st.Evacuations)
	assertNothingBegins(t, c.checkHistory(), standin.EventStart, "w1", acknowledged, time.Now())
}

// Guards against a request that is sent to an executor of an evacuated domain, also by an entry
// that is frozen while the evacuation begins, and against one that gets none after the end.
func TestExecutorsOfEvacuatedDomainReceiveNoNewRequests(t *testing.T) {
	c := newCell(t, shape{control: 1, entries: 2})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startExecutors(1)
	y0 := c.startStandin("executor", "y0", c.processes, "--service", "fit", "--listen", "127.0.0.1:0", "--failure-domain", openDomain)
	c.awaitWorkers(2)
	l := c.startLoad(6, func(i int) []*process { return []*process{c.processes[i%3]} }, "standin run=10ms")
	c.awaitRequests(l, 300)
	frozen := c.processes[2]
	frozen.freeze()
	acknowledged := c.evacuate(c.processes[0])
	time.Sleep(evacuateWithin - time.Second)
	frozen.resume()
	time.Sleep(4 * time.Second)
	end := time.Now()
	c.finishEvacuation(c.processes[0])
	y0.signal(syscall.SIGTERM)
	c.await("a request at x0 after the end", func() error {
		_, err := c.clientOf(c.keys["stands"]).Request(context.Background(), "fit", client.RequestOptions{Deadline: model.Duration(2 * time.Second)})
		if err != nil {
			return err
		}
		for _, e := range c.checkHistory() {
			if e.Kind == standin.EventRequestBegin && e.Executor == "x0-x" && e.At > end.UnixNano() {
				return nil
			}
		}
		return errors.New("none has begun there")
	})
	c.checkOutcomes(l.end())
	assertNothingBegins(t, c.checkHistory(), standin.EventRequestBegin, "x0-x", acknowledged, end)
}
