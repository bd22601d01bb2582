package schedule

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
)

// Options configure a Scheduler. A zero field takes its default.
type Options struct {
	Seed uint64 // seeds the tie-breaks between equal workers and the backoff jitter

	PressingSlack          time.Duration // jobs with less slack may reserve workers and preempt
	LimitHold              time.Duration // first turn in which a job that the limits of its team hold up stops later ones of the team
	MaxIdleWait            time.Duration // for which room is kept from a job of which nothing runs, while less than half of the room is in use
	AgeingSpan             time.Duration // lateness that offsets one whole share in the order of teams
	BackoffBase            time.Duration // delay before the first restart
	BackoffCap             time.Duration // longest delay between restarts
	ServiceBackoffCap      time.Duration // the same for services without a restart budget
	EarlyFailure           time.Duration // a failure after a shorter run counts against the worker
	ProbationJobs          int           // distinct jobs failing early in a row that put a worker on probation
	ProbeInterval          time.Duration // delay between probes of a worker on probation that fit on other workers, too
	TryInterval            time.Duration // the same for work that fits nowhere else
	ProbeWait              time.Duration // for which such work waits longer if one more failure would cost a job or the run of a gang
	BadJobWorkers          int           // good workers on which a job fails until it is reported with ReasonBadJob
	ThrottleGrace          time.Duration // time from throttle to stop for a task that exceeds its size
	MaxUnavailablePermille int32         // per mille of a service's tasks that may be unavailable in a drain; at least one task
	MaxReservations        int           // advance reservations at once
	MaxPreemptors          int           // jobs at once for which tasks are being preempted
	MaxClasses             int           // job classes whose sizes and run times are learned at once

	// Lateness is the order of jobs that cannot start in time.
	Lateness lateness.Options
	// KeepRunning disables the preemption of tasks for tasks of other jobs.
	KeepRunning bool
}

// Defaults of Options.
const (
	DefaultPressingSlack          = 5 * time.Second
	DefaultLimitHold              = 5 * time.Second
	DefaultMaxIdleWait            = 2 * time.Second // a second less than callers wait for a job that could run
	DefaultAgeingSpan             = 10 * time.Minute
	DefaultBackoffBase            = time.Second
	DefaultBackoffCap             = 5 * time.Minute
	DefaultServiceBackoffCap      = 5 * time.Second
	DefaultEarlyFailure           = 30 * time.Second
	DefaultProbationJobs          = 3
	DefaultProbeInterval          = 30 * time.Second
	DefaultTryInterval            = time.Second
	DefaultProbeWait              = 2 * time.Second
	DefaultBadJobWorkers          = 5
	DefaultThrottleGrace          = 30 * time.Second
	DefaultMaxUnavailablePermille = 100
	DefaultMaxReservations        = 8
	DefaultMaxPreemptors          = 256
	DefaultMaxClasses             = 8192
)

func (o Options) withDefaults() Options {
	orDefault(&o.PressingSlack, DefaultPressingSlack)
	orDefault(&o.LimitHold, DefaultLimitHold)
	orDefault(&o.MaxIdleWait, DefaultMaxIdleWait)
	orDefault(&o.AgeingSpan, DefaultAgeingSpan)
	orDefault(&o.BackoffBase, DefaultBackoffBase)
	orDefault(&o.BackoffCap, DefaultBackoffCap)
	orDefault(&o.ServiceBackoffCap, DefaultServiceBackoffCap)
	orDefault(&o.EarlyFailure, DefaultEarlyFailure)
	orDefault(&o.ProbationJobs, DefaultProbationJobs)
	orDefault(&o.ProbeInterval, DefaultProbeInterval)
	orDefault(&o.TryInterval, DefaultTryInterval)
	orDefault(&o.ProbeWait, DefaultProbeWait)
	orDefault(&o.BadJobWorkers, DefaultBadJobWorkers)
	orDefault(&o.ThrottleGrace, DefaultThrottleGrace)
	orDefault(&o.MaxUnavailablePermille, DefaultMaxUnavailablePermille)
	orDefault(&o.MaxReservations, DefaultMaxReservations)
	orDefault(&o.MaxPreemptors, DefaultMaxPreemptors)
	orDefault(&o.MaxClasses, DefaultMaxClasses)
	return o
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
