package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

func TestUnknownAttemptIsLoggedWithWhatTheStateKnows(t *testing.T) {
	attempt := func(workflow model.WorkflowID, number uint32) workerclient.Attempt {
		return workerclient.Attempt{Task: workerclient.TaskName{Workflow: workflow}, Number: number}
	}
	for name, c := range map[string]struct {
		prepare func(h *leaderHarness, task model.TaskID)
		attempt workerclient.Attempt
		known   string
		fields  []string
	}{
		"task is not in the state": {attempt: attempt("x", 1), known: knownNoTask},
		"attempt was never placed": {attempt: attempt("f", 2), known: knownNotPlaced,
			fields: []string{"level=warn", "phase=starting", "last_attempt=1", "last_worker=w", "last_placed=1/4"}},
		"task is placed elsewhere": {attempt: attempt("f", 1), known: knownElsewhere, fields: []string{"level=warn", "last_worker=w"}},
		"attempt has ended": {attempt: attempt("f", 1), known: knownEnded, fields: []string{"phase=pending", "last_attempt=1"},
			prepare: func(h *leaderHarness, task model.TaskID) { h.report(task, api.ReportLapsed) }},
		"later attempt is placed": {attempt: attempt("f", 1), known: knownLater, fields: []string{"last_attempt=2", "before=reported_lapsed", "before_placed=1/4"},
			prepare: func(h *leaderHarness, task model.TaskID) {
				h.report(task, api.ReportLapsed)
				h.apply(&state.Command{Place: &state.Place{Placements: []state.Placement{{Task: task, Worker: "w", Size: model.Resources{CPU: 1000}}}}})
			}},
		"leader has lost its quorum": {attempt: attempt("f", 2), known: knownBehind, fields: []string{"level=info", "last_attempt=1"},
			prepare: func(h *leaderHarness, _ model.TaskID) { h.log.noQuorum = true }},
		"job has finished": {attempt: attempt("f", 1), known: knownJobFinished,
			prepare: func(h *leaderHarness, task model.TaskID) { h.report(task, api.ReportSucceeded) }},
	} {
		t.Run(name, func(t *testing.T) {
			h, task := newLeaderHarness(t)
			if c.prepare != nil {
				c.prepare(h, task)
			}
			h.lead()
			h.announce("w2", 1)
			out := h.logTo()
			pw := h.core.leader.polled.workers["w"]
			if c.known == knownElsewhere {
				pw = h.core.leader.polled.workers["w2"]
			}
			h.core.leader.polled.stopUnknown(pw, &c.attempt)
			lines := linesOf(out, "Leader stops an attempt that the state does not place on this worker.")
			assert.Equal(t, len(lines), 1, out.String())
			assertFields(t, lines[0], append(c.fields, "known="+c.known, fmt.Sprintf("fence=%d", pw.fence), "term=2")...)
			assert.Equal(t, testutil.ToFloat64(h.core.s.metrics.unknownAttempts.WithLabelValues(c.known)), 1.0)
		})
	}
}

func TestResponseIsLoggedIfProcessCannotProveThatItLeads(t *testing.T) {
	const message = "The response to a command came while this process could not prove that it leads."
	for name, c := range map[string]struct {
		lose    func(h *leaderHarness)
		stopped bool
	}{
		"it has stopped leading":              {func(h *leaderHarness) { h.core.stepDown("test") }, true},
		"it has lost contact with its quorum": {func(h *leaderHarness) { h.log.noQuorum = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newLeaderHarness(t)
			h.lead()
			h.answer(h.nextPoll())
			h.placeAnother("g")
			<-h.worker.starts
			out := h.logTo()
			c.lose(h)
			ofG := func(line string) bool { return strings.Contains(line, " workflow=g ") }
			timeout := time.After(responseTimeout)
			for !slices.ContainsFunc(linesOf(out, message), ofG) {
				select {
				case next := <-h.core.s.calls:
					h.core.run(next)
				case <-timeout:
					t.Fatal("the response was not handled")
				}
			}
			lines := linesOf(out, message)
			assertFields(t, lines[slices.IndexFunc(lines, ofG)], "attempt=1", "worker=w", "order=start", "verdict=unknown", "term=2",
				fmt.Sprintf("stopped_leading=%t", c.stopped))
		})
	}
}
