package route

import "time"

// Policy picks an endpoint for a request. Implementations are not safe for
// concurrent use.
type Policy interface {
	// Pick returns the endpoint for r, or a *verdict.Error with the verdict
	// NotRun if none is eligible.
	Pick(now time.Time, r *Request, s *Set) (Decision, error)
}
