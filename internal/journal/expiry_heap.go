package journal

import "github.com/filbertmast/filbertmast/internal/model"

// expiryItem says when a record needs attention. An item whose record has moved
// on since is skipped.
type expiryItem struct {
	at    model.Time
	key   Key
	fence model.Fence
}

// expiryHeap orders items by time, for container/heap.
type expiryHeap []expiryItem

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryItem)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
