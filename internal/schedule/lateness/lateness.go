// Package lateness orders jobs under a load above capacity. Ordered by their promised start alone,
// each job is then started when it has just become late, and none is of full use to its caller. So
// a job that can no longer start in time makes way for those that still can.
//
// The scheduler and the queries for permits use the same order. The package reads no clock.
package lateness

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Options configure the order. The zero value orders jobs by their promised start alone.
type Options struct {
	// Margin is how long before its promised start a job no longer counts as one that can be in
	// time: a start takes time, and run times are estimates. At most marginPart of the patience
	// of the job counts.
	Margin time.Duration
	// Grace is how long after that a job keeps its place.
	Grace time.Duration
	// UsefulFactor is for how many times the time that it may take the result of a job is of use
	// to its caller. A late job is ordered by the last start that is still useful, if that is
	// sooner than Shift after its promised start. Zero: by Shift alone.
	UsefulFactor int64
	// Shift is added to the promised start of a late job. It bounds its delay: jobs that arrive
	// later than that come behind it. Zero: jobs keep their place.
	Shift time.Duration
}

// marginPart is the part of the patience of a job that its margin may take, as a divisor.
const marginPart = 3

// Job is what the place of a job depends on.
type Job struct {
	PromisedStart model.Time
	Patience      time.Duration // from the submission to the promised start
	RunTime       time.Duration // declared; zero if it is not known
}

// Position returns the time by which a job is ordered at now, and when that changes; zero for
// never.
func (o *Options) Position(j Job, now model.Time) (startBy, until model.Time) {
	if o.Shift <= 0 {
		return j.PromisedStart, 0
	}
	late := j.PromisedStart.Add(o.Grace - min(o.Margin, j.Patience/marginPart))
	if now <= late {
		return j.PromisedStart, late + 1
	}
	last := j.PromisedStart.Add(o.Shift)
	// The division keeps the product below from overflowing.
	if factor := time.Duration(o.UsefulFactor - 1); factor > 0 && j.Patience+j.RunTime <= (o.Shift-1)/factor {
		useful := j.PromisedStart.Add(factor * (j.Patience + j.RunTime))
		if useful < last && now <= useful {
			return useful, useful + 1
		}
	}
	return last, 0
}
