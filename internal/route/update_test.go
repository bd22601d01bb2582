package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/owner"
)

func TestAnExecutorAskedBackBeforeItWasUsedIsReleased(t *testing.T) {
	released := make([]owner.Grant, 0, 1)
	p := &pool{
		service: "fit",
		now:     time.Now,
		metrics: newOwnerMetrics(nil),
		onIdle:  func(c owner.Grant) { released = append(released, c) },
	}
	own := owner.Owned{Executor: model.ExecutorSpec{ID: "x0", Service: "fit", Slots: 8}, Epoch: 3, ReleaseRequested: true}
	assert.Equal(t, p.update([]owner.Owned{own}, transportTimes{}), 0)
	assert.DeepEqual(t, released, []owner.Grant{{Executor: "x0", Epoch: 3}})
}
