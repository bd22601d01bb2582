package entry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

func listen(t *testing.T, name string) *wire.Endpoint {
	t.Helper()
	e, err := wire.Listen(wire.Options{Address: "127.0.0.1:0", Name: name, Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry()})
	assert.NilError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

// leaderless is a control process that knows no leader, and an entry that calls it.
type leaderless struct {
	control *wire.Endpoint
	client  *leaderClient
	probes  atomic.Int64
	elected atomic.Bool // the control process leads
}

func newLeaderless(t *testing.T) *leaderless {
	t.Helper()
	c := &leaderless{control: listen(t, "core-1")}
	wire.Handle(c.control, wire.KindProbe, func(context.Context, wire.Peer, *proto.Empty) (*proto.Probe, error) {
		c.probes.Add(1)
		if !c.elected.Load() {
			return &proto.Probe{}, nil
		}
		return &proto.Probe{Ready: true, Term: 1, Leader: c.control.Address()}, nil
	})
	wire.Handle(c.control, wire.KindQueue, func(context.Context, wire.Peer, *proto.Queue) (*proto.QueueView, error) {
		return &proto.QueueView{Waiting: 7}, nil
	})
	c.client = newLeaderClient(listen(t, "front-1"), []string{c.control.Address()}, newMetrics(prometheus.NewRegistry()), log.New(io.Discard))
	return c
}

// call calls the leader n times at once and returns the errors.
func (c *leaderless) call(t *testing.T, n int, timeout time.Duration) []error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	errs := make([]error, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			_, errs[i] = callLeader[proto.Queue, proto.QueueView](ctx, c.client, wire.KindQueue, &proto.Queue{}, 0)
		})
	}
	calls.Wait()
	return errs
}

// Each call for itself would probe every control process up to 10 times a second.
func TestCallsWithoutLeaderShareProbes(t *testing.T) {
	const timeout = time.Second
	const mostProbes = int64(2*timeout/maxSearchPause) + 5
	c := newLeaderless(t)
	for _, err := range c.call(t, 200, timeout) {
		assert.Equal(t, errkind.Of(err), errkind.NoLeader)
	}
	probes := c.probes.Load()
	assert.Assert(t, probes <= mostProbes, "%d probes", probes)
}

func TestCallsThatWaitForLeaderAreAnsweredAfterElection(t *testing.T) {
	c := newLeaderless(t)
	time.AfterFunc(500*time.Millisecond, func() { c.elected.Store(true) })
	for _, err := range c.call(t, 200, 10*time.Second) {
		assert.NilError(t, err)
	}
}
