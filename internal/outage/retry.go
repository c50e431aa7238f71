// Package outage decides when a host calls a service again while its calls fail. It answers the
// load of an outage of the platform's store: all hosts of a fleet lose it at the same moment,
// and would all ask again and again whether it is back. A few hosts probe for all; the others
// learn from them, and a host that learns nothing finds out by itself, later. The package does
// no I/O.
package outage

import "time"

const (
	// probePause and maxProbePause are the first and the longest pause of a prober between
	// calls that fail.
	probePause    = 300 * time.Millisecond
	maxProbePause = 600 * time.Millisecond
	// silentPause is the pause of any other host, which has not heard that the service
	// answers: it may be the only one that nobody tells.
	silentPause = 2500 * time.Millisecond
	// returnPause is the first pause of such a host once it has heard of an answer, and
	// maxReturnPause the longest one: the service may turn away just this host.
	returnPause    = 500 * time.Millisecond
	maxReturnPause = 2 * time.Second
	// returnRate is the rate of calls a second to which the hosts of a fleet spread their
	// first calls after the service has answered, at most over maxSpread.
	returnRate = 100.0
	maxSpread  = 2 * time.Second
	// jitter is the part of a pause by which pauses differ.
	jitter = 0.4
)

// Role is what a host knows of the others.
type Role struct {
	// Prober reports whether the host probes the service for all.
	Prober bool
	// SeenAt is when the service answered another host, as far as known; zero if it is not
	// known to have.
	SeenAt time.Time
	// Hosts is the number of hosts.
	Hosts int
}

// Retry is the state of one kind of call. It is not safe for concurrent use.
type Retry struct {
	failures int
	failedAt time.Time
	// turnedAway counts the last failures at which the service answered other hosts.
	turnedAway int
	// learnedAt is when this host learned that the service has answered another one since
	// failedAt; zero if it has not.
	learnedAt time.Time
	// draw is from 0 to 1; it spreads the hosts.
	draw float64
}

// Failed records that a call failed. draw is a random number from 0 to 1.
func (r *Retry) Failed(now time.Time, role Role, draw float64) {
	if r.Failing() && role.SeenAt.After(r.failedAt) {
		r.turnedAway++
	} else {
		r.turnedAway = 0
	}
	r.failures, r.failedAt, r.draw, r.learnedAt = r.failures+1, now, draw, time.Time{}
}

// Succeeded records that a call was answered.
func (r *Retry) Succeeded() { *r = Retry{} }

// Failing reports whether the last call failed.
func (r *Retry) Failing() bool { return r.failures > 0 }

// FailedAt returns when the last call failed.
func (r *Retry) FailedAt() time.Time { return r.failedAt }

// Wait returns the time until the next call is due, at most 0 if it is.
func (r *Retry) Wait(now time.Time, role Role) time.Duration {
	if !r.Failing() {
		return 0
	}
	if r.learnedAt.IsZero() && role.SeenAt.After(r.failedAt) {
		r.learnedAt = now
	}
	return r.failedAt.Add(r.pause(role)).Sub(now)
}

// pause returns the time from the last failure to the next call.
func (r *Retry) pause(role Role) time.Duration {
	switch {
	case role.Prober:
		return r.spread(doubled(probePause, r.failures, maxProbePause))
	case r.learnedAt.IsZero():
		return r.spread(silentPause)
	case r.turnedAway == 0:
		span := min(float64(maxSpread), float64(role.Hosts)/returnRate*float64(time.Second))
		return r.learnedAt.Sub(r.failedAt) + time.Duration(r.draw*span)
	default:
		return r.spread(doubled(returnPause, r.turnedAway, maxReturnPause))
	}
}

// spread returns a pause that differs by the draw.
func (r *Retry) spread(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 - jitter/2 + jitter*r.draw))
}

// doubled returns a pause that doubles with each failure up to the longest one.
func doubled(pause time.Duration, failures int, longest time.Duration) time.Duration {
	for ; failures > 1 && pause < longest; failures-- {
		pause *= 2
	}
	return min(pause, longest)
}
