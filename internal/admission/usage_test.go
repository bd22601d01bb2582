package admission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// fill charges a team in units of size until no more fit, and returns how many did.
func fill(u *Usage, team string, size, limit int64) int {
	n := 0
	for ; u.Fits(team, size, limit); n++ {
		u.Charge(team, new(int64), size)
	}
	return n
}

func TestTeamLeavesRoomForOthers(t *testing.T) {
	const limit = 1200
	u := NewUsage()
	for i, want := range []int{600, 300, 150, 75} {
		team := fmt.Sprint("t", i)
		assert.Equal(t, fill(&u, team, 1, limit), want, "team %s after %d others", team, i)
	}
	assert.Assert(t, u.Total() < limit)
	assert.Assert(t, u.Fits("another", 1, limit))
}

func TestReleasedRoomIsGivenAgain(t *testing.T) {
	u := NewUsage()
	var charged int64
	u.Charge("a", &charged, 50)
	assert.Assert(t, !u.Fits("a", 1, 100))
	u.Charge("a", &charged, 10)
	assert.Assert(t, u.Fits("a", 40, 100))
	u.Charge("a", &charged, 0)
	assert.Equal(t, u.Total(), int64(0))
	assert.Equal(t, len(u.byTeam), 0)
}

func TestNoLimitFitsAll(t *testing.T) {
	u := NewUsage()
	assert.Assert(t, u.Fits("a", 1<<60, 0))
	assert.Assert(t, FitsAlone(1<<60, 0))
	assert.Assert(t, FitsAlone(50, 100) && !FitsAlone(51, 100))
}

// What a client may write freely must count.
func TestCostGrowsWithEachPartOfSubmission(t *testing.T) {
	base := func() *model.WorkflowSpec {
		return &model.WorkflowSpec{ID: "f", Steps: []model.Step{{Tasks: 1}}}
	}
	rows := []struct {
		name   string
		change func(*model.WorkflowSpec)
		least  int64
	}{
		{"payload", func(s *model.WorkflowSpec) { s.Payload = string(make([]byte, 1000)) }, 1000},
		{"tasks", func(s *model.WorkflowSpec) { s.Steps[0].Tasks = 1001 }, 1000 * taskBytes},
		{"steps", func(s *model.WorkflowSpec) { s.Steps = make([]model.Step, 101) }, 100 * jobBytes},
		{"predecessors", func(s *model.WorkflowSpec) { s.Steps[0].After = make([]int32, 100) }, 400},
		{"selector", func(s *model.WorkflowSpec) { s.Steps[0].Selector = string(make([]byte, 1000)) }, 1000},
	}
	plain := OfWorkflow(base())
	assert.Assert(t, plain.Finished < plain.Unfinished)
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := base()
			row.change(s)
			got := OfWorkflow(s)
			assert.Assert(t, got.Unfinished >= plain.Unfinished+row.least, "%d after %d", got.Unfinished, plain.Unfinished)
			assert.Assert(t, got.Finished <= got.Unfinished)
		})
	}
}
