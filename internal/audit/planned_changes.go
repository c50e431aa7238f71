package audit

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// checkPlannedChanges looks for requests that were cut while a role or model
// order was in progress or an endpoint was leaving, with no fault at the time.
func checkPlannedChanges(rep *report, r *Record, _ Bounds) {
	windows := orderWindows(r)
	for _, c := range r.Hosts {
		if c.State == backing.HostLeaving && !c.Removed {
			windows = append(windows, Window{Start: c.At, End: removedAt(r, c.Name, c.At)})
		}
	}
	for _, p := range r.Planned {
		if !p.Stop {
			windows = append(windows, p.Window)
		}
	}
	checkCuts(rep, r, windows, "a planned change")
}

// checkPlannedStops looks for requests that were cut while a process stopped
// as planned, with no fault at the time.
func checkPlannedStops(rep *report, r *Record, _ Bounds) {
	var windows []Window
	for _, p := range r.Planned {
		if p.Stop {
			windows = append(windows, p.Window)
		}
	}
	checkCuts(rep, r, windows, "a planned stop")
}

func checkCuts(rep *report, r *Record, windows []Window, during string) {
	for _, q := range r.Requests {
		if !anyOverlaps(windows, q) || anyOverlaps(r.Faults, q) {
			continue
		}
		rep.saw()
		if q.cut() {
			rep.add("request %s to %s was cut (status %d, verdict %q) during %s", q.ID, q.Entry, q.Status, q.Verdict, during)
		}
	}
}

func anyOverlaps(windows []Window, q Request) bool {
	for _, w := range windows {
		if w.overlaps(q.Sent, q.Done) {
			return true
		}
	}
	return false
}

func orderWindows(r *Record) []Window {
	var windows []Window
	for _, e := range r.Engines {
		for _, o := range e.Orders {
			windows = append(windows, Window{Start: o.Start, End: latest(o.Start, o.End)})
		}
	}
	return windows
}

// removedAt is when a host left the list after at, or the end of time.
func removedAt(r *Record, host string, at time.Time) time.Time {
	for _, c := range r.Hosts {
		if c.Name == host && c.Removed && c.At.After(at) {
			return c.At
		}
	}
	return at.Add(24 * time.Hour)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
