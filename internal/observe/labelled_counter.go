package observe

import (
	"encoding/json"
	"sync"
)

// OtherLabel is the label that counts all labels over the limit.
const OtherLabel = "other"

// LabelledCounter is a set of counters by label, with a limit on the number of
// labels. It is safe for concurrent use.
type LabelledCounter struct {
	maxLabels int

	mu     sync.Mutex // guards counts
	counts map[string]int64
}

func newLabelledCounter(maxLabels int) *LabelledCounter {
	return &LabelledCounter{maxLabels: maxLabels, counts: make(map[string]int64)}
}

// Add adds delta to the counter of label. A new label over the limit is counted
// under OtherLabel.
func (l *LabelledCounter) Add(label string, delta int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.counts[label]; !known && len(l.counts) >= l.maxLabels {
		label = OtherLabel
	}
	l.counts[label] += delta
}

// Get returns the value of the counter of label, zero if there is none.
func (l *LabelledCounter) Get(label string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[label]
}

// String implements expvar.Var.
func (l *LabelledCounter) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, _ := json.Marshal(l.counts) // Cannot fail: it contains only strings and numbers.
	return string(text)
}
