package member

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Action is what an entry does after an attempt to renew its registration.
type Action uint8

// The actions.
const (
	Renew  Action = iota // renew again after the wait
	Resync               // drop the copy of the configuration and ask for a whole one
	Stop                 // another process has this name: serve nothing more
)

// backoffBase is the first wait after a failed renewal.
const backoffBase = 50 * time.Millisecond

// Rejoin decides when an entry renews next. A failed renewal is tried again
// sooner than a good one is repeated, since the copy of the configuration grows
// old meanwhile; the waits double up to the normal period, so that a returning
// leader is not met by more calls than usual.
type RenewalSchedule struct {
	period   time.Duration
	failures int
}

// NewRenewalSchedule returns the rules for an entry that renews once a period.
func NewRenewalSchedule(period time.Duration) *RenewalSchedule {
	return &RenewalSchedule{period: period}
}

// Next takes the outcome of a renewal and a random number from 0 to 1, and
// returns what to do and when. Waits are spread over the upper half of their
// length, so that entries do not call in step.
func (s *RenewalSchedule) Next(err error, random float64) (Action, time.Duration) {
	switch errkind.Of(err) {
	case "":
		s.failures = 0
		return Renew, jitter(s.period, random)
	case errkind.StaleLease:
		return Stop, 0
	case errkind.VersionConflict:
		return Resync, 0
	}
	wait := s.period
	const maxShift = 10
	if s.failures < maxShift {
		wait = min(s.period, backoffBase<<s.failures)
	}
	s.failures++
	return Renew, jitter(wait, random)
}

func jitter(d time.Duration, random float64) time.Duration {
	return d/2 + time.Duration(float64(d/2)*random)
}
