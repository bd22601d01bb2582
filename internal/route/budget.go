package route

import "sync"

// Budget bounds retries to a share of recent successes, so that retries cannot
// multiply the load while targets fail.
type Budget struct {
	share float64 // retries earned by one success
	most  float64 // retries that can be saved up

	mu     sync.Mutex
	tokens float64
}

// Defaults of the retry budget.
const (
	DefaultRetryShare = 0.2
	DefaultRetrySaved = 20
)

// NewBudget returns a budget with everything saved up.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, tokens: most}
}

// Success earns a share of a retry.
func (b *Budget) Success() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.share, b.most)
	b.mu.Unlock()
}

// Take spends one retry, or reports false.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
