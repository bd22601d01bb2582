package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// responseTimeout bounds each wait of a test for a poll.
const responseTimeout = 10 * time.Second

// heldLog is a replicated log whose proposals commit when a test says so.
type heldLog struct {
	Log
	proposed [][]byte
	full     bool // proposals are refused
	refused  int
	noQuorum bool // the leader has lost contact with its quorum

	stateLimit int64
}

func (l *heldLog) ProposeInTerm(_ uint64, data []byte) error {
	if l.full {
		l.refused++
		return errkind.New(errkind.Overloaded, "the log takes no proposals")
	}
	l.proposed = append(l.proposed, data)
	return nil
}

func (l *heldLog) LeaseValid() bool { return !l.noQuorum }

func (l *heldLog) Status() replica.Status {
	return replica.Status{ID: 1, StateLimit: l.stateLimit}
}

// heldPoll is a poll that a test answers.
type heldPoll struct {
	*workerclient.PollRequest
	answer chan *workerclient.PollResponse
}

// heldWorker is a polled worker whose polls and starts a test answers.
type heldWorker struct {
	polls  chan heldPoll
	starts chan *workerclient.StartCommand
	clock  int64
}

func (w *heldWorker) Poll(ctx context.Context, _ workerclient.Target, req *workerclient.PollRequest) (*workerclient.PollResponse, error) {
	poll := heldPoll{req, make(chan *workerclient.PollResponse)}
	select {
	case w.polls <- poll:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case resp := <-poll.answer:
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *heldWorker) Start(ctx context.Context, _ workerclient.Target, cmd *workerclient.StartCommand) workerclient.Response {
	w.starts <- cmd
	<-ctx.Done()
	return workerclient.Response{Verdict: workerclient.Unknown}
}

func (w *heldWorker) Stop(ctx context.Context, _ workerclient.Target, _ *workerclient.StopCommand) workerclient.Response {
	<-ctx.Done()
	return workerclient.Response{Verdict: workerclient.Unknown}
}

// leaderHarness runs the control goroutine of one process step by step.
type leaderHarness struct {
	t      *testing.T
	core   *core
	log    *heldLog
	worker *heldWorker
	index  uint64
	term   uint64

	committed []replica.Entry
}

// newHeldCore returns the core of a process whose control goroutine is the test.
func newHeldCore(t *testing.T, log *heldLog, worker workerclient.Client) *core {
	s := &Server{
		opts:      Options{Log: log, WorkerClient: worker, Times: DefaultTimes(), SnapshotEntries: defaultSnapshotEntries},
		log:       obs.Discard(),
		metrics:   newMetrics(obs.NewRegistry(), func() float64 { return 0 }),
		calls:     make(chan call, callQueue),
		stopped:   make(chan struct{}),
		startTime: time.Now(),
		bootTime:  replica.BootTime(),
		clock:     replica.BootTime,
	}
	t.Cleanup(func() { close(s.stopped) })
	return newCore(s)
}

// newLeaderHarness returns a process in whose state a task runs on a worker, where an
// earlier leader has started it.
func newLeaderHarness(t *testing.T) (*leaderHarness, model.TaskID) {
	t.Helper()
	h := &leaderHarness{t: t, log: &heldLog{}, worker: &heldWorker{polls: make(chan heldPoll), starts: make(chan *workerclient.StartCommand, 16), clock: 1000}, term: 1}
	h.core = newHeldCore(t, h.log, h.worker)
	size := model.Resources{CPU: 1000}
	h.apply(&state.Command{Declare: &state.Declare{ApplyID: "first", Declarations: model.Declarations{
		Teams:  []model.Team{{Name: "stands", Share: 1, MaxRunning: 100}},
		Queues: []model.Queue{{Name: "flows", Workspace: "plans", Shared: true, MaxAttempts: 3}},
		Prices: []model.PricePoint{{MicroUnits: 100}},
	}}})
	h.apply(&state.Command{Announce: &state.Announce{Spec: model.WorkerSpec{ID: "w", Capacity: model.Resources{CPU: 4000, Memory: 4096},
		Region: "south", FailureDomain: "selfoss", Incarnation: 1, Address: "127.0.0.1:1"}}})
	h.apply(&state.Command{SubmitWorkflow: &state.SubmitWorkflow{Spec: model.WorkflowSpec{ID: "f", Team: "stands", Queue: "flows",
		Steps: []model.Step{{Policy: model.PolicyBatch, Tasks: 1, Size: size}}}}})
	task := model.TaskID{Job: h.core.machine.Workflow("f").Jobs[0]}
	h.apply(&state.Command{Place: &state.Place{Placements: []state.Placement{{Task: task, Worker: "w", Size: size}}}})
	return h, task
}

// apply commits a command of an earlier leader, of a second ago.
func (h *leaderHarness) apply(cmd *state.Command) {
	h.t.Helper()
	cmd.At = h.core.s.now().Add(-time.Second)
	data, err := cmd.Encode()
	assert.NilError(h.t, err)
	h.commit(data)
}

// report commits a report on the current attempt of a task.
func (h *leaderHarness) report(id model.TaskID, as api.ReportState) {
	h.t.Helper()
	m := h.core.machine
	t := m.Job(id.Job).Task(id.Index)
	w := m.Worker(m.TaskWorker(t))
	h.apply(&state.Command{Report: &state.Report{Reports: []state.WorkerReport{{Worker: w.Spec.ID, Session: w.Session,
		Reports: []api.Report{{Task: id, Fence: t.Fence, State: as}}}}}})
}

func (h *leaderHarness) commit(data []byte) {
	h.index++
	h.committed = append(h.committed, replica.Entry{Index: h.index, Term: h.term, Data: data})
	h.core.update(&replica.Update{Entries: h.committed[h.index-1:], Index: h.index})
}

// successor returns another process that has applied what is committed. This one leads no
// longer.
func (h *leaderHarness) successor() *leaderHarness {
	h.core.stepDown("test")
	next := *h
	next.log = &heldLog{}
	next.worker = &heldWorker{polls: make(chan heldPoll), starts: make(chan *workerclient.StartCommand, 16), clock: h.worker.clock}
	next.core = newHeldCore(h.t, next.log, next.worker)
	next.core.update(&replica.Update{Entries: h.committed, Index: h.index})
	return &next
}

// lead makes the process the leader of the next term.
func (h *leaderHarness) lead() {
	h.term++
	h.core.update(&replica.Update{Leadership: &replica.Leadership{Role: raft.Leader, Term: h.term, Ready: true}})
}

// scheduleDue runs schedule as Server.Run does: at once, and again when something becomes due.
func (c *core) scheduleDue() {
	c.schedule()
	if wait, any := c.untilRun(); any {
		<-time.After(wait)
		c.schedule()
	}
}

// commitAll commits everything that is proposed.
func (h *leaderHarness) commitAll() {
	proposed := h.log.proposed
	h.log.proposed = nil
	for _, data := range proposed {
		h.commit(data)
	}
	h.core.scheduleDue()
}

// nextPoll runs the control goroutine until the worker is polled.
func (h *leaderHarness) nextPoll() heldPoll {
	h.t.Helper()
	timeout := time.After(responseTimeout)
	for {
		select {
		case poll := <-h.worker.polls:
			return poll
		case next := <-h.core.s.calls:
			h.core.run(next)
			h.core.scheduleDue()
		case <-timeout:
			h.t.Fatal("the worker is not polled")
		}
	}
}

// answer answers a poll and runs the control goroutine until it has handled the response.
func (h *leaderHarness) answer(poll heldPoll, ended ...workerclient.EndedAttempt) {
	h.worker.clock++
	poll.answer <- &workerclient.PollResponse{Clock: h.worker.clock, Incarnation: 1, Ended: ended}
	for next := range h.core.s.calls {
		h.core.run(next)
		h.core.scheduleDue()
		if next.kind == workPolls {
			return
		}
	}
}

func (h *leaderHarness) phase(id model.TaskID) model.TaskPhase {
	j := h.core.machine.Job(id.Job)
	if j.Finished != 0 {
		return j.Ended[id.Index].Phase
	}
	return j.Task(id.Index).Phase
}

func succeeded(number uint64, workflow model.WorkflowID, attempt uint32) workerclient.EndedAttempt {
	return workerclient.EndedAttempt{Number: number, Outcome: workerclient.Succeeded,
		Attempt: workerclient.Attempt{Task: workerclient.TaskName{Workflow: workflow}, Number: attempt}}
}
