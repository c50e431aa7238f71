package queue

import (
	"net/http"
	"time"

	"github.com/acacialink/acacialink/internal/verdict"
)

// The bounds of Retry-After in refusals.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// errNoCapacity refuses everything while no endpoint is usable.
func errNoCapacity() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_capacity",
		"no endpoint is available").After(minRetryAfter)
}

// errOverloaded refuses a request that would wait past its deadline.
func errOverloaded(retry time.Duration) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "overloaded",
		"the request would wait longer than its class allows").After(clampRetry(retry))
}

// errQueueFull refuses a request of the workspace that fills its class.
func errQueueFull(retry time.Duration) error {
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, "queue_full",
		"the workspace has the most work waiting and the queue is full").After(clampRetry(retry))
}

// errAbandoned is for a caller that stopped waiting.
func errAbandoned(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, http.StatusServiceUnavailable, "abandoned",
		"the caller stopped waiting for admission")
}
