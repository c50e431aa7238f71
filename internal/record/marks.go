package record

import (
	"strconv"
	"sync/atomic"
)

// Marks makes marks that no other write carries.
type Marks struct {
	prefix string
	last   atomic.Int64
}

// NewMarks returns the marks of a process; name and incarnation together
// differ for each start of each process.
func NewMarks(name, incarnation string) *Marks {
	return &Marks{prefix: name + "/" + incarnation + "/"}
}

// Next returns a mark that was not returned before.
func (m *Marks) Next() string { return m.prefix + strconv.FormatInt(m.last.Add(1), 10) }
