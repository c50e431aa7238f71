package member

import "time"

// reach is what a table knows of its own connection to the others. A host
// that reaches nobody takes itself for cut off and accuses nobody.
type reach struct {
	// last is when a peer was last heard.
	last time.Time
	// failed counts calls that failed since.
	failed int
}

// Bounds past which a host takes itself for cut off.
const (
	isolatedFailures = 3
	isolatedPeriods  = 3
)

func (r *reach) heard(now time.Time) {
	r.last = now
	r.failed = 0
}

// isolated says whether several calls in a row failed and nobody called.
func (r *reach) isolated(period time.Duration, now time.Time) bool {
	return r.failed >= isolatedFailures && now.Sub(r.last) > isolatedPeriods*period
}
