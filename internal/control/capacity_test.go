package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// fakeWorkers answers polls with what the test sends and starts with verdict, unless
// refuses tells that the worker refuses them.
type fakeWorkers struct {
	polls   chan *workerclient.PollResponse
	verdict workerclient.Verdict
	refuses func(model.WorkerID) bool // nil: no worker does
	noConns bool                      // a worker that refuses accepts no connection for commands
	starts  atomic.Int32              // starts sent
	holds   atomic.Bool               // starts have no response
	begun   time.Time
}

// clock returns the workers' clock, which every response reports.
func (w *fakeWorkers) clock() int64 { return 1000 + time.Since(w.begun).Milliseconds() }

func (w *fakeWorkers) Start(ctx context.Context, to workerclient.Target, _ *workerclient.StartCommand) workerclient.Response {
	w.starts.Add(1)
	if w.holds.Load() {
		<-ctx.Done()
		return workerclient.Response{Verdict: workerclient.Unknown}
	}
	switch refused := w.refuses != nil && w.refuses(to.Worker); {
	case refused && w.noConns:
		return workerclient.Response{Verdict: workerclient.Unknown, NotSent: true, Reason: "connection reset"}
	case refused:
		return workerclient.Response{Verdict: workerclient.Unavailable, Clock: w.clock(), Reason: "503"}
	}
	return workerclient.Response{Verdict: w.verdict, Clock: w.clock()}
}

func (w *fakeWorkers) Stop(context.Context, workerclient.Target, *workerclient.StopCommand) workerclient.Response {
	return workerclient.Response{Verdict: workerclient.Accepted, Clock: w.clock()}
}

