package obs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLineBudgetBoundsFloodAndTellsWhatItDropped(t *testing.T) {
	var out bytes.Buffer
	b := NewLineBudget(NewLogger(&out, "info", "logfmt"), "second starts", 10, 20)
	start := time.Unix(1000, 0)
	taken := 0
	for i := range 1000 {
		if b.Take(start.Add(time.Duration(i) * time.Millisecond)) {
			taken++
		}
	}
	assert.Assert(t, taken >= 29 && taken <= 30, "%d lines", taken)
	b.Report()
	assert.Assert(t, strings.Contains(out.String(), `kind="second starts"`), out.String())
	out.Reset()
	b.Report()
	assert.Equal(t, out.Len(), 0, "each dropped line is told once")
}
