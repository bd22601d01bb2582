package schedule

import (
	"container/heap"

	"github.com/filbertmast/filbertmast/internal/model"
)

// timer ends the backoff of a task.
type timer struct {
	at    model.Time
	job   *job
	index int32
}

// live reports whether the task is still in the backoff that the timer was set
// for.
func (t *timer) live() bool {
	task := &t.job.tasks[t.index]
	return !t.job.cancelled && task.state == taskWaiting && task.since == t.at
}

// timers orders backoffs by their end.
type timers struct{ heap timerHeap }

func (t *timers) push(v timer) { heap.Push(&t.heap, v) }

// due removes and returns the first live timer that ends by now.
func (t *timers) due(now model.Time) (timer, bool) {
	for len(t.heap) > 0 {
		first := t.heap[0]
		if first.live() && first.at > now {
			return timer{}, false
		}
		heap.Pop(&t.heap)
		if first.live() {
			return first, true
		}
	}
	return timer{}, false
}

// next returns when the first live timer ends; zero if there is none.
func (t *timers) next() model.Time {
	for len(t.heap) > 0 {
		if t.heap[0].live() {
			return t.heap[0].at
		}
		heap.Pop(&t.heap)
	}
	return 0
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	a, b := &h[i], &h[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.job.id != b.job.id {
		return a.job.id < b.job.id
	}
	return a.index < b.index
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(v any)   { *h = append(*h, v.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return v
}

// endBackoffs makes the tasks ready whose backoff has ended.
func (s *Scheduler) endBackoffs(now model.Time) {
	for {
		t, ok := s.timers.due(now)
		if !ok {
			return
		}
		j := t.job
		j.tasks[t.index].state = taskReady
		j.waiting--
		s.waitingTasks--
		j.next = min(j.next, t.index)
		s.enqueue(j)
		s.addReady(j, 1)
	}
}
