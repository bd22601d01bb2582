package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sums that overflow, so that everything seems to fit, or nothing.
func TestSumsOfLargestResourcesDoNotOverflow(t *testing.T) {
	const workers = 1 << 20
	largest := Resources{CPU: MaxResource, Memory: MaxResource, Accelerators: MaxResource}
	assert.Assert(t, largest.InRange())
	for _, n := range []int64{workers, MaxTasks} {
		assert.Assert(t, !largest.Mul(n).Add(largest.Mul(n)).Negative())
		assert.Equal(t, largest.Mul(n).CPU/n, largest.CPU)
	}
	for _, r := range []Resources{{CPU: MaxResource + 1}, {Memory: 1<<63 - 1}, {Accelerators: MaxResource + 1}, {CPU: -1}} {
		assert.Assert(t, !r.InRange(), "%s", r)
	}
}