func (w *fakeWorkers) Poll(ctx context.Context, _ workerclient.Target, _ *workerclient.PollRequest) (*workerclient.PollResponse, error) {
	select {
	case resp := <-w.polls:
		now := *resp
		now.Clock = w.clock()
		return &now, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// leaderTest is a core that leads. The test is its control goroutine and its log.
type leaderTest struct {
	t       *testing.T
	c       *core
	log     *heldLog
	workers *fakeWorkers
	index   uint64
}

func newLeaderTest(t *testing.T) *leaderTest {
	h := &leaderTest{t: t, log: &heldLog{}, workers: &fakeWorkers{polls: make(chan *workerclient.PollResponse), begun: time.Now()}}
	h.c = newHeldCore(t, h.log, h.workers)
	h.lead(1)
	t.Cleanup(func() { h.c.stepDown("the test has ended") })
	h.apply(&state.Command{Declare: &state.Declare{ApplyID: "first", Declarations: model.Declarations{
		Teams:  []model.Team{{Name: "stands", Share: 1, MaxRunning: 100}},
		Queues: []model.Queue{{Name: "flows", Workspace: "plans", Shared: true, MaxAttempts: 3}},
	}}})
	return h
}

// lead makes the core the leader of a term.
func (h *leaderTest) lead(term uint64) {
	h.c.setLeadership(replica.Leadership{Role: raft.Leader, Term: term, Ready: true})
}

func (h *leaderTest) applyEntry(data []byte) {
	h.index++
	h.c.applyEntry(&replica.Entry{Index: h.index, Term: h.c.role.Term, Data: data})
}

// apply commits a command that no proposal of the core waits for.
func (h *leaderTest) apply(cmd *state.Command) {
	h.t.Helper()
	cmd.At = h.c.s.now()
	data, err := cmd.Encode()
	assert.NilError(h.t, err)
	h.applyEntry(data)
}

// commit commits what is proposed and returns the number of commands.
func (h *leaderTest) commit() (n int) {
	for ; len(h.log.proposed) > 0; n++ {
		data := h.log.proposed[0]
		h.log.proposed = h.log.proposed[1:]
		h.applyEntry(data)
	}
	return n
}

// answerPolls runs the control goroutine and answers every poll that is sent with resp,
// until done.
func (h *leaderTest) answerPolls(resp *workerclient.PollResponse, done func() bool) {
	h.t.Helper()
	h.answerEachPoll(func() *workerclient.PollResponse { return resp }, done)
}

// answerEachPoll is answerPolls with a response that is made for each poll.
func (h *leaderTest) answerEachPoll(respond func() *workerclient.PollResponse, done func() bool) {
	h.t.Helper()
	timeout := time.After(responseTimeout)
	for !done() {
		select {
		case next := <-h.c.s.calls:
			h.c.run(next)
		case h.workers.polls <- respond():
		case <-timeout:
			h.t.Fatal("the leader did not act on the responses to its polls")
		}
	}
}

// place submits a workflow of n tasks of 1500 thousandths of a core, places them on w1
// and returns their job.
func (h *leaderTest) place(id model.WorkflowID, n int32) model.JobID {
	h.t.Helper()
	h.apply(&state.Command{SubmitWorkflow: &state.SubmitWorkflow{Spec: model.WorkflowSpec{
		ID: id, Team: "stands", Queue: "flows", Steps: []model.Step{{Policy: model.PolicyBatch, Tasks: n, Size: model.Resources{CPU: 1500}}},
	}}})
	job := h.c.machine.Workflow(id).Jobs[0]
	h.placeTasks(job)
	return job
}

// placeTasks places the pending tasks of a job on w1 as far as the state admits them.
func (h *leaderTest) placeTasks(job model.JobID) {
	h.t.Helper()
	place := &state.Place{}
	for i := range h.c.machine.Job(job).Spec.Tasks {
		if h.phase(job, i) == model.TaskPending {
			task := model.TaskID{Job: job, Index: i}
			place.Placements = append(place.Placements, state.Placement{Task: task, Worker: "w1", Size: model.Resources{CPU: 1500}})
		}
	}
	h.apply(&state.Command{Place: place})
}

func (h *leaderTest) phase(job model.JobID, index int32) model.TaskPhase {
	return h.c.machine.Job(job).Task(index).Phase
}

// commitReports commits the reports that have accumulated and what follows from them.
func (h *leaderTest) commitReports() {
	h.c.leader.polled.commitReports()
	h.commit()
}

func (h *leaderTest) polled() *polledWorker { return h.c.leader.polled.workers["w1"] }

// clockReported reports whether w1 has answered a poll of this leader.
func (h *leaderTest) clockReported() bool { return h.polled().clockReported }

// heartbeat handles a heartbeat of w1, commits what it proposes and returns the number
// of commands.
func (h *leaderTest) heartbeat(incarnation, sequence uint64, cpu int64) int {
	h.t.Helper()
	return h.heartbeatOf("w1", incarnation, sequence, cpu)
}

func (h *leaderTest) heartbeatOf(id model.WorkerID, incarnation, sequence uint64, cpu int64) int {
	h.t.Helper()
	hb := &proto.Heartbeat{Sequence: sequence, Spec: model.WorkerSpec{
		ID: id, Capacity: model.Resources{CPU: cpu}, Region: "south", FailureDomain: "selfoss", Incarnation: incarnation, Address: "10.0.0.9:8080",
	}}
	answered := 0
	h.c.leader.heartbeat(wire.Peer{}, hb, func(_ *proto.Empty, err error) {
		assert.NilError(h.t, err)
		answered++
	})
	n := h.commit()
	assert.Equal(h.t, answered, 1)
	return n
}

func (h *leaderTest) cpu() int64 { return h.c.machine.Worker("w1").Spec.Capacity.CPU }

// Guards against a changed capacity that is dropped, and against commits for heartbeats that report nothing new.
func TestHeartbeatCommitsChangedCapacityOnly(t *testing.T) {
	h := newLeaderTest(t)
	assert.Equal(t, h.heartbeat(7, 1, 4000), 1, "the announcement")
	session := h.c.machine.Worker("w1").Session
	assert.Equal(t, h.heartbeat(7, 2, 4000), 0)
	assert.Equal(t, h.heartbeat(7, 3, 2000), 1)
	assert.Equal(t, h.cpu(), int64(2000))
	assert.Equal(t, h.heartbeat(7, 4, 2000), 0)
	assert.Equal(t, h.heartbeat(7, 5, 6000), 1)
	assert.Equal(t, h.cpu(), int64(6000))
	assert.Equal(t, h.c.machine.Worker("w1").Session, session)
	assert.Equal(t, h.c.leader.sched.Stats().Total.CPU, int64(6000))
	changes := h.c.s.metrics.capacityChanges
	assert.Equal(t, testutil.ToFloat64(changes.WithLabelValues("reduced")), 1.0)
	assert.Equal(t, testutil.ToFloat64(changes.WithLabelValues("raised")), 1.0)
}

// Guards against an older capacity that a delayed heartbeat brings back.
func TestDelayedHeartbeatDoesNotChangeCapacity(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	h.heartbeat(7, 5, 4000)
	assert.Equal(t, h.heartbeat(7, 4, 8000), 0, "a later one has reported 4000")
	assert.Equal(t, h.heartbeat(7, 6, 2000), 1)
	assert.Equal(t, h.heartbeat(7, 6, 2000), 0, "sent again")
	assert.Equal(t, h.heartbeat(6, 9, 8000), 0, "an earlier incarnation")
	assert.Equal(t, h.heartbeat(8, 1, 8000), 1, "a new incarnation")
	assert.Equal(t, h.cpu(), int64(8000))
	assert.Equal(t, h.heartbeat(7, 9, 2000), 0, "an earlier incarnation")
	assert.Equal(t, h.heartbeat(8, 0, 3000), 1, "one without a sequence counts as the newest")
}

// Guards against an older, larger capacity that a delayed heartbeat brings back under a new leader.
func TestFirstHeartbeatUnderNewLeaderDoesNotRaiseCapacity(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	h.heartbeat(7, 3, 4000)
	h.lead(2)
	assert.Equal(t, h.heartbeat(7, 2, 8000), 0, "delayed")
	assert.Equal(t, h.heartbeat(7, 2, 8000), 0, "sent again")
	assert.Equal(t, h.heartbeat(7, 4, 8000), 1)
	h.lead(3)
	assert.Equal(t, h.heartbeat(7, 5, 3000), 1, "a smaller capacity counts at once")
	assert.Equal(t, h.cpu(), int64(3000))
}

// Guards against a worker whose changes of capacity are ignored since another writer has announced a later incarnation of it.
func TestCapacityIsFollowedAfterIncarnationThatNeverWas(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	assert.Equal(t, h.heartbeat(1<<40, 9, 4000), 1, "the announcement")
	session := h.c.machine.Worker("w1").Session
	h.apply(&state.Command{MarkWorkersLost: &state.MarkWorkersLost{Workers: []state.LostWorker{{ID: "w1", Session: session}}}})
	assert.Equal(t, h.heartbeat(7, 2, 4000), 1, "the true one is announced again")
	assert.Equal(t, h.heartbeat(7, 3, 6000), 1)
	assert.Equal(t, h.cpu(), int64(6000))
}

// idle is the response of w1 to a poll while nothing runs there.
var idle = &workerclient.PollResponse{Incarnation: 7}

// Guards against a start that was committed before a worker shrank and is sent later, beyond its new capacity.
func TestUnsentStartBeyondReducedCapacityIsNotSent(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	job := h.place("f1", 2)
	assert.Equal(t, h.phase(job, 1), model.TaskStarting, "the clock of the worker is not known, so that no start is sent")
	h.heartbeat(7, 2, 2000)
	h.answerPolls(idle, h.clockReported)
	h.commitReports()
	assert.Equal(t, h.phase(job, 0), model.TaskPending)
	assert.Equal(t, h.phase(job, 1), model.TaskPending)
	assert.Assert(t, h.c.machine.Worker("w1").Reserved.IsZero())

	h.placeTasks(job)
	assert.Equal(t, h.phase(job, 0), model.TaskStarting)
	assert.Equal(t, h.phase(job, 1), model.TaskPending, "the state admits one")
	h.answerEachPoll(func() *workerclient.PollResponse {
		if h.workers.starts.Load() == 0 {
			return idle
		}
		attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "f1"}, Number: h.c.machine.Job(job).Task(0).Attempt}
		return &workerclient.PollResponse{Incarnation: idle.Incarnation, Active: []workerclient.ActiveAttempt{{Attempt: attempt}}}
	}, func() bool { h.commitReports(); return h.phase(job, 0) == model.TaskRunning })
	assert.Equal(t, h.workers.starts.Load(), int32(1))
}

