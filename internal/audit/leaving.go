package audit

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/hostlist"
)

// checkLeaving looks for new work at endpoints that the host list had shown as
// leaving for longer than the bound.
func checkLeaving(rep *report, r *Record, b Bounds) {
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
	rep.saw()
	if late := at.Sub(since); late > b.LeaveWithin {
		rep.add("endpoint %s got request %s %v after it began to leave", endpoint, request, late)
	}
}

// leavingSince is when the endpoint last began to leave, if it was leaving at
// the time.
func leavingSince(changes []hostlist.Change, endpoint string, at time.Time) (time.Time, bool) {
	var since time.Time
	leaving := false
	for _, c := range changes {
		if c.Name != endpoint || c.At.After(at) {
			continue
		}
		now := c.Removed || c.State == backing.HostLeaving
		if now && !leaving {
			since = c.At
		}
		leaving = now
	}
	return since, leaving
}
