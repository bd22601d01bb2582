package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/discover"
)

const (
	suspectAfter  = 250 * time.Millisecond // without an answer from the leader
	watchInterval = 250 * time.Millisecond // between looks while calls wait
)

// leadership is the time in which this entry takes one address for the leader's.
// Its context ends when another leader is found, and with it every call to the
// old one: a dead leader would else be noticed only by the timeout of each.
type leadership struct {
	address string // inner address; "" where not known
	ctx     context.Context
	cancel  context.CancelFunc
}

func newLeadership(address string) leadership {
	ctx, cancel := context.WithCancel(context.Background())
	return leadership{address: address, ctx: ctx, cancel: cancel}
}

// setLeader begins the reign of another leader.
func (l *leaderClient) setLeader(address string) {
	if l.leadership.address == address {
		return
	}
	l.leadership.cancel()
	l.leadership = newLeadership(address)
}

// bind returns a context that ends with ctx, after timeout, or with the reign.
// While the call is open for long, other control processes are asked whether
// the leader still leads. Stop must be called at the end of the call.
func (l *leaderClient) bind(ctx context.Context, r leadership, timeout time.Duration) (bound context.Context, stop func()) {
	bound, cancel := context.WithTimeout(ctx, timeout)
	unbind := context.AfterFunc(r.ctx, cancel)
	watchTimer := time.AfterFunc(suspectAfter, func() { l.watch(bound, r) })
	return bound, func() {
		watchTimer.Stop()
		unbind()
		cancel()
	}
}

// watch looks for another leader until ctx or the reign ends. Calls that are
// open at once share one watch.
func (l *leaderClient) watch(ctx context.Context, r leadership) {
	if !l.watching.CompareAndSwap(false, true) {
		return
	}
	defer l.watching.Store(false)
	for r.ctx.Err() == nil {
		l.mu.Lock()
		control := l.control
		l.mu.Unlock()
		found, err := discover.Leader(ctx, l.endpoint, control)
		if err == nil && found.Leader != r.address {
			l.mu.Lock()
			if l.leadership.address == r.address {
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
