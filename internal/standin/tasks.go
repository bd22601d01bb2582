package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// attempt is the latest known attempt of a task. It is kept after its end, so that a
// repeated command gets the same report.
type attempt struct {
	cmd        api.Command
	options    payload
	lastReport api.Report // the latest report; State is empty before the start
	startedAt  time.Time
	timer      *time.Timer
	executor   *executorServer
	running    bool
	stopping   bool
	throttle   bool

	usageAcknowledged bool // the task's usage was sent in a heartbeat that was answered
}

// reportKey identifies a report. Each state of an attempt is queued at most once.
type reportKey struct {
	task  model.TaskID
	fence model.Fence
	state api.ReportState
}

func keyOf(r api.Report) reportKey { return reportKey{r.Task, r.Fence, r.State} }

// taskTracker tracks the attempts of a worker and the pending reports.
type taskTracker struct {
	w            *worker
	reportsReady chan struct{} // has a token while reports are pending

	mu       sync.Mutex
	attempts map[model.TaskID]*attempt
	outbox   []api.Report
	changed  chan struct{} // closed and replaced at each change
}

func newTaskTracker(w *worker) *taskTracker {
	return &taskTracker{w: w, reportsReady: make(chan struct{}, 1), attempts: make(map[model.TaskID]*attempt), changed: make(chan struct{})}
}

func (t *taskTracker) signalReports() {
	select {
	case t.reportsReady <- struct{}{}:
	default:
	}
}

// applyCommands executes commands and returns how many of them were new.
func (t *taskTracker) applyCommands(commands []api.Command) (newCount int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range commands {
		if t.applyCommand(c) {
			newCount++
		}
	}
	return newCount
}

func (t *taskTracker) applyCommand(c api.Command) bool {
	a := t.attempts[c.Task]
	if a != nil && c.Fence.Less(a.cmd.Fence) {
		t.queueReport(api.Report{Task: c.Task, Fence: c.Fence, State: api.ReportStopped, Reason: "a newer attempt is known"})
		return false
	}
	switch c.Op {
	case api.CommandStart:
		return t.start(a, c)
	case api.CommandStop, api.CommandCheckpoint:
		return t.stop(a, c)
	case api.CommandThrottle:
		if a != nil {
			a.throttle = true
		}
	}
	return false
}

// start begins an attempt. A repeated start queues the latest report again.
func (t *taskTracker) start(a *attempt, c api.Command) bool {
	if a != nil && a.cmd.Fence == c.Fence {
		if a.lastReport.State != "" {
			t.queueReport(a.lastReport)
		}
		return false
	}
	if a != nil {
		t.finish(a, api.ReportStopped, "a newer attempt began", time.Now())
	}
	a = &attempt{cmd: c}
	a.options = parsePayload(c.Payload, payload{run: t.w.options.TaskTime, usage: defaultUsage, behave: t.w.options.Behavior})
	t.attempts[c.Task] = a
	if _, _, ok := t.w.currentLease(); !ok {
		t.recordState(a, api.ReportStopped, "the lease has ended")
		return true
	}
	if a.options.behave == BehaveRefuse {
		t.recordState(a, api.ReportFailed, "refused")
		return true
	}
	if a.options.behave == BehaveSlow {
		a.timer = time.AfterFunc(slowDelay, func() { t.withLock(func() { t.run(a) }) })
		return true
	}
	t.run(a)
	return true
}

func (t *taskTracker) withLock(fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fn()
}

// run starts the work of an attempt, unless the attempt has already ended.
func (t *taskTracker) run(a *attempt) {
	if a.lastReport.State != "" || a.stopping {
		return
	}
	if _, until, ok := t.w.currentLease(); !ok {
		t.finish(a, api.ReportStopped, "the lease has ended", until)
		return
	}
	started := api.Report{Task: a.cmd.Task, Fence: a.cmd.Fence, State: api.ReportStarted}
	if err := t.openExecutor(a, &started); err != nil {
		t.recordState(a, api.ReportFailed, err.Error())
		return
	}
	a.running = true
	a.startedAt = time.Now()
	t.w.history.add(t.event(EventStart, a, a.startedAt))
	a.lastReport = started
	t.queueReport(started)
	if a.cmd.Service == "" {
		a.timer = time.AfterFunc(a.options.run, func() { t.withLock(func() { t.end(a) }) })
	}
}

func (t *taskTracker) openExecutor(a *attempt, r *api.Report) error {
	if a.cmd.Service == "" || t.w.options.ExecutorAddress == "" {
		return nil
	}
	id := fmt.Sprintf("%s-%s-%d.%d", t.w.options.Spec.ID, a.cmd.Task, a.cmd.Fence.Term, a.cmd.Fence.Index)
	p := a.options
	p.run = 0 // the run time of the task does not apply to its requests
	x, err := startExecutor(id, a.cmd.Service, t.w.options.ExecutorAddress+":0", p, t.w.history)
	if err != nil {
		return err
	}
	a.executor = x
	r.Executor = &x.spec
	return nil
}

// end ends a task whose run time has passed.
func (t *taskTracker) end(a *attempt) {
	if !a.running || a.stopping {
		return
	}
	if _, until, ok := t.w.currentLease(); !ok {
		t.finish(a, api.ReportStopped, "the lease has ended", until)
		return
	}
	state, reason := api.ReportSucceeded, ""
	if attemptFraction(a.cmd) < a.options.behave.failureProbability(a.options.fail) {
		state, reason = api.ReportFailed, "asked to fail"
	}
	t.finish(a, state, reason, time.Now())
}

