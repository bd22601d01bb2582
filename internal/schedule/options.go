package schedule

import "time"

// Options tune a Scheduler. A zero field takes its default.
type Options struct {
	Seed uint64 // of the tie-breaks between equal workers and of the backoff jitter

	PressingSlack          time.Duration // a job with less slack may reserve and preempt
	AgeingSpan             time.Duration // lateness worth one whole share in the order between teams
	BackoffBase            time.Duration // before the first restart
	BackoffCap             time.Duration // longest time between restarts
	EarlyFailure           time.Duration // a failure sooner than this counts against the worker
	ProbationJobs          int           // different jobs that must fail early in a row
	ProbeInterval          time.Duration // between probes of a worker on probation
	BadJobWorkers          int           // good workers on which a job must fail to be blamed
	ThrottleGrace          time.Duration // from throttle to stop for a task over its size
	MaxUnavailablePermille int32         // of a service's tasks, down at once in a drain
	MaxReservations        int           // reservations for blocked jobs at once
	MaxPreemptors          int           // jobs at once for which work is being stopped
	MaxClasses             int           // job classes learned at once

	// LateShift is by how much the promise of a job moves once it was missed by
	// LateGrace: work that can still be in time goes first, for so long. It answers
	// a load above the capacity, under which the order by promise alone makes every
	// job late. Zero: a missed promise stands.
	LateShift time.Duration
	LateGrace time.Duration
	// KeepRunning stops no work to make room for other work of any team.
	KeepRunning bool
}

// Defaults of Options.
const (
	DefaultPressingSlack          = 5 * time.Second
	DefaultAgeingSpan             = 10 * time.Minute
	DefaultBackoffBase            = time.Second
	DefaultBackoffCap             = 5 * time.Minute
	DefaultEarlyFailure           = 30 * time.Second
	DefaultProbationJobs          = 3
	DefaultProbeInterval          = 30 * time.Second
	DefaultBadJobWorkers          = 5
	DefaultThrottleGrace          = 30 * time.Second
	DefaultMaxUnavailablePermille = 100
	DefaultMaxReservations        = 8
	DefaultMaxPreemptors          = 256
	DefaultMaxClasses             = 8192
)

func (o Options) withDefaults() Options {
	orDefault(&o.PressingSlack, DefaultPressingSlack)
	orDefault(&o.AgeingSpan, DefaultAgeingSpan)
	orDefault(&o.BackoffBase, DefaultBackoffBase)
	orDefault(&o.BackoffCap, DefaultBackoffCap)
	orDefault(&o.EarlyFailure, DefaultEarlyFailure)
	orDefault(&o.ProbationJobs, DefaultProbationJobs)
	orDefault(&o.ProbeInterval, DefaultProbeInterval)
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
