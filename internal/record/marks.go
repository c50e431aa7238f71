package record

import (
	"strconv"
	"sync/atomic"
)

// Marks generates unique write tokens. It is safe for concurrent use.
type Marks struct {
	prefix string
	last   atomic.Int64
}

// NewMarks returns the write tokens of a process. The pair of name and incarnation must
// be unique to each start of each process.
func NewMarks(name, incarnation string) *Marks {
	return &Marks{prefix: name + "/" + incarnation + "/"}
}

// Next returns a token that was not returned before.
func (m *Marks) Next() string { return m.prefix + strconv.FormatInt(m.last.Add(1), 10) }
