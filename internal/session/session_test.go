package session

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	testTimeout = 30 * time.Second
	testLease   = 15 * time.Second
)

// fakeLeader is an Upstream whose calls a test can block and refuse.
type fakeLeader struct {
	mu       sync.Mutex
	session  uint64
	renewals [][]Renewal
	reports  []api.Report
	err      error
	refuse   map[model.WorkerID]error
	block    chan struct{} // when set, Announce and Renew wait until it is closed
	entered  chan struct{} // receives a value at each Announce and Renew
	onCall   func()        // runs inside Announce and Renew
}

func (f *fakeLeader) enter() {
	f.mu.Lock()
	block, onCall := f.block, f.onCall
	f.mu.Unlock()
	select {
	case f.entered <- struct{}{}:
	default:
	}
	if onCall != nil {
		onCall()
	}
	if block != nil {
		<-block
	}
}

func (f *fakeLeader) Announce(context.Context, *model.WorkerSpec) (api.AnnounceAnswer, error) {
	f.enter()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return api.AnnounceAnswer{}, f.err
	}
	f.session++
	return api.AnnounceAnswer{Session: f.session, LeaseMS: testLease.Milliseconds()}, nil
}

func (f *fakeLeader) Renew(_ context.Context, batch []Renewal) ([]RenewalResult, error) {
	f.enter()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewals = append(f.renewals, batch)
	out := make([]RenewalResult, len(batch))
	for i, r := range batch {
		out[i] = RenewalResult{Lease: testLease, Err: f.refuse[r.Worker]}
	}
	return out, f.err
}

func (f *fakeLeader) Report(_ context.Context, _ model.WorkerID, _ uint64, reports []api.Report) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.reports = append(f.reports, reports...)
	}
	return f.err
}

// clock is a clock that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newManager(change func(*Options)) (*Manager, *fakeLeader, *clock) {
	f := &fakeLeader{entered: make(chan struct{}, 16), refuse: make(map[model.WorkerID]error)}
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	o := Options{
		Upstream: f, Lease: testLease, Now: c.Now, MaxBatchDelay: time.Millisecond,
		Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry(),
	}
	if change != nil {
		change(&o)
	}
	return New(o), f, c
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func announce(t testing.TB, m *Manager, id model.WorkerID) uint64 {
	t.Helper()
	a, err := m.Announce(testContext(t), &model.WorkerSpec{ID: id})
	assert.NilError(t, err)
	return a.Session
}

var task1 = model.TaskID{Job: 1}

func command(op api.CommandOp, fence uint64) api.Command {
	return api.Command{Op: op, Task: task1, Fence: model.Fence{Term: 1, Index: fence}}
}

func report(state api.ReportState, fence uint64) api.Report {
	return api.Report{Task: task1, Fence: model.Fence{Term: 1, Index: fence}, State: state}
}

// poll returns the commands that are due.
func poll(t testing.TB, m *Manager, session uint64) []string {
	t.Helper()
	c, err := m.Commands(testContext(t), "w", session, 0)
	assert.NilError(t, err)
	out := []string{}
	for _, x := range c.Commands {
		out = append(out, fmt.Sprintf("%s %d", x.Op, x.Fence.Index))
	}
	return out
}

func TestHeartbeatsShareOneCallToTheLeader(t *testing.T) {
	const workers = 20
	m, f, _ := newManager(func(o *Options) {
		o.MaxBatchSize = workers
		o.MaxBatchDelay = testTimeout
	})
	var wg sync.WaitGroup
	for i := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := m.Heartbeat(testContext(t), model.WorkerID(fmt.Sprint(i)), &api.Heartbeat{Session: 1})
			assert.Check(t, err == nil)
			assert.Check(t, a.LeaseMS == testLease.Milliseconds())
		}()
	}
	wg.Wait()
	assert.Equal(t, len(f.renewals), 1)
}

func TestHeartbeatGetsNoEarlierGrant(t *testing.T) {
	m, f, _ := newManager(nil)
	f.block = make(chan struct{})
	results := make(chan error, 2)
	heartbeat := func() {
		_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: 1})
		results <- err
	}
	go heartbeat()
	<-f.entered // the first call has reached the leader
	go heartbeat()
	<-f.entered // the second heartbeat has a call of its own
	close(f.block)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
	assert.Equal(t, len(f.renewals), 2)
}

