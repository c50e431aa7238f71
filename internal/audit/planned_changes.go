package audit

import (
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// checkPlannedChanges finds requests that were interrupted while an engine order or
// another planned change was in progress or an endpoint was leaving, and no fault was
// active.
func checkPlannedChanges(rep *report, r *Record, _ Bounds) {
	windows := orderWindows(r)
	for _, c := range r.Hosts {
		if c.State == backing.HostLeaving && !c.Removed {
			windows = append(windows, Window{Start: c.At, End: removedAt(r, c.Name, c.At)})
		}
	}
	for _, p := range r.PlannedChanges {
		if !p.Shutdown {
			windows = append(windows, p.Window)
		}
	}
	checkInterruptions(rep, r, windows, "a planned change")
}

// checkGracefulShutdowns finds requests that were interrupted during the graceful
// shutdown of a process while no fault was active.
func checkGracefulShutdowns(rep *report, r *Record, _ Bounds) {
	var windows []Window
	for _, p := range r.PlannedChanges {
		if p.Shutdown {
			windows = append(windows, p.Window)
		}
	}
	checkInterruptions(rep, r, windows, "a planned stop")
}

// checkInterruptions finds interrupted requests that overlap one of the windows
// and no fault.
func checkInterruptions(rep *report, r *Record, windows []Window, during string) {
	for _, req := range r.Requests {
		if !overlapsAny(windows, req) || overlapsAny(r.Faults, req) {
			continue
		}
		rep.countExamined()
		if req.interrupted() {
			rep.addFinding("request %s to %s was cut (status %d, verdict %q) during %s", req.ID, req.Entry, req.Status, req.Verdict, during)
		}
	}
}

func overlapsAny(windows []Window, req Request) bool {
	for _, w := range windows {
		if w.overlaps(req.Sent, req.Done) {
			return true
		}
	}
	return false
}

// orderWindows returns the time spans in which engines executed orders.
func orderWindows(r *Record) []Window {
	var windows []Window
	for _, e := range r.Engines {
		for _, o := range e.Orders {
			windows = append(windows, Window{Start: o.Start, End: laterOf(o.Start, o.End)})
		}
	}
	return windows
}

// removedAt returns when the host was removed from the list after at, or a time
// 24 hours later if it was not, beyond the end of any run.
func removedAt(r *Record, host string, at time.Time) time.Time {
	for _, c := range r.Hosts {
		if c.Name == host && c.Removed && c.At.After(at) {
			return c.At
		}
	}
	return at.Add(24 * time.Hour)
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
