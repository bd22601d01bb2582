package journal

import "github.com/filbertmast/filbertmast/internal/model"

// dueItem says when a record needs attention. An item whose record has moved
// on since is skipped.
type dueItem struct {
	at    model.Time
	key   Key
	fence model.Fence
}

// dueHeap orders items by time, for container/heap.
type dueHeap []dueItem

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueItem)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
