package route

import "sync"

// RetryBudget limits retries to a fraction of recent successes, so that retries
// cannot multiply the load while targets fail.
type RetryBudget struct {
	ratio     float64 // retries allowed per success
	maxTokens float64 // unused retries that accumulate at most

	mu     sync.Mutex
	tokens float64
}

// Defaults of the retry budget.
const (
	DefaultRetryRatio     = 0.2
	DefaultMaxRetryTokens = 20
)

// NewRetryBudget returns a budget that starts with maxTokens retries.
func NewRetryBudget(ratio, maxTokens float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// RecordSuccess adds the fraction of a retry that one success allows.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
	b.mu.Unlock()
}

// TryWithdraw withdraws one retry. It returns false if the budget has none.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
