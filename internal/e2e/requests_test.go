package e2e

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/internal/standin"
)

// outcome is the result of one request as its caller received it.
type outcome struct {
	key           string
	notRepeatable bool
	status        int
	body          errkind.Body // set if err is not nil
	err           error
}

// load sends requests until it is stopped and records their outcomes.
type load struct {
	c        *cell
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
}

// startLoad runs callers that each send one request after another through
// their own entries. Every second request is marked as not repeatable.
func (c *cell) startLoad(callers int, entriesOf func(caller int) []*process, payload string) *load {
	l := &load{c: c, stop: make(chan struct{})}
	for i := range callers {
		cl := c.clientOf(c.keys["stands"], entriesOf(i)...)
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.send(cl, fmt.Sprintf("load-%d-%d", i, n), n%2 == 0, payload)
			}
		}()
	}
	return l
}

func (l *load) send(cl *client.Client, key string, notRepeatable bool, payload string) {
	answer, err := cl.Request(context.Background(), "fit", client.RequestOptions{
		Body: []byte(payload), NotRepeatable: notRepeatable, IdempotencyKey: key, Deadline: model.Duration(4 * time.Second)})
	t := outcome{key: key, notRepeatable: notRepeatable, err: err}
	if err != nil {
		t.body = client.BodyOf(err)
	} else {
		t.status = answer.Status
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, t)
}

// end stops the callers and returns the outcomes of their requests.
func (l *load) end() []outcome {
	close(l.stop)
	l.wg.Wait()
	return l.outcomes
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outcomes)
}

// awaitRequests waits until n more requests have an outcome.
func (c *cell) awaitRequests(l *load, n int) {
	c.t.Helper()
	want := l.count() + n
	c.await(fmt.Sprintf("%d requests with an outcome", want), func() error {
		if got := l.count(); got < want {
			return fmt.Errorf("%d requests have an outcome", got)
		}
		return nil
	})
}

// checkOutcomes compares the outcomes at the callers with what the executors ran.
// A killed process may leave outcomes unknown, but must not make them wrong.
func (c *cell) checkOutcomes(all []outcome) {
	c.t.Helper()
	runs := make(map[string]int)
	for _, e := range c.checkHistory() {
		if e.Kind == standin.EventRequestBegin {
			runs[e.Request]++
		}
	}
	kinds := make(map[string]int)
	for _, t := range all {
		n := runs[t.key]
		switch {
		case t.err == nil && t.status == 200:
			kinds["answered"]++
			assert.Assert(c.t, n >= 1, "%s succeeded but never ran", t.key)
		case t.body.NotRun:
			kinds[string(t.body.Kind)]++
			assert.Equal(c.t, n, 0, "%s was reported as %s and not run, but ran", t.key, t.body.Kind)
		default:
			kinds[string(t.body.Kind)]++
		}
		if t.notRepeatable {
			assert.Assert(c.t, n <= 1, "%s ran %d times", t.key, n)
		}
	}
	c.t.Logf("outcomes: %v", kinds)
}

// startExecutors starts n stand-in executors of the service "fit" and waits
// until a request succeeds.
func (c *cell) startExecutors(n int, extra ...string) []*process {
	c.t.Helper()
	var out []*process
	for i := range n {
		args := append([]string{"--service", "fit", "--listen", "127.0.0.1:0"}, extra...)
		out = append(out, c.startStandin("executor", fmt.Sprintf("x%d", i), c.processes, args...))
	}
	cl := c.clientOf(c.keys["stands"])
	c.await("a request that succeeds", func() error {
		_, err := cl.Request(context.Background(), "fit", client.RequestOptions{Deadline: model.Duration(2 * time.Second)})
		return err
	})
	return out
}

// TestEntryFailsDuringRequests kills one entry that owns executors and then
// freezes another. No request that is not repeatable may run twice, and no
// request that was reported as not run may have run.
func TestEntryFailsDuringRequests(t *testing.T) {
	c := newCell(t, shape{control: 1, entries: 3})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startExecutors(4)
	l := c.startLoad(8, func(int) []*process { return c.processes }, "standin run=20ms")
	c.awaitRequests(l, 100)
	c.processes[1].kill()
	c.awaitRequests(l, 100)
	c.processes[2].freeze()
	c.awaitRequests(l, 100)
	c.processes[1].start()
	c.awaitLeaseExpiry(c.processes[2], c.processes[0])
	c.processes[2].resume()
	c.awaitRequests(l, 200)
	c.checkOutcomes(l.end())
}

