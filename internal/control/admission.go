package control

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	// notAdmittedPeriod is the time between two lines about submissions that were refused for
	// want of room.
	notAdmittedPeriod = 2 * time.Second
	// accepted work above this part of the limit is logged.
	loggedPartOfLimit = 4
)

// notAdmitted counts the submissions that were refused since the last line about them.
type notAdmitted struct {
	refused int
	logged  time.Time
}

// acceptedLimit returns the limit of the memory of accepted work in bytes: the least that a
// replica has reported. Zero: none.
func (l *leader) acceptedLimit() int64 { return l.c.s.opts.Log.Status().StateLimit }

// recordNotAdmitted counts and logs a submission that was refused for want of room. Errors with
// other causes are ignored.
func (l *leader) recordNotAdmitted(team string, err error) {
	if !errkind.Is(err, errkind.QueueFull) {
		return
	}
	l.c.s.metrics.notAdmitted.WithLabelValues(team).Inc()
	l.notAdmitted.refused++
	if now := time.Now(); now.Sub(l.notAdmitted.logged) >= notAdmittedPeriod {
		l.c.log.Warn("Submissions are refused: there is no room for more accepted work.", "refused", l.notAdmitted.refused, "team", team,
			"team_bytes", l.c.machine.TeamAcceptedBytes(team), "bytes", l.c.machine.AcceptedBytes(), "limit", l.acceptedLimit())
		l.notAdmitted = notAdmitted{logged: now}
	}
}

// reportAccepted sets the gauges of accepted work, and logs it where it takes a large part of the
// limit.
func (l *leader) reportAccepted() {
	bytes, limit := l.c.machine.AcceptedBytes(), l.acceptedLimit()
	l.c.s.metrics.acceptedBytes.Set(float64(bytes))
	l.c.s.metrics.acceptedLimit.Set(float64(limit))
	if limit > 0 && bytes > limit/loggedPartOfLimit {
		l.c.log.Info("Accepted work.", "bytes", bytes, "limit", limit)
	}
}
