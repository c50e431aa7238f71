package entry

import "sync"

// Each request adds a fraction of a retry to the budget, up to a maximum, so that
// retries cannot multiply the load of an overloaded fleet.
const (
	retryTokensPerRequest = 0.2
	maxRetryTokens        = 20.0
)

// retryBudget is a token bucket that limits the retries of a host. One token pays for
// one retry. It is safe for concurrent use.
type retryBudget struct {
	// mu guards tokens.
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit adds the share of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerRequest)
	b.mu.Unlock()
}

// withdraw removes one token and reports whether a retry may be made.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
