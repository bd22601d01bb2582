package obs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestProcessorTimeGrowsWithWork(t *testing.T) {
	before, err := ReadProcessorTime()
	assert.NilError(t, err)
	for start := time.Now(); time.Since(start) < 50*time.Millisecond; {
	}
	after, err := ReadProcessorTime()
	assert.NilError(t, err)
	took := after.Sub(before)
	assert.Assert(t, took.All > 0 && took.Collector >= 0, "%+v", took)
}
