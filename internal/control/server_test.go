package control

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
)

func TestQueuedCallOfCallerThatLeftIsNotRun(t *testing.T) {
	held := newHeldCore(t, &heldLog{}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ran := false
	ended := make(chan error)
	go func() {
		_, err := callControl(ctx, held.s, func(_ *core, done reply[proto.Empty]) {
			ran = true
			done(&proto.Empty{}, nil)
		})
		ended <- err
	}()
	next := <-held.s.calls
	cancel()
	assert.Equal(t, errkind.Of(<-ended), errkind.OutcomeUnknown)
	held.run(next)
	assert.Assert(t, !ran)
}
