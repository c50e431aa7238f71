package quota

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

// errOverRate refuses a request whose tokens are not available yet.
func errOverRate(l Limit, tokens int64) error {
	e := verdict.New(verdict.NotRun, http.StatusTooManyRequests, "rate_limited",
		"the workspace is over its rate in tokens")
	if l.Rate <= 0 {
		return e.After(maxRetryAfter)
	}
	wait := time.Duration(float64(tokens) / float64(l.Rate) * float64(time.Second))
	return e.After(min(max(wait, minRetryAfter), maxRetryAfter))
}

// errOverBurst refuses a request that can never fit the workspace's burst.
func errOverBurst() error {
	return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "over_burst",
		"the request may take more tokens than the workspace's burst")
}
