package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
)

func TestUnusedExecutorIsReleasedOnRequest(t *testing.T) {
	released := make([]owner.Claim, 0, 1)
	p := &pool{
		service: "fit",
		now:     time.Now,
		metrics: newOwnerMetrics(nil),
		onIdle:  func(c owner.Claim) { released = append(released, c) },
	}
	owned := owner.Owned{Executor: model.ExecutorSpec{ID: "x0", Service: "fit", Slots: 8}, Epoch: 3, Release: true}
	assert.Equal(t, p.reconcile([]owner.Owned{owned}, transportTimeouts{}), 0)
	assert.DeepEqual(t, released, []owner.Claim{{Executor: "x0", Epoch: 3}})
}
