package exchange

import (
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
)

// HeartbeatOrder is what is known of the order of a heartbeat among those of the same
// incarnation of its worker.
type HeartbeatOrder uint8

// The orders of heartbeats.
const (
	HeartbeatUnordered HeartbeatOrder = iota // the first that this leader receives: a later one may have been sent before it
	HeartbeatNewest
	HeartbeatOutdated // a later one of its incarnation was received before
)

// Heartbeats holds the heartbeat with the highest sequence that this leader has received
// from each worker, of the incarnation that it last received one of. That need not be the
// latest: a heartbeat of an incarnation that never was must not make true ones outdated.
type Heartbeats map[model.WorkerID]receivedHeartbeat

type receivedHeartbeat struct {
	incarnation, sequence uint64
	order                 HeartbeatOrder
}

// Add records a heartbeat and returns its order.
func (r Heartbeats) Add(hb *proto.Heartbeat) HeartbeatOrder {
	if hb.Sequence == 0 {
		return HeartbeatNewest
	}
	last, known := r[hb.Spec.ID]
	next := receivedHeartbeat{incarnation: hb.Spec.Incarnation, sequence: hb.Sequence, order: HeartbeatNewest}
	switch {
	case !known || last.incarnation != next.incarnation:
		next.order = HeartbeatUnordered
	case last.sequence > next.sequence:
		return HeartbeatOutdated
	case last.sequence == next.sequence:
		return last.order // it was sent again
	}
	r[hb.Spec.ID] = next
	return next.order
}

// Forget removes workers that are no longer known.
func (r Heartbeats) Forget(ids []model.WorkerID) {
	for _, id := range ids {
		delete(r, id)
	}
}

// NewCapacity returns the capacity of a worker after a heartbeat of the given order.
// What a heartbeat of unknown order reports reduces the capacity but does not raise it.
func NewCapacity(current, reported model.Resources, order HeartbeatOrder) model.Resources {
	switch order {
	case HeartbeatNewest:
		return reported
	case HeartbeatUnordered:
		return reported.Min(current)
	}
	return current
}