func TestHeartbeatReturnsLeaderError(t *testing.T) {
	m, f, _ := newManager(nil)
	f.refuse["w"] = errkind.New(errkind.StaleLease, "over")
	_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: 1})
	assert.Equal(t, errkind.Of(err), errkind.StaleLease)
	_, err = m.Heartbeat(testContext(t), "other", &api.Heartbeat{Session: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(m.Sessions()), 1)
	f.err = errkind.New(errkind.NoLeader, "election")
	_, err = m.Heartbeat(testContext(t), "other", &api.Heartbeat{Session: 1})
	assert.Equal(t, errkind.Of(err), errkind.NoLeader)
	assert.Equal(t, len(m.Sessions()), 1) // the lease is still valid
}

func TestSessionAttachesWithItsCommands(t *testing.T) {
	m, f, _ := newManager(nil)
	_, err := m.Commands(testContext(t), "w", 7, 0)
	assert.Equal(t, errkind.Of(err), errkind.UnknownWorker)
	// The leader's commands reach this entry before its answer to the renewal.
	f.onCall = func() { m.Deliver("w", 7, []api.Command{command(api.CommandStart, 5)}) }
	_, err = m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: 7})
	assert.NilError(t, err)
	assert.Assert(t, f.renewals[0][0].Attach)
	assert.DeepEqual(t, poll(t, m, 7), []string{"start 5"})
	f.onCall = nil
	_, err = m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: 7})
	assert.NilError(t, err)
	assert.Assert(t, !f.renewals[1][0].Attach)
}

func TestCommandsBeforeAnnounceAnswerAreKept(t *testing.T) {
	m, f, _ := newManager(nil)
	f.onCall = func() { m.Deliver("w", 1, []api.Command{command(api.CommandStart, 5)}) }
	session := announce(t, m, "w")
	assert.DeepEqual(t, poll(t, m, session), []string{"start 5"})
}

func TestCommandIsResentUntilReportAcknowledgesIt(t *testing.T) {
	m, _, c := newManager(nil)
	session := announce(t, m, "w")
	m.Deliver("w", session, []api.Command{command(api.CommandStart, 5)})
	assert.DeepEqual(t, poll(t, m, session), []string{"start 5"})
	assert.DeepEqual(t, poll(t, m, session), []string{})
	c.advance(resendAfter)
	assert.DeepEqual(t, poll(t, m, session), []string{"start 5"})
	r := &api.Reports{Session: session, Reports: []api.Report{report(api.ReportStarted, 5)}}
	assert.NilError(t, m.Report(testContext(t), "w", r))
	c.advance(resendAfter)
	assert.DeepEqual(t, poll(t, m, session), []string{})
}

func TestUncommittedReportAcknowledgesNoCommand(t *testing.T) {
	m, f, c := newManager(nil)
	session := announce(t, m, "w")
	m.Deliver("w", session, []api.Command{command(api.CommandStart, 5)})
	f.err = errkind.New(errkind.NoLeader, "election")
	r := &api.Reports{Session: session, Reports: []api.Report{report(api.ReportStarted, 5)}}
	assert.Equal(t, errkind.Of(m.Report(testContext(t), "w", r)), errkind.NoLeader)
	c.advance(resendAfter)
	assert.DeepEqual(t, poll(t, m, session), []string{"start 5"})
}

