// Package bodybudget limits the total size of the bodies that a process
// holds in memory.
package bodybudget

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrExhausted reports that the bodies in memory have reached the limit.
var ErrExhausted = errors.New("the bodies in memory have reached the limit")

// Budget is a limit on the bytes of all bodies. It is safe for concurrent use.
type Budget struct {
	// limit is in bytes; 0 means no limit.
	limit    int64
	reserved atomic.Int64
}

// New returns a budget of limit bytes; 0 means no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// reserve reserves n bytes. It reports false and reserves nothing if that would
// exceed the limit.
func (b *Budget) reserve(n int64) bool {
	if reserved := b.reserved.Add(n); b.limit > 0 && reserved > b.limit {
		b.reserved.Add(-n)
		return false
	}
	return true
}

// Reserved returns the bytes of the bodies in memory.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Reader reserves the bytes that it reads from a body in a budget.
type Reader struct {
	io.Reader
	budget   *Budget
	reserved int64
}

// NewReader returns a reader of the body. Release must be called once the bytes read
// are no longer in use.
func (b *Budget) NewReader(body io.Reader) *Reader { return &Reader{Reader: body, budget: b} }

// Read implements io.Reader. It returns ErrExhausted if the budget is exhausted.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n == 0 {
		return 0, err
	}
	if !r.budget.reserve(int64(n)) {
		return 0, ErrExhausted
	}
	r.reserved += int64(n)
	return n, err
}

// Release returns all reserved bytes to the budget.
func (r *Reader) Release() {
	r.budget.reserved.Add(-r.reserved)
	r.reserved = 0
}