// attemptFraction returns a number from 0 to 1 that depends only on the attempt, so that
// failures are reproducible.
func attemptFraction(c api.Command) float64 { return hashFraction(fmt.Sprint(c.Task, c.Fence)) }

func hashFraction(s string) float64 {
	const steps = 1000
	h := fnv.New64a()
	h.Write([]byte(s))
	return float64(h.Sum64()%steps) / steps
}

// stop handles a stop command. An attempt that never ran is reported as stopped.
func (t *taskTracker) stop(a *attempt, c api.Command) bool {
	if a == nil || a.cmd.Fence.Less(c.Fence) {
		if a != nil {
			t.finish(a, api.ReportStopped, c.Reason, time.Now())
		}
		a = &attempt{cmd: c}
		t.attempts[c.Task] = a
		t.recordState(a, api.ReportStopped, c.Reason)
		return true
	}
	if !a.running && a.lastReport.State != "" {
		t.queueReport(a.lastReport)
		return false
	}
	if a.stopping {
		return false
	}
	if a.executor == nil {
		t.finish(a, api.ReportStopped, c.Reason, time.Now())
		return true
	}
	a.stopping = true
	go func() {
		a.executor.stop(stopGrace)
		t.withLock(func() { t.finish(a, api.ReportStopped, c.Reason, time.Now()) })
	}()
	return true
}

// finish ends an attempt at the given time and queues its report.
func (t *taskTracker) finish(a *attempt, state api.ReportState, reason string, at time.Time) {
	if a.timer != nil {
		a.timer.Stop()
	}
	if !a.running {
		if a.lastReport.State == "" {
			t.recordState(a, state, reason)
		}
		return
	}
	a.running = false
	if a.executor != nil && !a.stopping {
		go a.executor.stop(stopGrace)
	}
	kind := EventEnd
	if state == api.ReportStopped {
		kind = EventStop
	}
	t.w.history.add(t.event(kind, a, at))
	t.recordState(a, state, reason)
}

func (t *taskTracker) recordState(a *attempt, state api.ReportState, reason string) {
	r := api.Report{Task: a.cmd.Task, Fence: a.cmd.Fence, State: state, Reason: reason, Used: taskUsage(a)}
	if !a.startedAt.IsZero() {
		r.RanMS = time.Since(a.startedAt).Milliseconds()
	}
	a.lastReport = r
	t.queueReport(r)
}

func taskUsage(a *attempt) model.Resources {
	part := func(n int64) int64 { return int64(float64(n) * a.options.usage) }
	s := a.cmd.Size
	return model.Resources{CPU: part(s.CPU), Memory: part(s.Memory), Accelerators: s.Accelerators}
}

func (t *taskTracker) event(k EventKind, a *attempt, at time.Time) Event {
	return Event{At: at.UnixNano(), Kind: k, Worker: string(t.w.options.Spec.ID), Task: a.cmd.Task, Fence: a.cmd.Fence}
}

// queueReport adds a report to the outbox unless it is already there.
func (t *taskTracker) queueReport(r api.Report) {
	close(t.changed)
	t.changed = make(chan struct{})
	for _, o := range t.outbox {
		if keyOf(o) == keyOf(r) {
			t.signalReports()
			return
		}
	}
	t.outbox = append(t.outbox, r)
	t.signalReports()
}

func (t *taskTracker) pendingReports() []api.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.outbox)
}

func (t *taskTracker) removeAcknowledged(sent []api.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	acknowledged := make(map[reportKey]bool, len(sent))
	for _, r := range sent {
		acknowledged[keyOf(r)] = true
	}
	t.outbox = slices.DeleteFunc(t.outbox, func(r api.Report) bool { return acknowledged[keyOf(r)] })
	close(t.changed)
	t.changed = make(chan struct{})
}

// usage returns the usage of running tasks that no entry has acknowledged yet. The usage
// of a stand-in's task is constant, so repeating it in each heartbeat would only cost
// traffic.
func (t *taskTracker) usage() []api.TaskUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []api.TaskUsage
	for _, a := range t.attempts {
		if a.running && !a.usageAcknowledged {
			out = append(out, api.TaskUsage{Task: a.cmd.Task, Fence: a.cmd.Fence, Used: taskUsage(a)})
		}
	}
	return out
}

// acknowledgeUsage records that a heartbeat with this usage was answered.
func (t *taskTracker) acknowledgeUsage(sent []api.TaskUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range sent {
		if a := t.attempts[u.Task]; a != nil && a.cmd.Fence == u.Fence {
			a.usageAcknowledged = true
		}
	}
}

// stopAll stops all tasks. Reports that were not sent stay in the outbox.
func (t *taskTracker) stopAll(reason string) {
	t.stopAllAt(reason, time.Now())
}

// expire stops all tasks because the lease expired at until. The stops are recorded at
// that time: a worker that was suspended past it has run nothing since.
func (t *taskTracker) expire(until time.Time) {
	t.stopAllAt("the lease has ended", until)
}

func (t *taskTracker) stopAllAt(reason string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.attempts {
		t.finish(a, api.ReportStopped, reason, at)
	}
}

func (t *taskTracker) waitIdle(ctx context.Context) {
	t.wait(ctx, func() bool {
		for _, a := range t.attempts {
			if a.running || a.lastReport.State == "" {
				return false
			}
		}
		return true
	})
}

func (t *taskTracker) waitReported(ctx context.Context) {
	t.wait(ctx, func() bool { return len(t.outbox) == 0 })
}

// wait returns when cond, called with the lock held, is true or ctx ends.
func (t *taskTracker) wait(ctx context.Context, cond func() bool) {
	for {
		t.mu.Lock()
		ok, changed := cond(), t.changed
		t.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
