package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/discover"
)

const (
	suspectAfter = 250 * time.Millisecond // without an answer from the leader
	watchEvery   = 250 * time.Millisecond // between looks while calls wait
)

// reign is the time in which this entry takes one address for the leader's.
// Its context ends when another leader is found, and with it every call to the
// old one: a dead leader would else be noticed only by the timeout of each.
type reign struct {
	leader string // inner address; "" where not known
	ctx    context.Context
	end    context.CancelFunc
}

func newReign(leader string) reign {
	ctx, end := context.WithCancel(context.Background())
	return reign{leader: leader, ctx: ctx, end: end}
}

// succeed begins the reign of another leader.
func (l *leaderClient) succeed(leader string) {
	if l.reign.leader == leader {
		return
	}
	l.reign.end()
	l.reign = newReign(leader)
}

// bind returns a context that ends with ctx, after timeout, or with the reign.
// While the call is open for long, other control processes are asked whether
// the leader still leads. Stop must be called at the end of the call.
func (l *leaderClient) bind(ctx context.Context, r reign, timeout time.Duration) (bound context.Context, stop func()) {
	bound, cancel := context.WithTimeout(ctx, timeout)
	unbind := context.AfterFunc(r.ctx, cancel)
	suspicion := time.AfterFunc(suspectAfter, func() { l.watch(bound, r) })
	return bound, func() {
		suspicion.Stop()
		unbind()
		cancel()
	}
}

// watch looks for another leader until ctx or the reign ends. Calls that are
// open at once share one watch.
func (l *leaderClient) watch(ctx context.Context, r reign) {
	if !l.watching.CompareAndSwap(false, true) {
		return
	}
	defer l.watching.Store(false)
	for r.ctx.Err() == nil {
		l.mu.Lock()
		control := l.control
		l.mu.Unlock()
		found, err := discover.Leader(ctx, l.endpoint, control)
		if err == nil && found.Leader != r.leader {
			l.mu.Lock()
			if l.reign.leader == r.leader {
				l.succeed(found.Leader)
			}
			l.mu.Unlock()
			return
		}
		if !sleep(ctx, watchEvery) {
			return
		}
	}
}
