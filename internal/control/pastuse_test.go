package control

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/state"
)

const hour = model.Duration(time.Hour)

// proposedHalfLives returns the proposals of a half-life that are not committed.
func (h *leaderHarness) proposedHalfLives() (out []model.Duration) {
	h.t.Helper()
	for _, data := range h.log.proposed {
		cmd, err := state.Decode(data)
		assert.NilError(h.t, err)
		if cmd.SetPastUse != nil {
			out = append(out, cmd.SetPastUse.HalfLife)
		}
	}
	return out
}

// team returns the view of the only team.
func (h *leaderHarness) team() api.TeamView { return h.core.leader.statusOf().Teams[0] }

// pastGauges returns how many teams have a gauge.
func (h *leaderHarness) pastGauges() int { return testutil.CollectAndCount(h.core.s.metrics.pastLoad) }

// Guards against a system in which past use counts although no setting enables it.
func TestPastUseIsOffByDefault(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.lead()
	h.core.tick()
	assert.Equal(t, len(h.proposedHalfLives()), 0)
	assert.Assert(t, !h.core.leader.sched.ConsidersPastUse())
	assert.Assert(t, h.team().PastUse == nil)
	assert.Equal(t, h.core.leader.statusOf().PastUseHalfLife, model.Duration(0))
	assert.Equal(t, h.pastGauges(), 0)
}

// Guards against a setting that is never proposed, proposed with each tick, or forgotten when
// the log refuses the proposal.
func TestLeaderProposesItsHalfLifeUntilItIsInForce(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.core.s.opts.PastUseHalfLife = hour
	h.lead()
	h.log.proposed = nil
	h.log.full = true
	h.core.tick()
	h.log.full = false
	h.core.tick()
	h.core.tick()
	assert.DeepEqual(t, h.proposedHalfLives(), []model.Duration{hour})
	h.commitAll()
	h.core.tick()
	assert.Equal(t, len(h.proposedHalfLives()), 0)
	assert.Equal(t, h.core.machine.PastUseHalfLife(), hour)
	assert.Assert(t, h.core.leader.sched.ConsidersPastUse())
}

// Guards against past use that a new leader does not have, or has only after some time, and
// against values that stay as they were when the leader began.
func TestNewLeaderHasPastUse(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.apply(&state.Command{SetPastUse: &state.SetPastUse{HalfLife: hour}})
	h = h.successor()
	h.core.s.opts.PastUseHalfLife = hour
	pass := h.controlTime()
	pass(time.Hour)
	h.lead()
	// One of four cores was reserved for an hour and a second, which is half of a quarter.
	checkPastUse(t, h, 500, 125)
	assert.Assert(t, h.pastGauges() == 1)
	pass(time.Hour)
	h.core.s.opts.Log.(*heldLog).proposed = nil
	h.core.tick()
	checkPastUse(t, h, 750, 187)
	assert.Equal(t, len(h.proposedHalfLives()), 0)
	h.core.stepDown("test")
	assert.Equal(t, h.pastGauges(), 0, "a process that does not lead reports past use")
}

// checkPastUse checks the past use of the only team, up to the seconds that a test takes.
func checkPastUse(t *testing.T, h *leaderHarness, cpu, permille int64) {
	t.Helper()
	past := h.team().PastUse
	assert.Assert(t, past != nil)
	assert.Assert(t, past.Average.CPU >= cpu && past.Average.CPU <= cpu+2, "%d, want %d", past.Average.CPU, cpu)
	assert.Assert(t, past.LoadPermille >= permille && past.LoadPermille <= permille+1, "%d, want %d", past.LoadPermille, permille)
	gauge := testutil.ToFloat64(h.core.s.metrics.pastLoad.WithLabelValues("stands"))
	assert.Assert(t, gauge*1000 >= float64(permille) && gauge*1000 <= float64(permille+1), "%v", gauge)
}

// Guards against history that is lost in a restart of the replicas one at a time, in which
// leaders with the old and the new setting follow each other, and against a scheduler that
// goes on with past use after it was disabled.
func TestLeadersWithOtherSettingsFollowEachOther(t *testing.T) {
	h, _ := newLeaderHarness(t)
	h.apply(&state.Command{SetPastUse: &state.SetPastUse{HalfLife: hour}})
	passed := time.Duration(0)
	for _, setting := range []model.Duration{2 * hour, hour, 2 * hour} {
		h = h.successor()
		passed += 10 * time.Minute
		h.controlTime()(passed)
		h.core.s.opts.PastUseHalfLife = setting
		h.lead()
		before := h.team().PastUse.Average.CPU
		h.core.tick()
		h.commitAll()
		assert.Equal(t, h.core.leader.statusOf().PastUseHalfLife, setting)
		after := h.team().PastUse.Average.CPU
		assert.Assert(t, before > 50 && after >= before && after <= before+2, "%d became %d", before, after)
	}
	h = h.successor()
	h.lead()
	h.core.tick()
	h.commitAll()
	assert.Assert(t, !h.core.leader.sched.ConsidersPastUse())
	assert.Assert(t, h.team().PastUse == nil)
	assert.Equal(t, h.pastGauges(), 0)
}
