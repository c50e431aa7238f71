// Package record logs the calls that a stand-in received, for tests and audits.
package record

import "sync"

// DefaultEntries is the maximum number of entries in a log.
const DefaultEntries = 100_000

// Log is a list of at most DefaultEntries entries; it drops the oldest entry
// when full. It is safe for concurrent use. The zero value is an empty log.
type Log[T any] struct {
	mu      sync.Mutex
	entries []T
	dropped int
}

// Add appends an entry and returns its number. Numbers start at zero and count
// all entries ever added, including dropped ones.
func (l *Log[T]) Add(entry T) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= DefaultEntries {
		l.entries = l.entries[1:]
		l.dropped++
	}
	l.entries = append(l.entries, entry)
	return l.dropped + len(l.entries) - 1
}

// Update calls change on the entry with the given number. It does nothing if
// the entry was dropped.
func (l *Log[T]) Update(number int, change func(*T)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := number - l.dropped
	if i >= 0 && i < len(l.entries) {
		change(&l.entries[i])
	}
}

// All returns a copy of the entries, oldest first.
func (l *Log[T]) All() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]T{}, l.entries...)
}

// Dropped returns the number of entries dropped because the log was full.
func (l *Log[T]) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
