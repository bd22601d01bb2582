package entry

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	callerTimeout  = 2900 * time.Millisecond // of a caller, less the margin for the response
	callerAttempts = 5                       // that a caller makes while the responses allow another
)

// submission is what one caller received.
type submission struct {
	began    time.Duration // after the start of the load
	attempts []attempt
}

// attempt is one call of a caller. Each has an ID of its own, so that it shows which
// of them was stored.
type attempt struct {
	id  model.WorkflowID
	err error
}

// load sends submissions through entries at a rate and collects what their callers receive.
type load struct {
	mu          sync.Mutex
	submissions []*submission
	callers     sync.WaitGroup
}

func (l *load) run(entries []*fakeEntry, rate int, d time.Duration) {
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := 0; time.Since(began) < d; i++ {
		<-tick.C
		s := &submission{began: time.Since(began)}
		l.mu.Lock()
		l.submissions = append(l.submissions, s)
		l.mu.Unlock()
		l.callers.Go(func() { s.call(entries[i%len(entries)], i) })
	}
}

// call submits until the response allows no further attempt.
func (s *submission) call(e *fakeEntry, n int) {
	for k := range callerAttempts {
		id := model.WorkflowID(fmt.Sprintf("%d-%d", n, k))
		err := e.submit(id, callerTimeout)
		s.attempts = append(s.attempts, attempt{id, err})
		if err == nil || !errkind.RowOf(errkind.Of(err)).NotRun {
			return
		}
		time.Sleep(errkind.RetryAfter(err))
	}
}

// outcome is how the submissions of a period ended.
type outcome struct {
	accepted, retried, unknown, refused int
	unknownUnstored                     int // answered as unknown and not stored
}

// outcomes counts the submissions that began from from until to, and fails if one that was
// answered as not run has been stored.
func (l *load) outcomes(t *testing.T, c *fakeCell, from, to time.Duration) outcome {
	t.Helper()
	var out outcome
	for _, s := range l.submissions {
		for _, a := range s.attempts {
			if errkind.RowOf(errkind.Of(a.err)).NotRun && a.err != nil && c.isStored(a.id) {
				t.Errorf("submission %s was answered with %v and is stored", a.id, a.err)
			}
			if a.err == nil && !c.isStored(a.id) {
				t.Errorf("submission %s was accepted and is not stored", a.id)
			}
		}
		if s.began < from || s.began >= to {
			continue
		}
		if len(s.attempts) > 1 {
			out.retried++
		}
		last := s.attempts[len(s.attempts)-1]
		switch {
		case last.err == nil:
			out.accepted++
		case errkind.RowOf(errkind.Of(last.err)).NotRun:
			out.refused++
		default:
			out.unknown++
			if !c.isStored(last.id) {
				out.unknownUnstored++
			}
		}
	}
	return out
}

// runOutage sends 80 submissions a second, beside the calls of heartbeats, while all control
// processes lose power for d.
func runOutage(t *testing.T, entries int, d time.Duration) outcome {
	t.Helper()
	const before, after = time.Second, 2 * time.Second
	c := newFakeCell(t, 5)
	var all []*fakeEntry
	for range entries {
		e := c.newEntry(5)
		e.sendHeartbeats(t)
		all = append(all, e)
	}
	var l load
	var fault sync.WaitGroup
	fault.Go(func() {
		time.Sleep(before)
		c.loseAllPower(d)
	})
	l.run(all, 80, before+d+after)
	fault.Wait()
	l.callers.Wait()
	return l.outcomes(t, c, before-100*time.Millisecond, before+d)
}

// Without the check and the suspicion, each entry goes on handing submissions to the lost
// leader for 1.5 s, and their callers can't try again: of 34 entries, 137 of 320 callers.
func TestCallersMayTryAgainWhileAllControlProcessesAreLost(t *testing.T) {
	o := runOutage(t, 12, 4*time.Second)
	t.Logf("%+v", o)
	sent := o.accepted + o.unknown + o.refused
	assert.Assert(t, o.unknown <= sent/10, "%d of %d callers do not know whether their submission was stored", o.unknown, sent)
}

// Measures the outage of a deployment with 34 entries. It takes half a minute and asserts
// nothing about numbers.
func TestOutageOfLargeDeployment(t *testing.T) {
	if os.Getenv("FILBERTMAST_OUTAGE") == "" {
		t.Skip("set FILBERTMAST_OUTAGE to measure")
	}
	for _, d := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		t.Logf("%s: %+v", d, runOutage(t, 34, d))
	}
}
