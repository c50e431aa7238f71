// Package record keeps what a stand-in received, for tests and audits.
package record

import "sync"

// DefaultEntries is the default bound of a log.
const DefaultEntries = 100_000

// Log is a bounded list of entries; the oldest go first. It is safe for
// concurrent use. The zero value holds DefaultEntries.
type Log[T any] struct {
	mu      sync.Mutex
	entries []T
	dropped int
}

// Add appends an entry and returns its number, which counts from zero over
// all entries ever added.
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

// Update changes the entry with the number, if it is still held.
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

// Dropped is the number of entries that were dropped because of the bound.
func (l *Log[T]) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
