package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Each part of the budget must have room for the largest body of its class, and the parts
// together must leave most of the memory.
func TestBodyBudgets(t *testing.T) {
	const mb = 1 << 20
	const largestConfig = 2 * (MaxConfigurationBytes + 1)
	rows := []struct {
		name             string
		limitMB, maxBody int64
		budget           int64
		want             BodyBudgets
	}{
		{"the smallest machine", 144, 256 << 10, 0, BodyBudgets{2 * (144 * mb / 4 / 5), 144 * mb / 4 / 5, largestConfig}},
		{"a larger one", 424, 256 << 10, 0, BodyBudgets{2 * (424 * mb / 4 / 5), 424 * mb / 4 / 5, 2 * (424 * mb / 4 / 5)}},
		{"no limit", 0, 4 * mb, 0, BodyBudgets{64 * mb, 32 * mb, 64 * mb}},
		{"too small for the largest bodies", 32, 4 * mb, 0, BodyBudgets{8*mb + 2, 8*mb + 2, largestConfig}},
		{"as set", 144, mb, 100 * mb, BodyBudgets{40 * mb, 20 * mb, 40 * mb}},
	}
	for _, row := range rows {
		s := Default()
		s.Memory.LimitMB, s.Outer.MaxBodyBytes, s.Outer.BodyBudgetBytes = row.limitMB, row.maxBody, row.budget
		assert.Equal(t, s.BodyBudgets(), row.want, row.name)
	}
}
