package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstPollsAreSpreadOverPartOfLease(t *testing.T) {
	const lease = 4 * time.Second
	for workers, want := range map[int]time.Duration{
		0:      maxFirstPollGap,
		48:     maxFirstPollGap,
		500:    maxFirstPollGap,
		5_000:  100 * time.Microsecond,
		22_000: 22727 * time.Nanosecond,
	} {
		assert.Equal(t, firstPollGap(workers, lease), want, "%d workers", workers)
	}
}
