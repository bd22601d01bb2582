package control

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// logTo directs the log of the process to a buffer.
func (h *leaderHarness) logTo() *bytes.Buffer {
	var out bytes.Buffer
	logger := obs.NewLogger(&out, "info", "logfmt")
	h.core.log, h.core.s.log, h.core.budgets = logger, logger, newLineBudgets(logger)
	return &out
}

// linesOf returns the lines with a message.
func linesOf(out *bytes.Buffer, message string) []string {
	var lines []string
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, fmt.Sprintf("msg=%q", message)) {
			lines = append(lines, line)
		}
	}
	return lines
}

// assertFields asserts that a line has every field, written as name=value.
func assertFields(t *testing.T, line string, fields ...string) {
	t.Helper()
	for _, f := range fields {
		assert.Assert(t, strings.Contains(line+" ", " "+f+" ") || strings.Contains(line, " "+f+"\n"), "%s is not in %s", f, line)
	}
}

// announce commits the announcement of an incarnation of a worker, and gives it a clock.
func (h *leaderHarness) announce(id model.WorkerID, incarnation uint64) {
	h.t.Helper()
	h.apply(&state.Command{Announce: &state.Announce{Spec: model.WorkerSpec{ID: id, Capacity: model.Resources{CPU: 4000, Memory: 4096},
		Region: "south", FailureDomain: "selfoss", Incarnation: incarnation, Address: "127.0.0.1:2"}}})
	if l := h.core.leader; l != nil {
		l.polled.workers[id].clock.Observe(1000, h.core.s.now())
	}
}

// lose commits the loss of worker w.
func (h *leaderHarness) lose(replaced bool) {
	w := h.core.machine.Worker("w")
	h.apply(&state.Command{MarkWorkersLost: &state.MarkWorkersLost{Workers: []state.LostWorker{{ID: "w", Session: w.Session, Replaced: replaced}}}})
}

func TestFurtherStartIsLoggedWithEndOfAttemptBefore(t *testing.T) {
	for name, c := range map[string]struct {
		before string
		end    func(h *leaderHarness, task model.TaskID)
	}{
		"worker lost":     {endedWorkerLost, func(h *leaderHarness, _ model.TaskID) { h.lose(false) }},
		"worker replaced": {endedWorkerReplaced, func(h *leaderHarness, _ model.TaskID) { h.lose(true) }},
		"worker restarted": {endedWorkerRestarted, func(h *leaderHarness, _ model.TaskID) {
			h.announce("w", 2)
		}},
		"lease lost": {endedLeaseLost, func(h *leaderHarness, task model.TaskID) {
			held := state.HeldAttempt{Task: task, Fence: h.core.machine.Job(task.Job).Tasks[0].Fence}
			h.apply(&state.Command{LoseAttempts: &state.LoseAttempts{Worker: "w", Session: h.core.machine.Worker("w").Session, Attempts: []state.HeldAttempt{held}}})
		}},
		"released": {string(basisNotRunning), func(h *leaderHarness, task model.TaskID) {
			p := h.core.leader.polled
			_, running := p.l.task(task)
			p.release(p.workers["w"], task, running, &release{basis: basisNotRunning, state: api.ReportLapsed})
			p.commitReports()
			h.commitAll()
		}},
		"listed": {"listed_failed", func(h *leaderHarness, _ model.TaskID) {
			end := succeeded(1, "f", 1)
			end.Outcome = workerclient.Failed
			p := h.core.leader.polled
			p.recordEnds(p.workers["w"], []workerclient.EndedAttempt{end})
			p.commitReports()
			h.commitAll()
		}},
		"reported by another process": {"reported_lapsed", func(h *leaderHarness, task model.TaskID) { h.report(task, api.ReportLapsed) }},
		"not seen": {endedUnknown, func(h *leaderHarness, _ model.TaskID) {
			h.lose(false)
			h.core.ends = newAttemptEnds()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h, task := newLeaderHarness(t)
			h.report(task, api.ReportStarted)
			h.lead()
			h.announce("w2", 1)
			c.end(h, task)
			assert.Equal(t, h.phase(task), model.TaskPending)
			out := h.logTo()
			h.apply(&state.Command{Place: &state.Place{Placements: []state.Placement{{Task: task, Worker: "w2", Size: model.Resources{CPU: 1000}}}}})
			lines := linesOf(out, "Start is sent.")
			assert.Equal(t, len(lines), 1, out.String())
			assertFields(t, lines[0], "workflow=f", "attempt=2", "worker=w2", "before="+c.before, "placed="+position(model.Fence{Term: h.term, Index: h.index}))
			if c.before != endedUnknown {
				assertFields(t, lines[0], "before_worker=w", "before_placed=1/4")
				assert.Assert(t, regexp.MustCompile(` before_ended=2/\d+ `).MatchString(lines[0]), lines[0])
			}
			assert.Equal(t, testutil.ToFloat64(h.core.s.metrics.furtherStarts.WithLabelValues(c.before)), 1.0)
		})
	}
}