// Guards against a start without a response that is sent again beyond the reduced capacity of its worker.
func TestUnansweredStartBeyondReducedCapacityIsNotRepeated(t *testing.T) {
	attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "f1"}, Number: 1}
	running := &workerclient.PollResponse{Incarnation: 7, Active: []workerclient.ActiveAttempt{{Attempt: attempt}}}
	rows := []struct {
		name string
		resp *workerclient.PollResponse
		want model.TaskPhase
	}{
		{"it runs and goes on", running, model.TaskRunning},
		{"it does not run and is stopped before it is carried out late", idle, model.TaskStopping},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assertUnansweredStartIsNotRepeated(t, func(h *leaderTest) { h.heartbeat(7, 2, 1000) }, row.resp, row.want)
		})
	}
}

// assertUnansweredStartIsNotRepeated lets a start have no response, bars it by a change, lets
// the worker answer polls with resp, and asserts the phase that its task reaches.
func assertUnansweredStartIsNotRepeated(t *testing.T, change func(*leaderTest), resp *workerclient.PollResponse, want model.TaskPhase) {
	t.Helper()
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	h.answerPolls(idle, h.clockReported)
	h.workers.verdict = workerclient.Unknown
	job := h.place("f1", 1)
	cmd := h.polled().commands[model.TaskID{Job: job}]
	h.answerPolls(idle, func() bool { return cmd.maybeStarted })
	change(h)
	h.answerPolls(resp, func() bool { h.commitReports(); return h.phase(job, 0) != model.TaskStarting })
	assert.Equal(t, h.phase(job, 0), want)
	assert.Equal(t, h.workers.starts.Load(), int32(1))
}

