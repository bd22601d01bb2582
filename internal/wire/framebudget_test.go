package wire

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Large messages that peers send at the same time must not take any amount of memory. One that
// has no room is refused unread, so that its sender knows that it was not run; small ones pass.
func TestLargeRequestsAreBounded(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	text := strings.Repeat("x", 2*readStep)
	b.frames.limit = int64(3 * readStep)
	running, release := make(chan struct{}), make(chan struct{})
	Handle(b, KindProbe, func(_ context.Context, _ Peer, req *echoRequest) (*echoResponse, error) {
		if req.Text == text {
			running <- struct{}{}
			<-release
		}
		return &echoResponse{Text: req.Text}, nil
	})
	call := func(text string) error {
		_, err := Call[echoRequest, echoResponse](testContext(t), a, b.Address(), KindProbe, &echoRequest{Text: text})
		return err
	}
	first := make(chan error, 1)
	go func() { first <- call(text) }()
	<-running
	err := call(text)
	assert.Assert(t, errkind.Is(err, errkind.Unreachable), "%v", err)
	assert.NilError(t, call("small"))
	close(release)
	assert.NilError(t, <-first)
	go func() { <-running }()
	assert.NilError(t, call(text))
}
