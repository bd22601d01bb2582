package exchange

import "time"

const (
	// FirstRefusalPause is the time for which a worker is given no further tasks after it
	// has refused a start. It doubles with each refusal until the worker accepts a start.
	FirstRefusalPause = time.Second
	// maxRefusalDoublings bounds the pause at 8 s.
	maxRefusalDoublings = 3
)

// Refusals are the starts that a worker has refused since it last accepted one.
type Refusals struct {
	pauses int  // in a row
	paused bool // the worker is given no tasks for now
}

// Begin begins a pause and returns its length, or zero if one has begun already.
func (r *Refusals) Begin() time.Duration {
	if r.paused {
		return 0
	}
	d := FirstRefusalPause << min(r.pauses, maxRefusalDoublings)
	r.paused = true
	r.pauses++
	return d
}

// End ends a pause.
func (r *Refusals) End() { r.paused = false }

// Accepted records that the worker has accepted a start, so that the next pause is a first one.
func (r *Refusals) Accepted() { r.pauses = 0 }

// Paused reports whether the worker is given no tasks for now.
func (r *Refusals) Paused() bool { return r.paused }

// InARow returns the number of pauses since the worker last accepted a start.
func (r *Refusals) InARow() int { return r.pauses }
