package relay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// worker counts the calls that it gets and answers them, unless it is silent.
type worker struct {
	starts, stops, polls atomic.Int32
	lastPoll             atomic.Pointer[workerclient.PollRequest]
	silent               atomic.Bool
	pollErr              atomic.Pointer[error] // of each poll; nil: none
}

func (w *worker) Start(ctx context.Context, _ workerclient.Target, cmd *workerclient.StartCommand) workerclient.Response {
	w.starts.Add(1)
	if w.silent.Load() {
		<-ctx.Done()
	}
	return workerclient.Response{Verdict: workerclient.Accepted, Clock: int64(cmd.Fence)}
}

func (w *worker) Stop(context.Context, workerclient.Target, *workerclient.StopCommand) workerclient.Response {
	w.stops.Add(1)
	return workerclient.Response{Verdict: workerclient.Outdated, Reason: "old"}
}

func (w *worker) Poll(ctx context.Context, _ workerclient.Target, req *workerclient.PollRequest) (*workerclient.PollResponse, error) {
	w.polls.Add(1)
	w.lastPoll.Store(req)
	if w.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := w.pollErr.Load(); err != nil {
		return nil, *err
	}
	resp := &workerclient.PollResponse{Clock: int64(req.Cursor), Ended: []workerclient.EndedAttempt{{Number: 7, Outcome: workerclient.Lapsed}}}
	resp.Unreadable.Record(errors.New("row"))
	return resp, nil
}

const region = "south"

var target = workerclient.Target{Worker: "w1", Address: "127.0.0.1:1", Region: region}

