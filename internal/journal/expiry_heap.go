package journal

import "github.com/filbertmast/filbertmast/internal/model"

// expiryItem is the time at which Expire has to process a record. An item is
// stale, and skipped, if the record has changed its expiry time since.
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
