package audit

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
)

// checkLeavingEndpoints finds new work that arrived at an endpoint after the host list
// had reported it as leaving for longer than Bounds.LeaveWithin.
func checkLeavingEndpoints(rep *report, r *Record, b Bounds) {
	for _, e := range r.Engines {
		for _, g := range e.Generations {
			checkArrival(rep, r, b, e.Name, g.ID, g.Start)
		}
	}
	for _, s := range r.Services {
		for _, c := range s.Calls {
			checkArrival(rep, r, b, s.Name, c.RequestID, c.At)
		}
	}
}

func checkArrival(rep *report, r *Record, b Bounds, endpoint, request string, at time.Time) {
	since, leaving := leavingSince(r.Hosts, endpoint, at)
	if !leaving {
		return
	}
	rep.countExamined()
	if delay := at.Sub(since); delay > b.LeaveWithin {
		rep.addFinding("endpoint %s got request %s %v after it began to leave", endpoint, request, delay)
	}
}

// leavingSince reports whether the endpoint was leaving or removed at the given
// time, and returns when it last entered that state.
func leavingSince(changes []hostlist.Change, endpoint string, at time.Time) (time.Time, bool) {
	var since time.Time
	leaving := false
	for _, c := range changes {
		if c.Name != endpoint || c.At.After(at) {
			continue
		}
		isLeaving := c.Removed || c.State == backing.HostLeaving
		if isLeaving && !leaving {
			since = c.At
		}
		leaving = isLeaving
	}
	return since, leaving
}
