package observe

import (
	"encoding/json"
	"sync"
)

// OtherLabel counts what has no place of its own.
const OtherLabel = "other"

// Labelled is a counter per label, with a bound on the number of labels. It is
// safe for concurrent use.
type Labelled struct {
	bound int

	mu     sync.Mutex // guards counts
	counts map[string]int64
}

func newLabelled(bound int) *Labelled {
	return &Labelled{bound: bound, counts: make(map[string]int64)}
}

// Add adds to the counter of a label, or to OtherLabel once there are as many
// labels as the bound allows.
func (l *Labelled) Add(label string, delta int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.counts[label]; !known && len(l.counts) >= l.bound {
		label = OtherLabel
	}
	l.counts[label] += delta
}

// Get returns the counter of a label.
func (l *Labelled) Get(label string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[label]
}

// String implements expvar.Var.
func (l *Labelled) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, _ := json.Marshal(l.counts) // Strings and numbers only: can't fail.
	return string(text)
}
