package record

import (
	"strconv"
	"sync/atomic"
)

// WriteTokens generates unique write tokens. It is safe for concurrent use.
type WriteTokens struct {
	prefix string
	last   atomic.Int64
}

// NewWriteTokens returns the write tokens of a process. The pair of name and
// incarnation must be unique to each start of each process.
func NewWriteTokens(name, incarnation string) *WriteTokens {
	return &WriteTokens{prefix: name + "/" + incarnation + "/"}
}

// Next returns a token that was not returned before.
func (t *WriteTokens) Next() string { return t.prefix + strconv.FormatInt(t.last.Add(1), 10) }
