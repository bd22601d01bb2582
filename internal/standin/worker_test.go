package standin

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const longLease = 60_000 // ms

var task1 = model.TaskID{Job: 1, Index: 0}

func start(task model.TaskID, fence uint64, payload string) api.Command {
	return api.Command{Op: api.CommandStart, Task: task, Fence: model.Fence{Term: 1, Index: fence}, Payload: payload}
}

func TestRepeatedStartRunsOnceAndRepeatsReport(t *testing.T) {
	f := newFakeEntry(t, longLease)
	path, stop := startWorker(t, nil, f.URL)
	f.change(func() { f.commands = []api.Command{start(task1, 5, "run=1ms")} })
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportSucceeded) })
	var seen int
	f.change(func() { seen = len(f.reports) })
	f.waitFor(t, func() bool { return len(f.reports) > seen })
	f.change(func() { f.commands = nil })
	stop()
	assert.Equal(t, len(events(t, path, EventStart)), 1)
	assert.Equal(t, len(events(t, path, EventEnd)), 1)
}

func TestStartWithOlderFenceIsRejectedAndReported(t *testing.T) {
	f := newFakeEntry(t, longLease)
	path, stop := startWorker(t, nil, f.URL)
	f.change(func() { f.commands = []api.Command{start(task1, 5, "run=1h"), start(task1, 4, "run=1h")} })
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStopped) })
	f.change(func() {
		f.commands = []api.Command{{Op: api.CommandStop, Task: task1, Fence: model.Fence{Term: 1, Index: 5}}}
	})
	f.waitFor(t, func() bool {
		last := f.reports[len(f.reports)-1]
		return last.State == api.ReportStopped && last.Fence.Index == 5
	})
	f.change(func() { f.commands = nil })
	stop()
	assert.Equal(t, len(events(t, path, EventStart)), 1)
}

func TestStopBeforeStartPreventsStart(t *testing.T) {
	f := newFakeEntry(t, longLease)
	path, stop := startWorker(t, nil, f.URL)
	f.change(func() {
		f.commands = []api.Command{{Op: api.CommandStop, Task: task1, Fence: model.Fence{Term: 1, Index: 5}}}
	})
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStopped) })
	f.change(func() { f.commands, f.reports = []api.Command{start(task1, 5, "run=1ms")}, nil })
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStopped) })
	f.change(func() { f.commands = nil })
	stop()
	assert.Equal(t, len(events(t, path, EventStart)), 0)
}

func TestLeaseExpiryStopsTasksAndReannounces(t *testing.T) {
	f := newFakeEntry(t, 600)
	path, stop := startWorker(t, nil, f.URL)
	f.change(func() { f.commands = []api.Command{start(task1, 5, "run=1h")} })
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStarted) })
	f.change(func() {
		f.commands = nil
		f.heartbeatError = errkind.New(errkind.NoLeader, "election")
	})
	f.waitFor(t, func() bool { return f.session > 1 && f.hasReport(task1, api.ReportStopped) })
	f.change(func() { f.heartbeatError = nil })
	stop()
	stops := events(t, path, EventStop)
	assert.Equal(t, len(stops), 1)
	var until int64
	for _, l := range events(t, path, EventLease) {
		if l.At < stops[0].At {
			until = l.Until
		}
	}
	assert.Equal(t, stops[0].At, until)
}

func TestFailoverToAnotherEntryKeepsSession(t *testing.T) {
	a, b := newFakeEntry(t, longLease), newFakeEntry(t, longLease)
	_, stop := startWorker(t, nil, a.URL, b.URL)
	a.waitFor(t, func() bool { return a.session == 1 })
	a.change(func() { a.down = true })
	b.waitFor(t, func() bool { return b.heartbeats > 0 })
	stop()
	assert.Equal(t, b.session, uint64(0))
}

func TestLeavingWorkerReportsItAndLetsTasksEnd(t *testing.T) {
	f := newFakeEntry(t, longLease)
	path, stop := startWorker(t, nil, f.URL)
	f.change(func() { f.commands = []api.Command{start(task1, 5, "run=300ms")} })
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStarted) })
	f.change(func() { f.commands = nil })
	stop()
	assert.Assert(t, f.leaving)
	assert.Assert(t, f.hasReport(task1, api.ReportSucceeded))
	assert.Equal(t, len(events(t, path, EventStop)), 0)
}

func TestServiceTaskServesRequestsUntilStopped(t *testing.T) {
	f := newFakeEntry(t, longLease)
	_, stop := startWorker(t, func(o *WorkerOptions) { o.ExecutorAddress = "127.0.0.1" }, f.URL)
	c := start(task1, 5, "slots=3")
	c.Service = "planner"
	f.change(func() { f.commands = []api.Command{c} })
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStarted) })
	var x *model.ExecutorSpec
	f.change(func() { x, f.commands = f.reports[0].Executor, nil })
	assert.Equal(t, x.Slots, int32(3))
	resp, err := http.Post("http://"+x.Address, "text/plain", nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	f.change(func() { f.commands = []api.Command{{Op: api.CommandStop, Task: task1, Fence: c.Fence}} })
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStopped) })
	f.change(func() { f.commands = nil })
	_, err = (&http.Client{Timeout: time.Second}).Post("http://"+x.Address, "text/plain", nil)
	assert.Assert(t, err != nil)
	stop()
}

func TestTaskUsageIsSentUntilHeartbeatIsAnswered(t *testing.T) {
	f := newFakeEntry(t, 3000)
	f.heartbeatError = errkind.New(errkind.NoLeader, "election")
	f.commands = []api.Command{start(task1, 5, "run=1h")}
	_, stop := startWorker(t, func(o *WorkerOptions) { o.LeaveTimeout = time.Millisecond }, f.URL)
	f.waitFor(t, func() bool { return f.hasReport(task1, api.ReportStarted) })
	var seen int
	f.change(func() { f.commands, seen = nil, f.heartbeats })
	f.waitFor(t, func() bool { return f.heartbeats > seen })
	f.change(func() { f.heartbeatError = nil })
	f.waitFor(t, func() bool { return len(f.usage) >= 2 })
	stop()
	// The entry may still handle a heartbeat that the worker no longer waits for.
	var usage []int
	f.change(func() { usage = slices.Clone(f.usage) })
	assert.DeepEqual(t, usage[:2], []int{1, 0})
}