// awaitLeaseExpiry waits until via reports that the entry has not registered for
// twice its request lease, so that its leases have expired.
func (c *cell) awaitLeaseExpiry(entry, via *process) {
	c.t.Helper()
	lease := entry.settings.Limits.RequestLease
	c.await("the leases of "+entry.name+" have expired", func() error {
		st, err := c.clientOf(c.operator, via).Status(context.Background())
		if err != nil {
			return err
		}
		for _, e := range st.Entries {
			if e.ID == entry.name && e.AgeMS < 2*lease.Millis() {
				return fmt.Errorf("last registered %d ms ago", e.AgeMS)
			}
		}
		return nil
	})
}

// TestLeaderFailsDuringRequests kills the leader, whose process is also an entry,
// during journaled requests.
func TestLeaderFailsDuringRequests(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startExecutors(4)
	entry := c.processes[3]
	leader := c.leader(entry)
	l := c.startLoad(8, func(int) []*process { return c.others(leader) }, "standin run=20ms")
	c.awaitRequests(l, 100)
	leader.kill()
	c.awaitRequests(l, 300)
	leader.start()
	c.awaitRequests(l, 100)
	c.checkOutcomes(l.end())
}

// TestRollingRestartInterruptsNoRequest restarts every process in turn under load.
// Callers continue through the other entries, and no request may fail.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startExecutors(4)
	l := c.startLoad(12, func(int) []*process { return c.processes }, "standin run=400ms")
	c.awaitRequests(l, 30)
	for _, p := range c.processes {
		assert.NilError(t, p.terminate(), p.name)
		p.start()
		c.awaitReady(p)
		c.awaitRequests(l, 30)
	}
	all := l.end()
	c.checkOutcomes(all)
	for _, v := range all {
		assert.NilError(t, v.err, v.key)
	}
}

// TestTeamLimitHoldsAcrossEntries sends requests of 16 callers through eight
// entries for a team with a limit of two. At most two requests may run at any
// moment.
func TestTeamLimitHoldsAcrossEntries(t *testing.T) {
	c := newCell(t, shape{control: 1, entries: 7})
	d := c.baseDeclarations()
	d.Teams[0].MaxRunning = 2
	c.apply(d)
	c.awaitVersion()
	c.startExecutors(3)
	l := c.startLoad(16, func(i int) []*process { return c.processes[i%8 : i%8+1] }, "standin run=30ms")
	c.awaitRequests(l, 60)
	c.processes[5].kill()
	c.awaitRequests(l, 60)
	c.checkOutcomes(l.end())
	events := c.checkHistory()
	assert.Assert(t, maxConcurrent(events) <= 2, "%d requests ran at once", maxConcurrent(events))
}

// maxConcurrent returns the maximum number of requests that ran at one moment.
func maxConcurrent(events []standin.Event) int {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b standin.Event) int { return cmp.Compare(a.At, b.At) })
	now, most := 0, 0
	for _, e := range sorted {
		switch e.Kind {
		case standin.EventRequestBegin:
			now++
		case standin.EventRequestEnd:
			now--
		}
		most = max(most, now)
	}
	return most
}

// TestMisbehavingExecutors runs two correct executors and five faulty ones. Every
// caller must get the complete response to its own request or a correct error.
func TestMisbehavingExecutors(t *testing.T) {
	c := newCell(t, shape{control: 1, entries: 1, adjust: func(s *settings.Settings) {
		s.Limits.RequestTimeout = model.Duration(2 * time.Second)
	}})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startExecutors(2)
	for i, behave := range []string{"refuse", "never-answer", "cut", "wrong-id", "fail-some"} {
		c.startStandin("executor", fmt.Sprintf("bad%d", i), c.processes, "--service", "fit", "--listen", "127.0.0.1:0", "--behave", behave)
	}
	l := c.startLoad(8, func(int) []*process { return c.processes }, "standin run=5ms")
	c.awaitRequests(l, 400)
	c.checkOutcomes(l.end())
}

// TestLeavingTargetReceivesNoNewRequests terminates an executor under load. It may
// begin no request more than two seconds later, and no request may fail.
func TestLeavingTargetReceivesNoNewRequests(t *testing.T) {
	c := newCell(t, shape{control: 1, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	xs := c.startExecutors(2)
	l := c.startLoad(4, func(int) []*process { return c.processes }, "standin run=10ms")
	c.awaitRequests(l, 100)
	left := time.Now()
	xs[0].signal(syscall.SIGTERM)
	<-xs[0].exited
	c.awaitRequests(l, 100)
	all := l.end()
	c.checkOutcomes(all)
	for _, v := range all {
		assert.NilError(t, v.err, v.key)
	}
	for _, e := range c.checkHistory() {
		if e.Kind == standin.EventRequestBegin && e.Executor == "x0-x" {
			assert.Assert(t, e.At < left.Add(2*time.Second).UnixNano(), "a request began more than two seconds after the target began to leave")
		}
	}
}