func TestLateRepeatedAndReorderedDeliveries(t *testing.T) {
	start, stop := api.CommandStart, api.CommandStop
	for name, row := range map[string]struct {
		deliver []api.Command
		want    []string
	}{
		"a repeated start is sent once":                    {[]api.Command{command(start, 5), command(start, 5)}, []string{"start 5"}},
		"a stop replaces the start of its attempt":         {[]api.Command{command(start, 5), command(stop, 5)}, []string{"stop 5"}},
		"a start after the stop of its attempt is dropped": {[]api.Command{command(stop, 5), command(start, 5)}, []string{"stop 5"}},
		"a command of an older attempt is dropped":         {[]api.Command{command(start, 6), command(stop, 5)}, []string{"start 6"}},
		"a newer attempt replaces an older one":            {[]api.Command{command(stop, 5), command(start, 6)}, []string{"start 6"}},
		"a stop replaces a checkpoint, a start does not":   {[]api.Command{command(api.CommandCheckpoint, 5), command(start, 5), command(stop, 5)}, []string{"stop 5"}},
		"a throttle is sent in addition to the start":      {[]api.Command{command(start, 5), command(api.CommandThrottle, 5)}, []string{"start 5", "throttle 5"}},
		"a throttle of an older attempt is dropped":        {[]api.Command{command(start, 6), command(api.CommandThrottle, 5)}, []string{"start 6"}},
		"a throttle for a running task is sent alone":      {[]api.Command{command(api.CommandThrottle, 5)}, []string{"throttle 5"}},
	} {
		t.Run(name, func(t *testing.T) {
			m, _, _ := newManager(nil)
			session := announce(t, m, "w")
			for _, c := range row.deliver {
				m.Deliver("w", session, []api.Command{c})
			}
			assert.DeepEqual(t, poll(t, m, session), row.want)
		})
	}
}

func TestEarlierSessionIsRejected(t *testing.T) {
	m, _, _ := newManager(nil)
	first := announce(t, m, "w")
	second := announce(t, m, "w")
	m.Deliver("w", first, []api.Command{command(api.CommandStart, 5)})
	assert.DeepEqual(t, poll(t, m, second), []string{})
	_, err := m.Commands(testContext(t), "w", first, 0)
	assert.Equal(t, errkind.Of(err), errkind.StaleLease)
	_, err = m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: first})
	assert.Equal(t, errkind.Of(err), errkind.StaleLease)
	err = m.Report(testContext(t), "w", &api.Reports{Session: first, Reports: []api.Report{report(api.ReportStarted, 5)}})
	assert.Equal(t, errkind.Of(err), errkind.StaleLease)
}

func TestReportsAreCommittedOnce(t *testing.T) {
	started, done, stopped := api.ReportStarted, api.ReportSucceeded, api.ReportStopped
	for name, row := range map[string]struct {
		send []api.Report
		want int
	}{
		"a repeated start is committed once":                    {[]api.Report{report(started, 5), report(started, 5)}, 1},
		"a repeated end is committed once":                      {[]api.Report{report(done, 5), report(done, 5)}, 1},
		"a start after the end of its attempt is not committed": {[]api.Report{report(done, 5), report(started, 5)}, 1},
		"an end of an older attempt is not committed":           {[]api.Report{report(started, 6), report(stopped, 5)}, 1},
		"a second end of one attempt is not committed":          {[]api.Report{report(done, 5), report(stopped, 5)}, 1},
		"start and end of one attempt are both committed":       {[]api.Report{report(started, 5), report(done, 5)}, 2},
		"the next attempt of the task is committed as well":     {[]api.Report{report(stopped, 5), report(started, 6)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			m, f, _ := newManager(nil)
			session := announce(t, m, "w")
			for _, r := range row.send {
				assert.NilError(t, m.Report(testContext(t), "w", &api.Reports{Session: session, Reports: []api.Report{r}}))
			}
			assert.Equal(t, len(f.reports), row.want)
		})
	}
}

func TestRepeatedReportAcknowledgesLateCommand(t *testing.T) {
	m, _, c := newManager(nil)
	session := announce(t, m, "w")
	r := &api.Reports{Session: session, Reports: []api.Report{report(api.ReportStarted, 5)}}
	assert.NilError(t, m.Report(testContext(t), "w", r))
	m.Deliver("w", session, []api.Command{command(api.CommandStart, 5)}) // late
	assert.DeepEqual(t, poll(t, m, session), []string{"start 5"})
	assert.NilError(t, m.Report(testContext(t), "w", r))
	c.advance(resendAfter)
	assert.DeepEqual(t, poll(t, m, session), []string{})
}

