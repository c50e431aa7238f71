package route

import "time"

// Policy picks an endpoint. An implementation is not safe for concurrent use.
type Policy interface {
	// Pick returns the endpoint for r, or a *verdict.Error with the verdict
	// NotRun when none can take it.
	Pick(now time.Time, r *Request, s *Set) (Decision, error)
}
