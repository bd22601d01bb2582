package control

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

func TestNewLeaderLogsWhatItTakesOver(t *testing.T) {
	h, task := newLeaderHarness(t)
	h.placeAnother("g")
	h.report(task, api.ReportStarted)
	out := h.logTo()
	h.lead()
	assertFields(t, linesOf(out, "This process leads.")[0], "term=2", "last_entry=1/7", "workers=1", "starting=1", "running=1", "stopping=0")
	out.Reset()
	h.core.stepDown("test")
	assertFields(t, linesOf(out, "This process leads no longer.")[0], "term=2", "applied=1/7")
}

func TestLeaderChangeNamesEachInheritedAttempt(t *testing.T) {
	h, running := newLeaderHarness(t)
	h.placeAnother("ended")
	h.placeAnother("absent")
	h.report(running, api.ReportStarted)
	h.lead()
	out := h.logTo()
	poll := h.nextPoll()
	active := workerclient.Attempt{Task: workerclient.TaskName{Workflow: "f"}, Number: 1}
	poll.answer <- &workerclient.PollResponse{Clock: 1001, Incarnation: 1, Active: []workerclient.ActiveAttempt{{Attempt: active}},
		Ended: []workerclient.EndedAttempt{succeeded(1, "ended", 1)}}
	h.nextPoll()
	lines := linesOf(out, "An inherited worker has answered for the first time.")
	assert.Equal(t, len(lines), 1, out.String())
	assertFields(t, lines[0], "worker=w", "term=2", "session=2", "listed_running=1", "listed_ended=1", "attempts=3", "left_out=0")
	for _, attempt := range []string{"f.0.0#1:running:1/4:running", "ended.0.0#1:starting:1/6:ended", "absent.0.0#1:starting:1/8:absent"} {
		assert.Assert(t, strings.Contains(lines[0], attempt), "%s is not in %s", attempt, lines[0])
	}
	for _, found := range []string{foundRunning, foundEnded, foundAbsent} {
		assert.Equal(t, testutil.ToFloat64(h.core.s.metrics.inheritedAttempts.WithLabelValues(found)), 1.0, found)
	}
}

func TestLastEntryOfEarlierTermIsNamed(t *testing.T) {
	var a appliedEntries
	assert.Equal(t, position(a.before(1)), "unknown")
	for _, at := range []model.Fence{{Term: 2, Index: 5}, {Term: 3, Index: 6}, {Term: 3, Index: 7}} {
		a.add(at)
	}
	assert.Equal(t, position(a.before(3)), "2/5")
	assert.Equal(t, position(a.before(4)), "3/7")
}
