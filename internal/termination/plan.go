// Package termination decides what a process that was told to stop may still begin, and
// when its connections end. It answers the load that a host still gets after the stop:
// new connections until load balancers know, and requests on connections that callers keep.
package termination

import "time"

const (
	// noticePeriod is the time after the stop in which callers and load balancers may not
	// have learned of it.
	noticePeriod = 3 * time.Second
	// exitReserve is the time at the end of the grace period that is reserved for the last
	// responses and the exit. maxExitShare bounds it in short grace periods.
	exitReserve  = 800 * time.Millisecond
	maxExitShare = 0.15
)

// Plan is when a process that was told to stop does what.
type Plan struct {
	// Began is when it was told to stop.
	Began time.Time
	// NoticeEnd is the time until which requests arrive that could not know of it.
	NoticeEnd time.Time
	// End is the time by which each request must have ended. Those that have not are
	// interrupted.
	End time.Time
	// Close is when all connections are closed, whatever is in progress.
	Close time.Time
	// Exit is when the process exits, whatever calls of its own are in progress.
	Exit time.Time
}

// NewPlan returns the plan of a process that must have exited after the grace period.
func NewPlan(began time.Time, grace time.Duration) Plan {
	reserve := min(exitReserve, time.Duration(maxExitShare*float64(grace)))
	end := began.Add(grace - reserve)
	return Plan{Began: began, NoticeEnd: began.Add(noticePeriod), End: end, Close: end.Add(reserve / 2), Exit: end.Add(reserve * 3 / 4)}
}

// NewDrain returns the plan of a process that admits requests until the time that it has for
// its drain is nearly over: load balancers have moved its callers long before.
func NewDrain(began time.Time, drain time.Duration) Plan {
	plan := NewPlan(began, drain)
	plan.NoticeEnd = plan.End
	return plan
}

// Work is what is known of a request's time.
type Work struct {
	// Arrived is when it arrived.
	Arrived time.Time
	// Deadline is the time by which it ends in any case; zero if there is none.
	Deadline time.Time
	// Usual is the time that its kind usually takes from now on.
	Usual time.Duration
}

// Refusal is why work may not begin.
type Refusal string

const (
	// Admitted is no refusal.
	Admitted Refusal = ""
	// RefusedClosed is of work that comes once the process only ends what it has begun.
	RefusedClosed Refusal = "closed"
	// RefusedLate is of work that came when its caller could know of the stop, and whose
	// time-out passes the end.
	RefusedLate Refusal = "late"
	// RefusedLong is of work that usually passes the end.
	RefusedLong Refusal = "long"
)

// Refusal returns why the work may not begin now, or not go on with another step. Work that
// ends in time in any case may. Other work may only if it arrived before its caller could
// know of the stop and usually ends in time: refused work has not run and can go elsewhere,
// interrupted work may have run.
func (p Plan) Refusal(now time.Time, w Work) Refusal {
	switch {
	case !w.Deadline.IsZero() && !w.Deadline.After(p.End):
		return Admitted
	case !w.Arrived.Before(p.NoticeEnd):
		return RefusedLate
	case now.Add(w.Usual).After(p.End):
		return RefusedLong
	default:
		return Admitted
	}
}

// MayBegin reports whether the work may begin now, or go on with another step.
func (p Plan) MayBegin(now time.Time, w Work) bool { return p.Refusal(now, w) == Admitted }