// Guards against a start of an earlier leader that is sent beyond the reduced capacity of its worker.
func TestInheritedStartBeyondReducedCapacityIsNotSent(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	job := h.place("f1", 2)
	h.lead(2)
	h.heartbeat(7, 2, 2000)
	h.answerPolls(idle, h.clockReported)
	h.commitReports()
	assert.Equal(t, h.phase(job, 0), model.TaskPending)
	assert.Equal(t, h.phase(job, 1), model.TaskPending)
	assert.Equal(t, h.workers.starts.Load(), int32(0))
}

// Guards against starts that bring a team above its maximum: they had no response, and the maximum was lowered before they were sent again.
func TestUnansweredStartBeyondLoweredLimitOfTeamIsNotRepeated(t *testing.T) {
	attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "f1"}, Number: 1}
	running := &workerclient.PollResponse{Incarnation: 7, Active: []workerclient.ActiveAttempt{{Attempt: attempt}}}
	rows := []struct {
		name  string
		limit model.Team
		resp  *workerclient.PollResponse
		want  model.TaskPhase
	}{
		{"the maximum of resources; it runs and goes on", model.Team{MaxRunning: 100, MaxResources: model.Resources{CPU: 1000}}, running, model.TaskRunning},
		{"the maximum of resources; it is stopped before it is carried out late", model.Team{MaxRunning: 100, MaxResources: model.Resources{CPU: 1000}}, idle, model.TaskStopping},
		{"the number of tasks", model.Team{MaxRunning: 0}, idle, model.TaskStopping},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assertUnansweredStartIsNotRepeated(t, func(h *leaderTest) { h.limitTeam(row.limit) }, row.resp, row.want)
		})
	}
}

