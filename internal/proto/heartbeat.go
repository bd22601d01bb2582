package proto

import (
	"errors"
	"fmt"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// maxClockDifference is how far the clocks of two machines may be apart. It is wide, since a
// heartbeat that is refused by mistake costs a worker.
const maxClockDifference = time.Hour

// Validate returns why the heartbeat cannot be that of a worker at the time now, joined into
// one error, or nil.
func (h *Heartbeat) Validate(now time.Time) error {
	errs := []error{h.Spec.Validate()}
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if h.Spec.Address == "" {
		addError("address must be set")
	}
	if h.Clock < 0 || h.Clock > model.MaxWorkerClock {
		addError("the clock must be from 0 to %d ms, got %d", int64(model.MaxWorkerClock), h.Clock)
	}
	// An incarnation is the Unix millisecond of its start, and sends less than one
	// heartbeat a millisecond. A higher one would make true ones look outdated.
	latest := uint64(now.Add(maxClockDifference).UnixMilli())
	switch {
	case h.Spec.Incarnation > latest:
		addError("the incarnation %d starts after %d", h.Spec.Incarnation, latest)
	case h.Sequence > latest-h.Spec.Incarnation:
		addError("the sequence %d is higher than the milliseconds since the start of the incarnation", h.Sequence)
	}
	return errors.Join(errs...)
}
