package pace

import "time"

// Pause is the time in which an incarnation of an endpoint wants nothing from this host.
type Pause struct {
	// StartedAtMS is the start time of the incarnation.
	StartedAtMS int64
	Until       time.Time
}

// Merge returns the pause after another one was asked for. Of one incarnation the later end
// counts: an endpoint that asks for a short pause does not take back a longer one. A later
// incarnation knows nothing of the pauses before.
func (p Pause) Merge(other Pause) Pause {
	switch {
	case other.StartedAtMS < p.StartedAtMS, other.StartedAtMS == p.StartedAtMS && !other.Until.After(p.Until):
		return p
	default:
		return other
	}
}

// Left returns the time left of the pause of an incarnation, at most 0 if it is over.
func (p Pause) Left(now time.Time, startedAtMS int64) time.Duration {
	if p.StartedAtMS != startedAtMS {
		return 0
	}
	return p.Until.Sub(now)
}
