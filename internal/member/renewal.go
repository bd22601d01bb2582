package member

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

// Action is what an entry does after an attempt to renew its registration.
type Action uint8

// Actions returned by RenewalSchedule.Next.
const (
	Renew  Action = iota // renew after the returned delay
	Resync               // discard the configuration and request a full copy
	Stop                 // a later process has the same name: stop serving
)

// backoffBase is the delay after the first failed renewal, before jitter.
const backoffBase = 50 * time.Millisecond

// RenewalSchedule determines when an entry renews next. After a failure it
// retries earlier than the normal period, since the entry's configuration ages
// meanwhile. The delay doubles up to the period, so that a returning leader
// does not receive more calls than usual.
type RenewalSchedule struct {
	period   time.Duration
	failures int
}

// NewRenewalSchedule returns the schedule of an entry that renews once per
// period.
func NewRenewalSchedule(period time.Duration) *RenewalSchedule {
	return &RenewalSchedule{period: period}
}

// Next takes the outcome of a renewal and a random number from 0 to 1, and
// returns the next action and the delay before it. StaleLease leads to Stop,
// VersionConflict to Resync, both without a delay. Delays are spread over the
// upper half of their length, so that entries do not renew in step.
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