func newEndpoint(t *testing.T) *wire.Endpoint {
	t.Helper()
	e, err := wire.Listen(wire.Options{Address: "127.0.0.1:0", AcceptAnyCertificate: true, Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// bootClock is the time since the tests began.
func bootClock() time.Duration { return time.Since(began) }

var began = time.Now()

// newRelayed returns a client that calls workers through a relay, with the workers that the
// client reaches directly and those that the relay reaches.
func newRelayed(t *testing.T, clock func() time.Duration) (c *Client, direct, relayed *worker) {
	direct, relayed = &worker{}, &worker{}
	leader, relay := newEndpoint(t), newEndpoint(t)
	Serve(relay, relayed, clock)
	c = NewClient(leader, direct, bootClock, prometheus.NewRegistry())
	c.Use([]Relay{{Address: relay.Address(), Region: region}, {Address: "127.0.0.1:9", Region: "north"}})
	return c, direct, relayed
}

func callContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsGoThroughRelayInRegionOfWorker(t *testing.T) {
	c, direct, relayed := newRelayed(t, bootClock)
	ctx := callContext(t)
	assert.DeepEqual(t, c.Start(ctx, target, &workerclient.StartCommand{Fence: 9}), workerclient.Response{Verdict: workerclient.Accepted, Clock: 9})
	assert.DeepEqual(t, c.Stop(ctx, target, &workerclient.StopCommand{}), workerclient.Response{Verdict: workerclient.Outdated, Reason: "old"})
	resp, err := c.Poll(ctx, target, &workerclient.PollRequest{Cursor: 11})
	assert.NilError(t, err)
	assert.Equal(t, resp.Clock, int64(11))
	assert.DeepEqual(t, resp.Ended, []workerclient.EndedAttempt{{Number: 7, Outcome: workerclient.Lapsed}})
	assert.Error(t, resp.Unreadable.First, "row")
	assert.Equal(t, direct.starts.Load()+direct.stops.Load()+direct.polls.Load(), int32(0))
	assert.Equal(t, relayed.starts.Load()+relayed.stops.Load()+relayed.polls.Load(), int32(3))
}

func TestWorkerOfRegionWithoutRelayIsCalledDirectly(t *testing.T) {
	c, direct, _ := newRelayed(t, bootClock)
	elsewhere := target
	elsewhere.Region = "west"
	c.Start(callContext(t), elsewhere, &workerclient.StartCommand{})
	assert.Equal(t, direct.starts.Load(), int32(1))
}

func TestErrorsOfPollsKeepTheirKinds(t *testing.T) {
	for _, want := range []error{workerclient.ErrFenced, workerclient.ErrOtherIncarnation, workerclient.ErrConnectionEnded} {
		c, _, relayed := newRelayed(t, bootClock)
		relayed.pollErr.Store(&want)
		_, err := c.Poll(callContext(t), target, &workerclient.PollRequest{})
		assert.ErrorIs(t, err, want)
	}
}

// Guards against workers that lose their leases together with the process that calls them for the leader.
func TestPollIsSentDirectlyOnceItsRelayIsSilent(t *testing.T) {
	c, direct, relayed := newRelayed(t, bootClock)
	relayed.silent.Store(true)
	sent := time.Now()
	_, err := c.Poll(callContext(t), target, &workerclient.PollRequest{Cursor: 5, LeaseUntil: 6})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(sent) < 2*time.Second)
	assert.DeepEqual(t, *direct.lastPoll.Load(), workerclient.PollRequest{})
	c.Start(callContext(t), target, &workerclient.StartCommand{})
	assert.Equal(t, direct.starts.Load(), int32(1), "the relay still gets calls")
}

// Guards against a start that counts as not executed although the relay may have sent it.
func TestStartThroughSilentRelayMayHaveBeenExecuted(t *testing.T) {
	c, _, relayed := newRelayed(t, bootClock)
	relayed.silent.Store(true)
	resp := c.Start(callContext(t), target, &workerclient.StartCommand{})
	assert.Equal(t, resp.Verdict, workerclient.Unknown)
	assert.Assert(t, !resp.NotSent)
}

// Guards against a start that a suspended relay makes seconds later, when its worker may have restarted.
func TestRelayRefusesCallsThatTookLong(t *testing.T) {
	var suspended atomic.Int64
	c, _, relayed := newRelayed(t, func() time.Duration { return bootClock() + time.Duration(suspended.Load()) })
	assert.Equal(t, c.Start(callContext(t), target, &workerclient.StartCommand{}).Verdict, workerclient.Accepted)
	suspended.Store(int64(time.Second))
	resp := c.Start(callContext(t), target, &workerclient.StartCommand{})
	assert.Equal(t, resp.Verdict, workerclient.Unknown)
	assert.Assert(t, resp.NotSent)
	assert.Equal(t, relayed.starts.Load(), int32(1))
	_, err := c.Poll(callContext(t), target, &workerclient.PollRequest{})
	assert.NilError(t, err, "the worker must not count as unresponsive")
}

func TestAgesFollowClocksThatDrift(t *testing.T) {
	var a ages
	const offset, drift = 77 * time.Hour, 100 * time.Microsecond // a second
	for s := range 600 {
		now := time.Duration(s) * time.Second
		assert.Assert(t, !a.tooOld(now, now+offset+time.Duration(s)*drift))
		assert.Assert(t, a.tooOld(now, now+offset+time.Duration(s)*drift+maxAge+10*time.Millisecond) || s == 0)
	}
}

// Guards against repeated calls that load a busy leader although its relay answers.
func TestRepeatedCallTakesAnotherWayOnlyIfRelayIsSilent(t *testing.T) {
	var passed atomic.Int64
	c, direct, relayed := newRelayed(t, bootClock)
	c.clock = func() time.Duration { return bootClock() + time.Duration(passed.Load()) }
	again := target.Repeated()
	for _, row := range []struct {
		silence         time.Duration
		direct, relayed int32 // starts so far
	}{{0, 0, 1}, {0, 0, 2}, {2 * suspectSilence, 1, 2}} {
		passed.Add(int64(row.silence))
		assert.Equal(t, c.Start(callContext(t), again, &workerclient.StartCommand{}).Verdict, workerclient.Accepted)
		assert.Equal(t, direct.starts.Load(), row.direct)
		assert.Equal(t, relayed.starts.Load(), row.relayed)
	}
}

func TestStartsOfOneMessageSharePayloads(t *testing.T) {
	payloads := []string{"a", "b", "", "a", "b", "a"}
	var cs []call
	for _, p := range payloads {
		cs = append(cs, call{Start: &workerclient.StartCommand{Payload: p, Fence: 3}})
	}
	cs = append(cs, call{Poll: &workerclient.PollRequest{}})
	sent := cs[0].Start
	m := newCalls(0, cs)
	assert.DeepEqual(t, m.Payloads, []string{"a", "b"})
	assert.Equal(t, sent.Payload, "a", "the caller's command must not change")
	assert.Assert(t, m.unshare())
	for i, p := range payloads {
		assert.DeepEqual(t, *m.Calls[i].Start, workerclient.StartCommand{Payload: p, Fence: 3})
	}
	for _, bad := range []call{{Payload: 3, Start: &workerclient.StartCommand{}}, {Payload: -1, Start: &workerclient.StartCommand{}}, {Payload: 1}} {
		assert.Assert(t, !(&calls{Calls: []call{bad}, Payloads: m.Payloads}).unshare())
	}
}

// Guards against a result of an earlier path or process that is taken for that of another call.
func TestCallsOfDifferentPathsAndProcessesHaveDifferentNumbers(t *testing.T) {
	seen := map[uint64]bool{}
	for range 2 {
		c, _, _ := newRelayed(t, bootClock)
		for range 2 {
			p := c.pathTo(target)
			id := c.ids.Load() + 1
			_, err := p.do(callContext(t), &call{Target: target, Stop: &workerclient.StopCommand{}}, 0)
			assert.NilError(t, err)
			assert.Assert(t, !seen[id])
			seen[id] = true
			relays := c.relays
			c.Use(nil)
			assert.Equal(t, len(c.paths), 0)
			c.Use(relays)
		}
	}
}
