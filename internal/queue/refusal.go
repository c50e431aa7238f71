package queue

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// Bounds of Retry-After in refusals.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// errNoCapacity returns the refusal for requests while no endpoint is available.
func errNoCapacity() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_capacity",
		"no endpoint is available").After(minRetryAfter)
}

// errOverloaded returns the refusal for a request whose wait exceeds its deadline.
func errOverloaded(retry time.Duration) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "overloaded",
		"the request would wait longer than its class allows").After(clampRetryAfter(retry))
}

// errQueueFull returns the refusal when the class is full and the request's
// workspace has the most work waiting.
func errQueueFull(retry time.Duration) error {
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, "queue_full",
		"the workspace has the most work waiting and the queue is full").After(clampRetryAfter(retry))
}

// errAbandoned returns the error for a caller whose context is done.
func errAbandoned(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, http.StatusServiceUnavailable, "abandoned",
		"the caller stopped waiting for admission")
}