func TestReportOfUnknownSessionIsForwarded(t *testing.T) {
	m, f, _ := newManager(nil)
	assert.NilError(t, m.Report(testContext(t), "w", &api.Reports{Session: 3, Reports: []api.Report{report(api.ReportStarted, 5)}}))
	assert.Equal(t, len(f.reports), 1)
}

func TestLeavingWorkerGetsOnlyStops(t *testing.T) {
	m, f, _ := newManager(func(o *Options) { o.MaxBatchDelay = time.Hour })
	session := announce(t, m, "w")
	_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: session, Leaving: true})
	assert.NilError(t, err) // sent at once, without waiting for the batch
	assert.Assert(t, f.renewals[0][0].Leaving)
	m.Deliver("w", session, []api.Command{command(api.CommandStart, 5)})
	assert.DeepEqual(t, poll(t, m, session), []string{})
	m.Deliver("w", session, []api.Command{command(api.CommandStop, 5)})
	assert.DeepEqual(t, poll(t, m, session), []string{"stop 5"})
}

// Guards against a start that an entry without contact to the leader sends long after the leader
// has revoked it, and against one that is never sent although the leader delivers it again.
func TestStartIsNotSentLongAfterItsDelivery(t *testing.T) {
	m, _, c := newManager(nil)
	session := announce(t, m, "w")
	m.Deliver("w", session, []api.Command{command(api.CommandStart, 5)})
	c.advance(startValid)
	assert.DeepEqual(t, poll(t, m, session), []string{})
	m.Deliver("w", session, []api.Command{command(api.CommandStart, 5)})
	assert.DeepEqual(t, poll(t, m, session), []string{"start 5"})
	c.advance(startValid)
	assert.DeepEqual(t, poll(t, m, session), []string{})
	m.Deliver("w", session, []api.Command{command(api.CommandStop, 5)})
	c.advance(startValid)
	assert.DeepEqual(t, poll(t, m, session), []string{"stop 5"})
}

func TestAnnouncementsAreRateLimitedWithSpreadRetryAfter(t *testing.T) {
	m, _, _ := newManager(func(o *Options) { o.AnnounceRate = 10 })
	advice := make(map[time.Duration]bool)
	for i := range 30 {
		_, err := m.Announce(testContext(t), &model.WorkerSpec{ID: model.WorkerID(fmt.Sprint(i))})
		if i < 10 {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, errkind.Of(err), errkind.Overloaded)
		advice[errkind.RetryAfter(err)] = true
	}
	assert.Equal(t, len(advice), 20)
}

func TestSessionExpiresWithoutGrants(t *testing.T) {
	m, f, c := newManager(nil)
	session := announce(t, m, "w")
	c.advance(testLease)
	m.sweep()
	assert.Equal(t, len(m.Sessions()), 1)
	c.advance(time.Millisecond)
	f.err = errkind.New(errkind.NoLeader, "election")
	_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: session})
	assert.Equal(t, errkind.Of(err), errkind.NoLeader)
	m.sweep()
	assert.Equal(t, len(m.Sessions()), 0)
}

func TestFailedAnnouncementLeavesNoSession(t *testing.T) {
	m, f, _ := newManager(nil)
	f.err = errkind.New(errkind.NoLeader, "election")
	_, err := m.Announce(testContext(t), &model.WorkerSpec{ID: "w"})
	assert.Equal(t, errkind.Of(err), errkind.NoLeader)
	assert.Equal(t, len(m.sessions), 0)
}

func TestDrainCompletesBatchesAndRejectsNewCalls(t *testing.T) {
	m, f, _ := newManager(func(o *Options) { o.MaxBatchDelay = testTimeout })
	session := announce(t, m, "w")
	<-f.entered
	heartbeat := make(chan error, 1)
	go func() {
		_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: session})
		heartbeat <- err
	}()
	polled := make(chan error, 1)
	go func() {
		_, err := m.Commands(testContext(t), "w", session, testTimeout)
		polled <- err
	}()
	for joined := false; !joined; {
		m.mu.Lock()
		joined = m.batch != nil
		m.mu.Unlock()
	}
	assert.NilError(t, m.Drain(testContext(t)))
	assert.NilError(t, <-heartbeat)
	assert.Equal(t, errkind.Of(<-polled), errkind.Draining)
	_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: session})
	assert.Equal(t, errkind.Of(err), errkind.Draining)
	r := &api.Reports{Session: session, Reports: []api.Report{report(api.ReportStarted, 5)}}
	assert.NilError(t, m.Report(testContext(t), "w", r))
}