// Guards against a start that is sent for the first time after the maximum of its team was lowered.
func TestUnsentStartBeyondLoweredLimitOfTeamIsNotSent(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	job := h.place("f1", 1)
	assert.Equal(t, h.phase(job, 0), model.TaskStarting, "the clock of the worker is not known, so that no start is sent")
	h.limitTeam(model.Team{MaxRunning: 100, MaxResources: model.Resources{CPU: 1000}})
	h.answerPolls(idle, h.clockReported)
	h.commitReports()
	assert.Equal(t, h.phase(job, 0), model.TaskPending)
	assert.Equal(t, h.workers.starts.Load(), int32(0))
}

// otherService declares that the queue of the harness is one of a service that w1 is not of.
func (h *leaderTest) otherService() {
	h.declareQueues(model.Queue{Name: "flows", Workspace: "plans", Shared: true, Service: "other", MaxAttempts: 3})
}

// Guards against a start that is sent to a worker of a service that its queue has left.
func TestUnsentStartOnServiceThatItsQueueHasLeftIsNotSent(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		h := newLeaderTest(t)
		h.heartbeat(7, 1, 4000)
		job := h.place("f1", 1)
		assert.Equal(t, h.phase(job, 0), model.TaskStarting, "the clock of the worker is not known, so that no start is sent")
		h.otherService()
		if newLeader {
			h.lead(2)
		}
		h.answerPolls(idle, func() bool { h.commitReports(); return h.phase(job, 0) == model.TaskPending })
		assert.Equal(t, h.workers.starts.Load(), int32(0), "new leader: %t", newLeader)
	}
}

// Guards against a start without a response that is sent again to a worker of a service that its queue has left.
func TestUnansweredStartOnServiceThatItsQueueHasLeftIsNotRepeated(t *testing.T) {
	attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "f1"}, Number: 1}
	running := &workerclient.PollResponse{Incarnation: 7, Active: []workerclient.ActiveAttempt{{Attempt: attempt}}}
	assertUnansweredStartIsNotRepeated(t, (*leaderTest).otherService, running, model.TaskRunning)
	assertUnansweredStartIsNotRepeated(t, (*leaderTest).otherService, idle, model.TaskStopping)
}

// limitTeam declares the limit of the harness's team.
func (h *leaderTest) limitTeam(limit model.Team) {
	h.t.Helper()
	version, _, d := h.c.machine.Config()
	next := *d
	limit.Name, limit.Share = "stands", 1
	next.Teams = []model.Team{limit}
	h.apply(&state.Command{Declare: &state.Declare{Base: version, ApplyID: "limit", Declarations: next}})
	assert.Equal(h.t, h.c.machine.Team("stands").MaxRunning, limit.MaxRunning)
}

// Guards against heartbeats of a batch that are taken for recorded although they report something new.
func TestBatchRecordsHeartbeatsThatNeedNoActionOnly(t *testing.T) {
	h := newLeaderTest(t)
	h.heartbeat(7, 1, 4000)
	heartbeat := func(id model.WorkerID, incarnation, sequence uint64, cpu int64, leaving bool) proto.Heartbeat {
		return proto.Heartbeat{Sequence: sequence, Leaving: leaving, Spec: model.WorkerSpec{ID: id, Incarnation: incarnation, Capacity: model.Resources{CPU: cpu}}}
	}
	req := &proto.Heartbeats{Heartbeats: []proto.Heartbeat{
		heartbeat("w1", 7, 2, 4000, false),
		heartbeat("unknown", 7, 1, 4000, false),
		heartbeat("w1", 7, 3, 2000, false),
		heartbeat("w1", 7, 4, 4000, true),
		heartbeat("w1", 8, 1, 4000, false),
	}}
	h.c.leader.heartbeatsReceived(wire.Peer{}, req, func(resp *proto.HeartbeatsRecorded, err error) {
		assert.NilError(t, err)
		assert.DeepEqual(t, resp.Recorded, []bool{true, false, false, false, false})
	})
	assert.Equal(t, h.commit(), 0)
	assert.Equal(t, h.cpu(), int64(4000))
}
