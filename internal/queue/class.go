package queue

import "time"

// Class is the priority class of a request.
type Class uint8

// The priority classes, highest priority first.
const (
	// Interactive is for callers waiting on the response, such as chats and
	// wording checks.
	Interactive Class = iota
	// Standard is for status checks and similar requests.
	Standard
	// Batch is for requests without a waiting caller, such as dossiers and
	// catalogues.
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

// ParseClass returns the class with that name. It returns Batch and false if the
// name is unknown.
func ParseClass(name string) (Class, bool) {
	for c := Interactive; c < classCount; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return Batch, false
}

// ClassSettings holds the admission limits of one class.
type ClassSettings struct {
	// MaxWaiting bounds the number of waiting requests of the class.
	MaxWaiting int
	// Deadline is the maximum time that a request waits for admission. Requests
	// with a longer predicted wait are refused immediately.
	Deadline time.Duration
	// Share is the fraction of the admitted work, from 0 to 1, that the class
	// receives even while classes of higher priority have waiting requests.
	Share float64
}
