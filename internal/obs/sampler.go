package obs

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
)

const (
	// sampleWindow is the time over which a Sampler counts lines.
	sampleWindow = time.Second
	// sampleHold is the time with less than half of the rate after which a Sampler
	// doubles the share of workflows. It exceeds the time that most workflows take.
	sampleHold = 30 * time.Second
	// maxHalvings bounds how often the share of workflows is halved.
	maxHalvings = 16
)

// Sampler limits the rate of log lines about the tasks of workflows. Above the rate it
// keeps the lines of a share of the workflows, chosen by a hash of their IDs, so that
// the kept workflows have all of their lines. The share is halved each time when the
// kept lines of a window exceed the rate. The workflows of a smaller share are among
// those of a larger one, and every process keeps the same. It is not safe for
// concurrent use.
type Sampler struct {
	log      *log.Logger
	rate     int       // lines to keep per window
	halvings uint      // one of 1<<halvings workflows is kept
	window   time.Time // start of the current window
	kept     int       // lines in the current window, since the last halving
	dropped  int       // lines in the current window
	busy     time.Time // when the kept lines last exceeded half of the rate
}

// NewSampler returns a Sampler that keeps about rate lines per second. It reports to
// the logger how many lines it dropped.
func NewSampler(logger *log.Logger, rate int) *Sampler {
	return &Sampler{log: logger, rate: rate}
}

// Keep reports whether a line about the workflow is to be logged at now. The caller
// formats the line only then.
func (s *Sampler) Keep(workflow string, now time.Time) bool {
	if now.Sub(s.window) >= sampleWindow {
		s.startWindow(now)
	}
	if s.kept >= s.rate && s.halvings < maxHalvings {
		s.halve(now)
	}
	if xxhash.Sum64String(workflow)&(1<<s.halvings-1) != 0 {
		s.dropped++
		return false
	}
	s.kept++
	return true
}

func (s *Sampler) halve(now time.Time) {
	s.halvings++
	s.kept = 0
	s.busy = now
}

func (s *Sampler) startWindow(now time.Time) {
	if s.dropped > 0 {
		s.log.Warn("Lines about the tasks of some workflows were left out.", "lines", s.dropped, "one_kept_of", 1<<s.halvings)
	}
	if 2*s.kept > s.rate {
		s.busy = now
	}
	if s.halvings > 0 && now.Sub(s.busy) >= sampleHold {
		s.halvings--
		s.busy = now
	}
	s.window, s.kept, s.dropped = now, 0, 0
}
