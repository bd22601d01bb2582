package route

import "sync"

// Budget bounds retries to a share of recent successes, so that retries cannot
// multiply the load while targets fail.
type RetryBudget struct {
	ratio     float64 // retries earned by one success
	maxTokens float64 // retries that can be saved up

	mu     sync.Mutex
	tokens float64
}

// Defaults of the retry budget.
const (
	DefaultRetryRatio     = 0.2
	DefaultMaxRetryTokens = 20
)

// NewRetryBudget returns a budget with everything saved up.
func NewRetryBudget(ratio, maxTokens float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// Success earns a share of a retry.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
	b.mu.Unlock()
}

// Take spends one retry, or reports false.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
