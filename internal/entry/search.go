package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/discover"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	// The pause from the begin of one round of probes to the next doubles from
	// minSearchPause to maxSearchPause until a call is answered.
	minSearchPause = 20 * time.Millisecond
	maxSearchPause = 200 * time.Millisecond
	// probeTimeout bounds a round, which runs beside later ones. A leader that takes longer
	// for a probe could not answer calls either.
	probeTimeout = attemptTimeout
	// longSearch is the length from which on a search is logged.
	longSearch = 500 * time.Millisecond
)

// search probes for the leader until one confirms that it leads. All calls that wait for
// a leader share it.
type search struct {
	why     suspicion
	began   time.Time
	waiting int           // calls; guarded by leaderClient.mu
	done    chan struct{} // closed when a leader is known, or nothing waits for one
	found   leadership    // valid once done is closed
}

// searches limits the rounds of probes, so that the calls that wait for a leader do not
// keep the control processes busy that are to elect it. leaderClient.mu guards it.
type searches struct {
	current *search // nil: none is under way
	next    time.Time
	pause   time.Duration
}

// startSearch returns the search that is under way, and starts one if there is none. The
// caller holds mu.
func (l *leaderClient) startSearch() *search {
	if l.searches.current == nil {
		s := &search{why: l.suspected, began: time.Now(), done: make(chan struct{})}
		l.searches.current = s
		go l.runSearch(s)
	}
	return l.searches.current
}

// runSearch starts rounds of probes until one finds the leader.
func (l *leaderClient) runSearch(s *search) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	found := make(chan discover.Result, 1)
	logged := false
	for {
		select {
		case <-time.After(time.Until(l.nextRound())):
			if l.abandonSearch(s) {
				return
			}
			go l.probe(ctx, found)
		case r := <-found:
			l.endSearch(s, r, logged)
			return
		}
		if !logged && time.Since(s.began) >= longSearch {
			logged = true
			l.log.Warn("No leader confirms that it leads; calls to it are held back.", "reason", s.why, "leader", l.current().address)
		}
	}
}

// nextRound returns the time of the next round of probes and plans the one after it.
func (l *leaderClient) nextRound() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.searches.next
	if now := time.Now(); at.Before(now) {
		at = now
	}
	l.searches.next = at.Add(jitter(l.searches.pause))
	l.searches.pause = min(2*l.searches.pause, maxSearchPause)
	return at
}

// probe makes one round of probes.
func (l *leaderClient) probe(ctx context.Context, found chan<- discover.Result) {
	r, _ := discover.LeaderWithin(ctx, probeTimeout, l.endpoint, l.knownControl())
	if r.Ready {
		select {
		case found <- r:
		default: // another round has found it
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addControl(r.Peers)
	if r.Leader != "" {
		l.addControl([]string{r.Leader})
	}
}

// abandonSearch ends a search for which nothing waits any more, and reports whether it did.
func (l *leaderClient) abandonSearch(s *search) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.waiting > 0 || l.inFlight > 0 {
		return false
	}
	l.searches.current = nil
	close(s.done)
	return true
}

func (l *leaderClient) endSearch(s *search, r discover.Result, logged bool) {
	l.confirm(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	took := time.Since(s.began)
	if logged {
		l.log.Info("A leader confirms that it leads; calls are sent again.", "leader", r.Leader, "after", took, "held", s.waiting)
	}
	l.metrics.searchSeconds.Observe(took.Seconds())
	l.searches.current = nil
	s.found = l.leadership
	close(s.done)
}

// await returns the leadership that a search has found. If ctx ends first, the error is
// NoLeader: the call that waits has not been sent.
func (l *leaderClient) await(ctx context.Context, s *search) (leadership, error) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.waiting--
	}()
	select {
	case <-s.done:
		if s.found.address != "" {
			return s.found, nil
		}
		return leadership{}, errkind.New(errkind.NoLeader, "the search for a leader ended")
	case <-ctx.Done():
		return leadership{}, errkind.Wrap(errkind.NoLeader, ctx.Err(), "no leader was found before the deadline")
	}
}

// resetSearchPause lets the next search begin soon, since the leader has answered a call.
func (l *leaderClient) resetSearchPause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.searches.pause = minSearchPause
}
