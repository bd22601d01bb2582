package permit

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	// questionSlack is what a question may take beyond one and a half times the
	// service time of those that are open at the same entry.
	questionSlack = 400 * time.Millisecond
	// fullAt is the service time open at an entry from which on it is asked nothing
	// more: what is sent has its place in the order for good.
	fullAt = long
	// long is the service time from which on a question is a long one. Long ones
	// take half of the entries at most, so that short ones need not wait for them.
	long = 100 * time.Millisecond
	// avoidFor is how long an entry is not asked after it gave no answer.
	avoidFor = 2 * time.Second
)

// Lines tells through which entry a question goes. The policy service answers the
// questions of one entry in turn, so that each goes to the entry with the least
// service time open; one that gave no answer is passed by for a while.
type Lines struct {
	open  map[string]time.Duration // service time of open questions, by entry
	avoid map[string]model.Time    // until when
}

// NewLines returns lines without open questions.
func NewLines() *Lines {
	return &Lines{open: map[string]time.Duration{}, avoid: map[string]model.Time{}}
}

// Choose returns the entry for a question of the given service time; false where
// it has to wait. Where all gave no answer lately, they are asked all the same.
func (l *Lines) Choose(entries []string, cost time.Duration, now model.Time) (string, bool) {
	if cost >= long && 2*l.full(entries) >= len(entries) {
		return "", false
	}
	best, ok := l.least(entries, func(e string) bool { return now >= l.avoid[e] })
	if !ok {
		best, ok = l.least(entries, func(string) bool { return true })
	}
	return best, ok && l.open[best] < fullAt
}

// Free reports whether any question may be sent now.
func (l *Lines) Free(entries []string, now model.Time) bool {
	_, ok := l.Choose(entries, 0, now)
	return ok
}

// full returns how many entries are asked nothing more.
func (l *Lines) full(entries []string) (n int) {
	for _, e := range entries {
		if l.open[e] >= fullAt {
			n++
		}
	}
	return n
}

func (l *Lines) least(entries []string, may func(string) bool) (best string, found bool) {
	for _, e := range entries {
		if may(e) && (!found || l.open[e] < l.open[best]) {
			best, found = e, true
		}
	}
	return best, found
}

// Begin notes a question of the given service time and returns how long its
// answer may take.
func (l *Lines) Begin(entry string, cost time.Duration) time.Duration {
	l.open[entry] += cost
	return l.open[entry]*3/2 + questionSlack
}

// End notes that a question was answered or given up.
func (l *Lines) End(entry string, cost time.Duration, answered bool, now model.Time) {
	l.open[entry] -= cost
	if l.open[entry] <= 0 {
		delete(l.open, entry)
	}
	if answered {
		delete(l.avoid, entry)
	} else {
		l.avoid[entry] = now.Add(avoidFor)
	}
}
