package entry

import "sync"

// The retry budget: each request earns a share of a retry, up to a bound, so
// that retries cannot multiply the load of an overloaded fleet.
const (
	retryShare = 0.2
	retryBound = 20.0
)

// retryBudget limits the retries of a host.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBound} }

// earn counts a request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	b.tokens = min(retryBound, b.tokens+retryShare)
	b.mu.Unlock()
}

// spend says whether a retry may be made, and counts it.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
