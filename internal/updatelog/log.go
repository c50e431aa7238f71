// Package updatelog retains the latest updates of a process for its peers, each of
// which reads them from its own position.
package updatelog

import "slices"

// Log is a bounded sequence of updates, numbered from 0. A Log must be created by New.
// It is not safe for concurrent use.
type Log[T any] struct {
	limit   int
	updates []T
	// first is the number of the first retained update.
	first int64
}

// New returns an empty log that retains at most limit updates.
func New[T any](limit int) *Log[T] { return &Log[T]{limit: limit} }

// Append retains an update. It drops the older half when the log is full.
func (l *Log[T]) Append(update T) {
	if len(l.updates) == l.limit {
		dropped := l.limit / 2
		l.updates = append(l.updates[:0], l.updates[dropped:]...)
		l.first += int64(dropped)
	}
	l.updates = append(l.updates, update)
}

// Since returns a copy of the retained updates from the given number on, with the
// number of the first of them and that of the next update. Updates that are no longer
// retained are left out.
func (l *Log[T]) Since(number int64) (updates []T, first, next int64) {
	skip := max(0, min(number-l.first, int64(len(l.updates))))
	return slices.Clone(l.updates[skip:]), l.first + skip, l.first + int64(len(l.updates))
}
