package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testMaxDelay = 50 * time.Millisecond

func TestLateTicksMeanOverload(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, row := range []struct {
		name  string
		late  time.Duration
		after time.Duration // since the tick was handled
		want  bool
	}{
		{"a tick in time", 0, 0, false},
		{"the latest allowed tick", testMaxDelay, 0, false},
		{"a late tick", testMaxDelay + 1, 0, true},
		{"shortly after a late tick", testMaxDelay + 1, overloadHold - 1, true},
		{"long after a late tick", testMaxDelay + 1, overloadHold, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			o := overload{maxDelay: testMaxDelay}
			o.observe(start, start.Add(row.late))
			assert.Equal(t, o.active(start.Add(row.late+row.after)), row.want)
		})
	}
}

func TestOverloadBeginsOnce(t *testing.T) {
	o := overload{maxDelay: testMaxDelay}
	at := time.Unix(1000, 0)
	assert.Assert(t, o.observe(at, at.Add(time.Second)))
	assert.Assert(t, !o.observe(at, at.Add(time.Second)), "it is known already")
	assert.Assert(t, o.observe(at.Add(time.Hour), at.Add(time.Hour+time.Second)))
}

func TestWithoutMaxDelayThereIsNoOverload(t *testing.T) {
	var o overload
	at := time.Unix(1000, 0)
	assert.Assert(t, !o.observe(at, at.Add(time.Hour)))
	assert.Assert(t, !o.active(at.Add(time.Hour)))
}
