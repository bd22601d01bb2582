package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAcceptedLimit(t *testing.T) {
	const mb = 1 << 20
	rows := []struct {
		name            string
		memoryMB        int64
		disk, set, want int64
	}{
		{"the smallest machine of the deployments", 144, 0, 0, 24 * mb},
		{"a control process", 280, 128 * mb, 0, 58 * mb},
		{"a small disk", 280, 64 * mb, 0, 48 * mb},
		{"hardly any memory", 32, 0, 0, 2 * mb},
		{"no limit of the memory", 0, 0, 0, 1024 * mb},
		{"set", 280, 128 * mb, 7 * mb, 7 * mb},
	}
	for _, row := range rows {
		s := Default()
		s.Memory.LimitMB, s.Limits.AcceptedBytes = row.memoryMB, row.set
		assert.Equal(t, s.AcceptedLimit(row.disk), row.want, row.name)
	}
}
