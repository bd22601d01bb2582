package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/discover"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
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

// suspicion is why no call is sent to the leader at present, "" if calls are sent. Calls
// that were sent before stay in flight, since a leader that was only slow answers them.
type suspicion string

const (
	notSuspected          suspicion = ""
	suspectUnknown        suspicion = "unknown"         // no leader has been found yet
	suspectSilent         suspicion = "silent"          // no packet arrives from it while calls wait
	suspectUnconfirmed    suspicion = "unconfirmed"     // no control process confirms that it leads
	suspectNotLeader      suspicion = "not_leader"      // it has answered that it does not lead
	suspectUnreachable    suspicion = "unreachable"     // no connection to it can be made
	suspectOutcomeUnknown suspicion = "outcome_unknown" // the connection broke, or it lost leadership during a call
)

// suspicions lists every reason for a suspicion.
var suspicions = []suspicion{suspectUnknown, suspectSilent, suspectUnconfirmed, suspectNotLeader, suspectUnreachable, suspectOutcomeUnknown}

// suspicionOf returns the suspicion that a call which failed with k gives rise to. A
// timeout gives none: a busy leader lets calls time out, too, and one that can't be
// reached is found out by its silence.
func suspicionOf(k errkind.Kind) suspicion {
	switch k {
	case errkind.NotLeader, errkind.NoLeader:
		return suspectNotLeader
	case errkind.Unreachable:
		return suspectUnreachable
	case errkind.OutcomeUnknown:
		return suspectOutcomeUnknown
	}
	return notSuspected
}

// setLeader starts the leadership of another address, or ends the suspicion of the
// present one. The caller holds mu.
func (l *leaderClient) setLeader(address string) {
	l.suspected = notSuspected
	if l.leadership.address == address {
		return
	}
	l.leadership.cancel()
	l.leadership = newLeadership(address)
}

// suspect holds back further calls to the leader at address until a control process
// confirms that it leads.
func (l *leaderClient) suspect(address string, why suspicion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if why == notSuspected || l.leadership.address != address || l.suspected != notSuspected {
		return
	}
	l.suspected = why
	l.metrics.suspicions.WithLabelValues(string(why)).Inc()
	l.startSearch()
}

// bind returns a context that ends with ctx, after timeout or with the leadership.
// If the call is still in flight after suspectAfter, the control processes are
// probed for another leader. The caller must call stop at the end of the call.
func (l *leaderClient) bind(ctx context.Context, current leadership, timeout time.Duration) (bound context.Context, stop func()) {
	bound, cancel := context.WithTimeout(ctx, timeout)
	unbind := context.AfterFunc(current.ctx, cancel)
	watchTimer := time.AfterFunc(suspectAfter, func() { l.watch(bound, current) })
	l.callBegins(current)
	return bound, func() {
		l.callEnds()
		watchTimer.Stop()
		unbind()
		cancel()
	}
}

// callBegins counts a call in flight and observes the leader while there are any. A leader
// in this process needs no observation, and there is no connection to it.
func (l *leaderClient) callBegins(current leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	if !l.observing && current.address != l.endpoint.Address() {
		l.observing = true
		go l.observe(current)
	}
}

func (l *leaderClient) callEnds() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// observe suspects the leader once it does not react to calls and to a ping, until the
// leadership ends, it is suspected, or no call is in flight.
func (l *leaderClient) observe(current leadership) {
	tick := time.NewTicker(contactInterval)
	defer tick.Stop()
	c := contact{at: time.Now()}
	for l.observes(&current, &c) {
		r, rtt := l.endpoint.Reception(current.address)
		switch c.observe(time.Now(), r, rtt) {
		case leaderPing:
			go l.pingLeader(current)
		case leaderSilent:
			l.suspect(current.address, suspectSilent)
		}
		<-tick.C
	}
}

// observes reports whether the leader is still to be observed. If there is a new one, it
// is observed instead.
func (l *leaderClient) observes(current *leadership, c *contact) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight == 0 || l.suspected != notSuspected || l.leadership.address == l.endpoint.Address() {
		l.observing = false
		return false
	}
	if l.leadership.address != current.address {
		*current, *c = l.leadership, contact{at: time.Now()}
	}
	return true
}

// pingLeader sends a call that every control process answers without its control goroutine.
func (l *leaderClient) pingLeader(current leadership) {
	ctx, cancel := context.WithTimeout(current.ctx, maxPingWait)
	defer cancel()
	_, _ = wire.Call[proto.Empty, proto.Probe](ctx, l.endpoint, current.address, wire.KindProbe, &proto.Empty{})
}

// watch probes for another leader until ctx or the leadership ends. Concurrent
// calls share one watch. A leader that no probe confirms is suspected.
func (l *leaderClient) watch(ctx context.Context, current leadership) {
	if !l.watching.CompareAndSwap(false, true) {
		return
	}
	defer l.watching.Store(false)
	for current.ctx.Err() == nil {
		found, _ := discover.Leader(ctx, l.endpoint, l.knownControl())
		switch {
		case found.Ready && found.Leader != current.address:
			l.confirm(found)
			return
		case !found.Ready && ctx.Err() == nil:
			l.suspect(current.address, suspectUnconfirmed)
		}
		if !sleep(ctx, watchInterval) {
			return
		}
	}
}

func (l *leaderClient) knownControl() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.control
}

// confirm records a leader that has confirmed that it leads.
func (l *leaderClient) confirm(found discover.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addControl(found.Peers)
	l.setLeader(found.Leader)
	l.heardAt = time.Now()
}
