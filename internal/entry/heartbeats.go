package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/batch"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	// heartbeatLinger is how long a heartbeat waits for others. A worker waits longer for the
	// response by far.
	heartbeatLinger = 50 * time.Millisecond
	// heartbeatsTimeout bounds the call for a batch. A heartbeat is then sent on its own.
	heartbeatsTimeout = 400 * time.Millisecond
)

// heartbeats sends the heartbeats of polled workers to the leader, many with one call. Nearly
// all of them need no action there.
type heartbeats struct {
	leader *leaderClient
	batch  batch.Batch[*sentHeartbeat]
}

// sentHeartbeat is a heartbeat that waits for its response.
type sentHeartbeat struct {
	heartbeat *proto.Heartbeat
	recorded  chan bool // gets one value
}

func newHeartbeats(leader *leaderClient) *heartbeats {
	h := &heartbeats{leader: leader}
	h.batch.Linger, h.batch.Send = heartbeatLinger, h.send
	return h
}

// record sends a heartbeat and reports whether the leader has confirmed that it needs no
// action. If not, it must be sent as a call of its own.
func (h *heartbeats) record(ctx context.Context, b *proto.Heartbeat) bool {
	sent := &sentHeartbeat{b, make(chan bool, 1)}
	h.batch.Add(sent)
	select {
	case recorded := <-sent.recorded:
		return recorded
	case <-ctx.Done():
		return false
	}
}

func (h *heartbeats) send(all []*sentHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatsTimeout)
	defer cancel()
	req := &proto.Heartbeats{}
	for _, sent := range all {
		req.Heartbeats = append(req.Heartbeats, *sent.heartbeat)
	}
	resp, err := tryLeader[proto.Heartbeats, proto.HeartbeatsRecorded](ctx, h.leader, wire.KindHeartbeats, req, 0)
	if err != nil {
		h.leader.metrics.retried(errkind.Of(err))
	}
	for i, sent := range all {
		sent.recorded <- err == nil && i < len(resp.Recorded) && resp.Recorded[i]
	}
}
