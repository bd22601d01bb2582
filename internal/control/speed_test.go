package control

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
	"github.com/filbertmast/filbertmast/internal/state"
)

// tickLeader lets the leader do what is due with time, and returns the proposals of whether the
// speed of workers is estimated.
func (h *leaderHarness) tickLeader() (enabled []bool) {
	h.t.Helper()
	h.core.leader.tick(h.core.s.now())
	for _, data := range h.log.proposed {
		cmd, err := state.Decode(data)
		assert.NilError(h.t, err)
		if cmd.SetWorkerSpeed != nil {
			enabled = append(enabled, cmd.SetWorkerSpeed.Enabled)
		}
	}
	return enabled
}

// TestLeaderProposesItsWorkerSpeedSetting guards against replicas that estimate by their own
// settings, and against a proposal with each tick.
func TestLeaderProposesItsWorkerSpeedSetting(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	assert.Equal(t, len(h.tickLeader()), 0, "the setting is off, as in the state")
	h.core.stepDown("test")

	h = h.successor()
	h.core.s.opts.WorkerSpeed = true
	h.lead()
	assert.DeepEqual(t, h.tickLeader(), []bool{true})
	assert.DeepEqual(t, h.tickLeader(), []bool{true}) // it is proposed already
	h.commitAll()
	assert.Assert(t, h.core.machine.WorkerSpeed())
	assert.Equal(t, len(h.tickLeader()), 0)

	h = h.successor()
	h.lead()
	h.log.full = true
	assert.Equal(t, len(h.tickLeader()), 0)
	h.log.full = false
	assert.DeepEqual(t, h.tickLeader(), []bool{false}) // the refused proposal is made again
	h.commitAll()
	assert.Assert(t, !h.core.machine.WorkerSpeed())
}

// TestNewLeaderHasSpeedsOfState guards against speeds that are lost with the leader that learned
// them, and checks what an operator sees of them.
func TestNewLeaderHasSpeedsOfState(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.core.s.opts.WorkerSpeed = true
	h.apply(&state.Command{SetWorkerSpeed: &state.SetWorkerSpeed{Enabled: true}})
	h.apply(&state.Command{Announce: &state.Announce{Spec: model.WorkerSpec{ID: "quick", Capacity: model.Resources{CPU: 4000, Memory: 4096},
		Region: "south", FailureDomain: "selfoss", Incarnation: 1, Address: "127.0.0.1:2"}}})
	h.apply(&state.Command{SubmitWorkflow: &state.SubmitWorkflow{Spec: model.WorkflowSpec{ID: "g", Team: "stands", Queue: "flows",
		Steps: []model.Step{{Policy: model.PolicyBatch, Tasks: 16, Size: model.Resources{CPU: 1000}}}}}})
	job := h.core.machine.Workflow("g").Jobs[0]
	at := h.core.machine.Now()
	commit := func(cmd *state.Command) {
		cmd.At = at
		data, err := cmd.Encode()
		assert.NilError(t, err)
		h.commit(data)
	}
	for i := range int32(15) {
		id := model.TaskID{Job: job, Index: i}
		worker, ran := model.WorkerID("w"), 2*time.Second
		if i%2 == 0 {
			worker, ran = "quick", time.Second
		}
		commit(&state.Command{Place: &state.Place{Placements: []state.Placement{{Task: id, Worker: worker, Size: model.Resources{CPU: 1000}}}}})
		for _, as := range []api.ReportState{api.ReportStarted, api.ReportSucceeded} {
			commit(&state.Command{Report: &state.Report{Reports: []state.WorkerReport{{Worker: worker, Session: h.core.machine.Worker(worker).Session,
				Reports: []api.Report{{Task: id, Fence: h.core.machine.Job(job).Task(i).Fence, State: as}}}}}})
			at = at.Add(ran)
		}
	}
	h.lead()
	l := h.core.leader
	assert.Equal(t, l.sched.SpeedClass("w"), speed.Slow)
	assert.Equal(t, l.sched.SpeedClass("quick"), speed.Fast)
	slow, quick := l.workerView(h.core.machine.Worker("w")), l.workerView(h.core.machine.Worker("quick"))
	assert.Assert(t, slow.SpeedPermille > 650 && slow.SpeedPermille < 800, "%d", slow.SpeedPermille)
	assert.Assert(t, quick.SpeedPermille > 1250 && quick.SpeedPermille < 1500, "%d", quick.SpeedPermille)
	l.countWorkerSpeeds()
	gauge := h.core.s.metrics.workerSpeeds
	for class, want := range map[string]float64{"slow": 1, "normal": 0, "fast": 1} {
		assert.Equal(t, testutil.ToFloat64(gauge.WithLabelValues(class)), want, class)
	}

	h.apply(&state.Command{SetWorkerSpeed: &state.SetWorkerSpeed{}})
	assert.Equal(t, l.sched.SpeedClass("w"), speed.Average)
	l.countWorkerSpeeds()
	assert.Equal(t, testutil.CollectAndCount(gauge), 0, "without the setting there are no values")
}