func TestNewLeaderKnowsWhatEndedAttemptUnderItsPredecessor(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.lose(true)
	h.lead()
	h.announce("w2", 1)
	out := h.logTo()
	h.apply(&state.Command{Place: &state.Place{Placements: []state.Placement{{Task: task, Worker: "w2", Size: model.Resources{CPU: 1000}}}}})
	assertFields(t, linesOf(out, "Start is sent.")[0], "attempt=2", "before=worker_replaced", "before_worker=w", "before_placed=1/4", "before_ended=1/5")
}

// Guards against a release of this replica before its restart that is taken for an end that the worker listed.
func TestReportOfEarlierProcessOfReplicaIsNotTakenForListedEnd(t *testing.T) {
	h, task := newLeaderHarness(t)
	e := &state.TaskChanged{Task: task, Worker: "w", Fence: model.Fence{Term: 1, Index: 4}}
	cmd := &state.Command{ID: h.core.proposals.next(), Report: &state.Report{Reports: []state.WorkerReport{{Worker: "w",
		Reports: []api.Report{{Task: task, Fence: e.Fence, State: api.ReportLapsed}}}}}}
	assert.Equal(t, h.core.endedBy(cmd, e), "listed_lapsed")
	cmd.ID.Seq = h.core.proposals.before
	assert.Equal(t, h.core.endedBy(cmd, e), "reported_lapsed")
}

// Guards against a release that was never committed and is named as what ended an attempt that another process ended.
func TestReleaseThatWasNotCommittedDoesNotExplainReportOfAnotherProcess(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.report(task, api.ReportStarted)
	h.lead()
	p := h.core.leader.polled
	_, running := p.l.task(task)
	p.release(p.workers["w"], task, running, &release{basis: basisNotRunning, state: api.ReportLapsed})
	h.core.stepDown("a test")
	h.report(task, api.ReportFailed)
	assert.Equal(t, h.phase(task), model.TaskPending)
	assert.Equal(t, h.core.ends.last(task, 2).by, "reported_failed")
}

func TestPlacementsAreLoggedWithWorkerAndLogEntry(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	out := h.logTo()
	h.placeAnother("g")
	lines := linesOf(out, "Attempts are placed.")
	assert.Equal(t, len(lines), 1)
	assertFields(t, lines[0], fmt.Sprintf("placed=2/%d", h.index), "attempts=1", "list=g.0.0#1@w")
}

func TestPlacementsOfRunsOfRecurringWorkflowAreToldApart(t *testing.T) {
	h, _ := newLeaderHarness(t)
	size := model.Resources{CPU: 100}
	h.apply(&state.Command{SubmitWorkflow: &state.SubmitWorkflow{Spec: model.WorkflowSpec{ID: "r", Team: "stands", Queue: "flows",
		Runs: 2, FirstAt: 1, Every: 1, Steps: []model.Step{{Policy: model.PolicyBatch, Tasks: 1, Size: size}}}}})
	h.apply(&state.Command{StartRuns: &state.StartRuns{Runs: h.core.machine.DueRuns(h.core.s.now(), 2, 0)}})
	h.lead()
	out := h.logTo()
	place := &state.Place{}
	for run := range int32(2) {
		job := h.core.machine.WorkflowRun("r", run).Jobs[0]
		place.Placements = append(place.Placements, state.Placement{Task: model.TaskID{Job: job}, Worker: "w", Size: size})
	}
	h.apply(&state.Command{Place: place})
	assertFields(t, linesOf(out, "Attempts are placed.")[0], "attempts=2", `list="r.0.0#1@w r/1.0.0#1@w"`)
}

