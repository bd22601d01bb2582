// Package batch collects elements that share a message.
package batch

import (
	"sync"
	"time"
)

// Batch sends the elements that are added within Linger of the first of them together. It is
// safe for concurrent use, and so must Send be.
type Batch[T any] struct {
	Linger time.Duration
	Send   func([]T)

	mu      sync.Mutex
	waiting []T
}

// Add adds an element to the next message.
func (b *Batch[T]) Add(v T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, v)
	if len(b.waiting) == 1 {
		time.AfterFunc(b.Linger, b.flush)
	}
}

func (b *Batch[T]) flush() {
	b.mu.Lock()
	out := b.waiting
	b.waiting = nil
	b.mu.Unlock()
	b.Send(out)
}
