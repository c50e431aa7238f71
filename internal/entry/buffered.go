package entry

import (
	"io"
	"sync/atomic"
)

// bodyBudget bounds the bytes of all bodies that are held; a bound of zero
// means none. It is safe for concurrent use.
type bodyBudget struct {
	bound int64
	used  atomic.Int64
}

// take reserves n bytes and says whether that is within the bound.
func (b *bodyBudget) take(n int64) bool {
	if used := b.used.Add(n); b.bound > 0 && used > b.bound {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) give(n int64) { b.used.Add(-n) }

// budgetReader reads a body and reserves what it read.
type budgetReader struct {
	io.Reader
	budget *bodyBudget
	held   int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n == 0 {
		return 0, err
	}
	if !r.budget.take(int64(n)) {
		return 0, errBuffersFull
	}
	r.held += int64(n)
	return n, err
}

// release gives back what was reserved.
func (r *budgetReader) release() {
	r.budget.give(r.held)
	r.held = 0
}
