package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/discover"
)

const (
	suspectAfter  = 250 * time.Millisecond // without a response from the leader
	watchInterval = 250 * time.Millisecond // between probes while calls are in flight
)

// leadership is the period in which this entry process regards one address as that
// of the leader. Its context ends when another leader is found, which cancels all
// calls to the old one. Without that, each call to a dead leader would run into
// its own timeout.
type leadership struct {
	address string // inner address; "" if unknown
	ctx     context.Context
	cancel  context.CancelFunc
}

func newLeadership(address string) leadership {
	ctx, cancel := context.WithCancel(context.Background())
	return leadership{address: address, ctx: ctx, cancel: cancel}
}

// setLeader starts the leadership of another address. The caller holds mu.
func (l *leaderClient) setLeader(address string) {
	if l.leadership.address == address {
		return
	}
	l.leadership.cancel()
	l.leadership = newLeadership(address)
}

// bind returns a context that ends with ctx, after timeout or with the leadership.
// If the call is still in flight after suspectAfter, the control processes are
// probed for another leader. The caller must call stop at the end of the call.
func (l *leaderClient) bind(ctx context.Context, current leadership, timeout time.Duration) (bound context.Context, stop func()) {
	bound, cancel := context.WithTimeout(ctx, timeout)
	unbind := context.AfterFunc(current.ctx, cancel)
	watchTimer := time.AfterFunc(suspectAfter, func() { l.watch(bound, current) })
	return bound, func() {
		watchTimer.Stop()
		unbind()
		cancel()
	}
}

// watch probes for another leader until ctx or the leadership ends. Concurrent
// calls share one watch.
func (l *leaderClient) watch(ctx context.Context, current leadership) {
	if !l.watching.CompareAndSwap(false, true) {
		return
	}
	defer l.watching.Store(false)
	for current.ctx.Err() == nil {
		l.mu.Lock()
		control := l.control
		l.mu.Unlock()
		found, err := discover.Leader(ctx, l.endpoint, control)
		if err == nil && found.Leader != current.address {
			l.mu.Lock()
			if l.leadership.address == current.address {
				l.setLeader(found.Leader)
			}
			l.mu.Unlock()
			return
		}
		if !sleep(ctx, watchInterval) {
			return
		}
	}
}
