package queue

import "time"

// Class says how urgent a request is.
type Class uint8

// The classes, the most urgent first.
const (
	// Interactive is for callers who wait: chats and wording checks.
	Interactive Class = iota
	// Standard is for status checks and the like.
	Standard
	// Batch is for dossiers and catalogues that nobody waits for.
	Batch

	classCount = 3
)

// String returns the name of the class in settings.
func (c Class) String() string {
	switch c {
	case Interactive:
		return "interactive"
	case Standard:
		return "standard"
	default:
		return "batch"
	}
}

// ParseClass returns the class of that name, and false for an unknown one.
func ParseClass(name string) (Class, bool) {
	for c := Interactive; c < classCount; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return Batch, false
}

// ClassSettings bound one class.
type ClassSettings struct {
	// MaxWaiting bounds the waiting requests of the class.
	MaxWaiting int
	// Deadline is the longest time a request may wait for admission; one that
	// would wait longer is refused at once.
	Deadline time.Duration
	// Share is the part of the work that the class is given even while more
	// urgent classes have requests waiting, from 0 to 1.
	Share float64
}
