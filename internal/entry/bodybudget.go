package entry

import (
	"io"
	"sync/atomic"
)

// bodyBudget limits the total size of the request bodies in memory. It is safe
// for concurrent use.
type bodyBudget struct {
	// limit is in bytes; 0 means no limit.
	limit    int64
	reserved atomic.Int64
}

// reserve reserves n bytes. It reports false and reserves nothing if that would
// exceed the limit.
func (b *bodyBudget) reserve(n int64) bool {
	if reserved := b.reserved.Add(n); b.limit > 0 && reserved > b.limit {
		b.reserved.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) release(n int64) { b.reserved.Add(-n) }

// budgetReader reserves the bytes that it reads from a body in the budget.
type budgetReader struct {
	io.Reader
	budget   *bodyBudget
	reserved int64
}

// Read implements io.Reader. It returns errBuffersFull if the budget is exhausted.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n == 0 {
		return 0, err
	}
	if !r.budget.reserve(int64(n)) {
		return 0, errBuffersFull
	}
	r.reserved += int64(n)
	return n, err
}

// release returns all reserved bytes to the budget.
func (r *budgetReader) release() {
	r.budget.release(r.reserved)
	r.reserved = 0
}
