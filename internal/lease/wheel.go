package lease

import (
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// slotWidth is the precision of the wheel: a lease expires at most this late.
const slotWidth = 100 * time.Millisecond

// none ends a list of indices.
const none int32 = -1

// wheel is a ring of slots, each with the entries that come up in its time.
type wheel struct {
	slots [][]int32
	next  int64 // number of the slot that comes up next
}

// newWheel returns a wheel that reaches span ahead of now.
func newWheel(span time.Duration, now model.Time) wheel {
	n := int(span/slotWidth) + 2
	return wheel{slots: make([][]int32, n), next: slotOf(now)}
}

func slotOf(t model.Time) int64 { return int64(t) / slotWidth.Milliseconds() }

// add puts entry i in the slot after at, so that it comes up once at has passed.
func (w *wheel) add(i int32, at model.Time) {
	s := max(slotOf(at)+1, w.next)
	s = min(s, w.next+int64(len(w.slots))-1)
	k := s % int64(len(w.slots))
	w.slots[k] = append(w.slots[k], i)
}

// advance calls fn for each entry whose slot has come up by now. fn may add.
func (w *wheel) advance(now model.Time, fn func(i int32)) {
	last := slotOf(now)
	if last-w.next >= int64(len(w.slots)) {
		w.flush(last, fn)
		return
	}
	for w.next <= last {
		k := w.next % int64(len(w.slots))
		up := w.slots[k]
		w.slots[k] = nil
		w.next++
		for _, i := range up {
			fn(i)
		}
	}
}

// flush brings up everything after a leap over the whole ring.
func (w *wheel) flush(last int64, fn func(i int32)) {
	var up []int32
	for n := range int64(len(w.slots)) {
		k := (w.next + n) % int64(len(w.slots))
		up = append(up, w.slots[k]...)
		w.slots[k] = nil
	}
	w.next = last + 1
	for _, i := range up {
		fn(i)
	}
}
