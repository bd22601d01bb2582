package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/discover"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// The pause from the begin of one search to the next doubles from minSearchPause to
// maxSearchPause until a call is answered.
const (
	minSearchPause = 20 * time.Millisecond
	maxSearchPause = 200 * time.Millisecond
)

// search is one round of probes for the leader, shared by all calls that wait for one.
type search struct {
	done  chan struct{}
	found leadership // valid once done is closed, as is err
	err   error
}

// searches limits the rounds of probes, so that the calls that wait for a leader do not
// keep the control processes busy that are to elect it. leaderClient.mu guards it.
type searches struct {
	current *search // nil: none is under way
	next    time.Time
	pause   time.Duration
}

// joinSearch returns the search that is under way, and starts one if there is none. The
// caller holds mu.
func (l *leaderClient) joinSearch() *search {
	if l.searches.current == nil {
		s := &search{done: make(chan struct{})}
		l.searches.current = s
		go l.runSearch(s, l.searches.next)
	}
	return l.searches.current
}

// runSearch probes every control process at the time at.
func (l *leaderClient) runSearch(s *search, at time.Time) {
	time.Sleep(time.Until(at))
	began := time.Now()
	l.mu.Lock()
	control := l.control
	l.mu.Unlock()
	found, err := discover.Leader(context.Background(), l.endpoint, control)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addControl(found.Peers)
	l.setLeader(found.Leader)
	l.searches.current = nil
	l.searches.next = began.Add(jitter(l.searches.pause))
	l.searches.pause = min(2*l.searches.pause, maxSearchPause)
	s.found, s.err = l.leadership, err
	close(s.done)
}

// await returns the result of a search. If ctx ends first, the error is NoLeader.
func (s *search) await(ctx context.Context) (leadership, error) {
	select {
	case <-s.done:
		return s.found, s.err
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
