package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// Guards against a leader that gets a call for each heartbeat, and against one that is dropped with its batch.
func TestHeartbeatsShareCallsAndAreSentAloneIfNotRecorded(t *testing.T) {
	const workers, changed = 50, "w7"
	for _, failing := range []bool{false, true} {
		c := newLeaderless(t)
		c.elected.Store(true)
		var batches, singles atomic.Int64
		wire.Handle(c.control, wire.KindHeartbeats, func(_ context.Context, _ wire.Peer, req *proto.Heartbeats) (*proto.HeartbeatsRecorded, error) {
			batches.Add(1)
			if failing {
				return nil, errkind.New(errkind.Internal, "failed")
			}
			out := &proto.HeartbeatsRecorded{}
			for i := range req.Heartbeats {
				out.Recorded = append(out.Recorded, req.Heartbeats[i].Spec.ID != changed)
			}
			return out, nil
		})
		wire.Handle(c.control, wire.KindHeartbeat, func(context.Context, wire.Peer, *proto.Heartbeat) (*proto.Empty, error) {
			singles.Add(1)
			return &proto.Empty{}, nil
		})
		s := &Server{leader: c.client, heartbeats: newHeartbeats(c.client)}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var sent sync.WaitGroup
		for i := range workers {
			sent.Go(func() {
				spec := model.WorkerSpec{ID: model.WorkerID(fmt.Sprint("w", i)), Address: "10.0.0.9:8080", Region: "south", FailureDomain: "selfoss", Capacity: model.Resources{CPU: 4000}}
				assert.Check(t, s.Heartbeat(ctx, &proto.Heartbeat{Spec: spec}))
			})
		}
		sent.Wait()
		assert.Assert(t, batches.Load() < workers/4, "%d calls", batches.Load())
		want := int64(1)
		if failing {
			want = workers
		}
		assert.Equal(t, singles.Load(), want)
	}
}
