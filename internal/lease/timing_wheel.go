package lease

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// slotWidth is the resolution of the wheel: an entry comes due at most this late.
const slotWidth = 100 * time.Millisecond

// noEntry marks the end of the free list.
const noEntry int32 = -1

// timingWheel is a ring of slots, each with the entries that come due in its
// interval.
type timingWheel struct {
	slots    [][]int32
	nextSlot int64 // number of the next slot to come due
}

// newTimingWheel returns a wheel that covers the time span after now.
func newTimingWheel(span time.Duration, now model.Time) timingWheel {
	n := int(span/slotWidth) + 2
	return timingWheel{slots: make([][]int32, n), nextSlot: slotOf(now)}
}

func slotOf(t model.Time) int64 { return int64(t) / slotWidth.Milliseconds() }

// add puts entry i in the slot after at, so that it comes due once at has passed.
func (w *timingWheel) add(i int32, at model.Time) {
	s := max(slotOf(at)+1, w.nextSlot)
	s = min(s, w.nextSlot+int64(len(w.slots))-1)
	k := s % int64(len(w.slots))
	w.slots[k] = append(w.slots[k], i)
}

// advance calls fn for each entry whose slot has come due by now. fn may call add.
func (w *timingWheel) advance(now model.Time, fn func(i int32)) {
	last := slotOf(now)
	if last-w.nextSlot >= int64(len(w.slots)) {
		w.flushAll(last, fn)
		return
	}
	for w.nextSlot <= last {
		k := w.nextSlot % int64(len(w.slots))
		due := w.slots[k]
		w.slots[k] = nil
		w.nextSlot++
		for _, i := range due {
			fn(i)
		}
	}
}

// flushAll calls fn for every entry after a step over the whole ring.
func (w *timingWheel) flushAll(last int64, fn func(i int32)) {
	var due []int32
	for n := range int64(len(w.slots)) {
		k := (w.nextSlot + n) % int64(len(w.slots))
		due = append(due, w.slots[k]...)
		w.slots[k] = nil
	}
	w.nextSlot = last + 1
	for _, i := range due {
		fn(i)
	}
}
