package role

import (
	"fmt"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Decider decides the roles of the engines of one pool in one failure domain. It is
// not safe for concurrent use.
type Decider struct {
	settings Settings
	capacity Capacity
	meter    *meter
	// candidate is the change that has been worthwhile since candidateSince.
	candidate      Change
	candidateSince time.Time
	// lastChange is when the last change was decided.
	lastChange time.Time
	// unreadySince maps the name of each engine that is not ready to the time at
	// which Decide first saw it so.
	unreadySince map[string]time.Time
	reason       string
}

// NewDecider returns a decider without measurements. It starts with a cooldown,
// since a new leader does not know when the last change was made.
func NewDecider(now time.Time, s Settings, c Capacity) *Decider {
	return &Decider{settings: s, capacity: c, meter: newMeter(s), lastChange: now, unreadySince: make(map[string]time.Time)}
}

// Demand returns the smoothed demand as last measured.
func (d *Decider) Demand() Demand { return d.meter.demand }

// Reason returns why the last call of Decide made no change, or "" if it made one.
func (d *Decider) Reason() string { return d.reason }

// Decide evaluates the engines' reports and returns the change to make, if any. It
// returns no change while a report is stale, or while an engine that does not count as
// failed is not ready, so that at most one change is in progress.
func (d *Decider) Decide(now time.Time, engines []Engine) (Change, bool) {
	engines = d.withoutFailed(now, inService(engines))
	demand := d.meter.observe(now, engines)
	if reason := d.blocked(now, engines); reason != "" {
		return d.noChange(reason)
	}
	chosen, ok := best(engines, demand, d.capacity, d.settings.MinEngines)
	if !ok {
		return d.noChange("the floor of each role allows no change")
	}
	if !chosen.worthwhile(d.settings) {
		return d.noChange("no change pays")
	}
	if d.candidate.Role != chosen.change.Role || d.candidateSince.IsZero() {
		d.candidateSince = now
	}
	d.candidate = chosen.change
	if now.Sub(d.candidateSince) < d.settings.PersistFor {
		d.reason = "the need has not lasted long enough"
		return Change{}, false
	}
	d.lastChange = now
	d.candidateSince = time.Time{}
	d.reason = ""
	chosen.change.Reason = fmt.Sprintf("utilisation %.2f, %.2f after", chosen.before, chosen.after)
	return chosen.change, true
}

func (d *Decider) noChange(reason string) (Change, bool) {
	d.candidateSince = time.Time{}
	d.reason = reason
	return Change{}, false
}

// blocked returns why no change may be decided now, or "".
func (d *Decider) blocked(now time.Time, engines []Engine) string {
	if now.Sub(d.lastChange) < d.settings.Cooldown {
		return "the last change is too recent"
	}
	for _, e := range engines {
		if !e.Ready {
			return "an engine is not ready"
		}
		if now.Sub(e.At) > d.settings.StaleReport {
			return "a report is stale"
		}
	}
	return ""
}

// failedAfter is the number of change times after which an engine that is not ready
// counts as failed and no longer blocks decisions.
const failedAfter = 3

// withoutFailed removes engines that have not been ready for longer than
// failedAfter change times.
func (d *Decider) withoutFailed(now time.Time, engines []Engine) []Engine {
	unready := make(map[string]time.Time)
	remaining := make([]Engine, 0, len(engines))
	for _, e := range engines {
		since, known := d.unreadySince[e.Name]
		if !e.Ready && !known {
			since = now
		}
		if !e.Ready {
			unready[e.Name] = since
		}
		if e.Ready || now.Sub(since) <= failedAfter*d.settings.ChangeTime {
			remaining = append(remaining, e)
		}
	}
	d.unreadySince = unready
	return remaining
}

// inService removes engines that are draining or have no role.
func inService(engines []Engine) []Engine {
	active := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if !e.Draining && e.Role != backing.Role("") {
			active = append(active, e)
		}
	}
	return active
}