func TestCommandEndsLongPoll(t *testing.T) {
	m, _, _ := newManager(nil)
	session := announce(t, m, "w")
	got := make(chan int, 1)
	go func() {
		c, err := m.Commands(testContext(t), "w", session, testTimeout)
		assert.Check(t, err == nil)
		got <- len(c.Commands)
	}()
	m.Deliver("w", session, []api.Command{command(api.CommandStart, 5)})
	assert.Equal(t, <-got, 1)
}

func TestUsageIsReportedOnSufficientChange(t *testing.T) {
	m, f, _ := newManager(nil)
	session := announce(t, m, "w")
	for _, step := range []struct {
		name  string
		cpu   int64
		fence uint64
		err   error
		want  int
	}{
		{"the first value", 1000, 5, nil, 1},
		{"the same value", 1000, 5, nil, 0},
		{"a small change", 1099, 5, nil, 0},
		{"a change of a tenth that the leader does not receive", 1100, 5, errkind.New(errkind.NoLeader, "election"), 1},
		{"the same value again", 1100, 5, nil, 1},
		{"a decrease", 900, 5, nil, 1},
		{"another attempt", 900, 6, nil, 1},
	} {
		f.err = step.err
		u := api.TaskUsage{Task: task1, Fence: model.Fence{Term: 1, Index: step.fence}, Used: model.Resources{CPU: step.cpu}}
		_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: session, Usage: []api.TaskUsage{u}})
		assert.Equal(t, err == nil, step.err == nil)
		assert.Equal(t, len(f.renewals[len(f.renewals)-1][0].Usage), step.want, step.name)
	}
}

func TestAttachWakesEarlierPoll(t *testing.T) {
	m, f, _ := newManager(nil)
	f.block = make(chan struct{})
	heartbeat := make(chan error, 1)
	go func() {
		_, err := m.Heartbeat(testContext(t), "w", &api.Heartbeat{Session: 7})
		heartbeat <- err
	}()
	<-f.entered
	m.Deliver("w", 7, []api.Command{command(api.CommandStart, 5)})
	commands, changed, err := m.due("w", 7)
	assert.NilError(t, err)
	assert.Equal(t, len(commands), 0) // the leader has not answered yet
	close(f.block)
	assert.NilError(t, <-heartbeat)
	<-changed
	assert.DeepEqual(t, poll(t, m, 7), []string{"start 5"})
}

// Guards against a task that runs twice: a process that has been replaced shares a batch with its successor and gets its lease.
func TestHeartbeatOfEarlierSessionIsNotAnsweredByThatOfLaterOne(t *testing.T) {
	m, f, _ := newManager(func(o *Options) { o.MaxBatchSize, o.MaxBatchDelay = 2, time.Second })
	var wg sync.WaitGroup
	for _, session := range []uint64{5, 6} {
		b, i, err := m.addToBatch("w", &api.Heartbeat{Session: session})
		assert.NilError(t, err)
		wg.Go(func() {
			<-b.done
			assert.Check(t, b.renewals[i].Session == session, "the result is that of session %d", b.renewals[i].Session)
		})
	}
	wg.Wait()
	assert.Equal(t, len(f.renewals), 1)
}

// Guards against a task that runs twice: a delayed copy of its start arrives after its end is committed.
func TestLateCopyOfStartIsNotForwardedAfterCommittedEnd(t *testing.T) {
	m, _, _ := newManager(nil)
	number := announce(t, m, "w")
	m.Deliver("w", number, []api.Command{command(api.CommandStart, 9)})
	assert.DeepEqual(t, poll(t, m, number), []string{"start 9"})
	assert.NilError(t, m.Report(testContext(t), "w", &api.Reports{Session: number, Reports: []api.Report{report(api.ReportSucceeded, 9)}}))
	m.Deliver("w", number, []api.Command{command(api.CommandStart, 9)})
	assert.DeepEqual(t, poll(t, m, number), []string{})
}
