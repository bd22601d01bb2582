package obs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// offer offers one line of each of n workflows, evenly over a second that begins at
// start, and returns the workflows whose line was kept.
func offer(s *Sampler, start time.Time, n int) map[string]bool {
	kept := map[string]bool{}
	for i := range n {
		workflow := fmt.Sprintf("flow-%d", i)
		if s.Keep(workflow, start.Add(time.Second*time.Duration(i)/time.Duration(n))) {
			kept[workflow] = true
		}
	}
	return kept
}

func TestSamplerKeepsAllLinesUpToItsRate(t *testing.T) {
	s := NewSampler(Discard(), 100)
	start := time.Unix(1000, 0)
	for second := range 10 {
		assert.Equal(t, len(offer(s, start.Add(time.Duration(second)*time.Second), 100)), 100)
	}
}

func TestSamplerKeepsTheSameWorkflowsAboveItsRate(t *testing.T) {
	s := NewSampler(Discard(), 100)
	start := time.Unix(1000, 0)
	for second := range 3 {
		offer(s, start.Add(time.Duration(second)*time.Second), 1000)
	}
	first := offer(s, start.Add(3*time.Second), 1000)
	assert.Assert(t, len(first) > 20 && len(first) <= 100, "%d lines were kept", len(first))
	for second := 4; second < 60; second++ {
		assert.DeepEqual(t, offer(s, start.Add(time.Duration(second)*time.Second), 1000), first)
	}
}

func TestWorkflowsOfSmallerShareAreAmongThoseOfLargerShare(t *testing.T) {
	start := time.Unix(1000, 0)
	kept := func(halvings uint) map[string]bool {
		s := NewSampler(Discard(), 1000)
		s.halvings, s.busy = halvings, start
		return offer(s, start, 1000)
	}
	larger, smaller := kept(1), kept(3)
	assert.Assert(t, len(smaller) > 0 && len(smaller) < len(larger))
	for workflow := range smaller {
		assert.Assert(t, larger[workflow], workflow)
	}
}

func TestSamplerKeepsMoreWorkflowsAgainAfterLoad(t *testing.T) {
	s := NewSampler(Discard(), 100)
	start := time.Unix(1000, 0)
	offer(s, start, 1000)
	halvings := s.halvings
	assert.Assert(t, halvings > 0)
	second := time.Second
	for ; second < sampleHold; second += time.Second {
		offer(s, start.Add(second), 10)
	}
	assert.Equal(t, s.halvings, halvings, "the share is held")
	for ; s.halvings > 0; second += time.Second {
		assert.Assert(t, second < 10*sampleHold)
		offer(s, start.Add(second), 10)
	}
	assert.Equal(t, len(offer(s, start.Add(second), 10)), 10)
}

func TestSamplerReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	s := NewSampler(NewLogger(&out, "info", "logfmt"), 100)
	start := time.Unix(1000, 0)
	kept := len(offer(s, start, 150))
	assert.Equal(t, out.Len(), 0)
	offer(s, start.Add(time.Second), 1)
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf("lines=%d one_kept_of=2", 150-kept)), out.String())
}

func TestKeepAllocatesNothing(t *testing.T) {
	s := NewSampler(Discard(), 100)
	now := time.Unix(1000, 0)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { s.Keep("5c0e7a21d94b36f8", now) }), 0.0)
}