// Guards against a task that no line names, as it was for those of a workflow that is sampled away.
func TestTaskOfWorkflowThatIsSampledAwayIsNamed(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.lead()
	out := h.logTo()
	h.core.taskLines = obs.NewSampler(obs.Discard(), 0)
	h.announce("w2", 1)
	h.lose(false)
	h.apply(&state.Command{Place: &state.Place{Placements: []state.Placement{{Task: task, Worker: "w2", Size: model.Resources{CPU: 1000}}}}})
	h.placeAnother("g")
	assertFields(t, linesOf(out, "Attempts end with their worker.")[0], "list=f.0.0#1:starting:1/4")
	assertFields(t, linesOf(out, "Attempts are placed.")[0], "list=f.0.0#2@w2")
	starts := linesOf(out, "Start is sent.")
	assert.Equal(t, len(starts), 1, "the first start of g is left out: %s", out.String())
	assertFields(t, starts[0], "workflow=f", "attempt=2", "before=worker_lost")
}

func TestFloodOfFurtherStartsIsBoundedAndCounted(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.lead()
	out := h.logTo()
	p := h.core.leader.polled
	second := &state.Task{Attempt: 2, Fence: model.Fence{Term: h.term}}
	attempt := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "f"}, Number: 2}
	logged := 0
	for range 5000 {
		if p.logsStart(&attempt, second) {
			logged++
		}
	}
	assert.Assert(t, logged >= 1000 && logged < 1500, "%d lines", logged)
	h.core.budgets.report()
	left := linesOf(out, "Lines of one kind were left out.")
	assert.Assert(t, len(left) > 0, out.String())
	assertFields(t, left[len(left)-1], `kind="further starts"`)
	for i := range int32(maxAttemptEnds + 10) {
		h.core.ends.add(model.TaskID{Job: task.Job, Index: i}, attemptEnd{})
	}
	assert.Equal(t, h.core.ends.count, maxAttemptEnds)
	h.core.ends.removeJob(task.Job)
	assert.Equal(t, h.core.ends.count, 0)
}

func TestEndOfWorkerIsLoggedWithItsAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		cause string
		end   func(h *leaderHarness)
	}{
		"lost":      {endedWorkerLost, func(h *leaderHarness) { h.lose(false) }},
		"replaced":  {endedWorkerReplaced, func(h *leaderHarness) { h.lose(true) }},
		"restarted": {endedWorkerRestarted, func(h *leaderHarness) { h.announce("w", 2) }},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newLeaderHarness(t)
			h.lead()
			out := h.logTo()
			c.end(h)
			lines := linesOf(out, "Attempts end with their worker.")
			assert.Equal(t, len(lines), 1, out.String())
			assertFields(t, lines[0], "worker=w", "cause="+c.cause, fmt.Sprintf("ended=2/%d", h.index), "session=2", "incarnation=1",
				"last_answer=never", "attempts=1", "left_out=0", "list=f.0.0#1:starting:1/4")
			assert.Assert(t, strings.Contains(lines[0], " last_grant="), lines[0])
			assert.Equal(t, testutil.ToFloat64(h.core.s.metrics.workerEnds.WithLabelValues(c.cause)), 1.0)
			assert.Equal(t, testutil.ToFloat64(h.core.s.metrics.inheritedAttempts.WithLabelValues(foundNever)), 1.0)
		})
	}
}

func TestAttemptsOfLineAreBounded(t *testing.T) {
	attempts := make([]string, 100)
	fields := attemptList(attempts)
	assert.DeepEqual(t, fields[:4], []any{"attempts", 100, "left_out", 100 - maxAttemptsOfLine})
}
