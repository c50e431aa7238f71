package role

import (
	"fmt"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
)

// Decider decides for the engines of one pool in one domain. It is not safe
// for concurrent use.
type Decider struct {
	settings Settings
	capacity Capacity
	meter    *meter
	// pays is the change that has paid since paysFrom.
	pays     Change
	paysFrom time.Time
	// changed is when the last change was decided.
	changed time.Time
	// unready is since when each engine has not been ready.
	unready map[string]time.Time
	why     string
}

// NewDecider returns a decider that has measured nothing yet. A holder that
// has just taken over begins with a cooldown: it does not know when the last
// change was made.
func NewDecider(now time.Time, s Settings, c Capacity) *Decider {
	return &Decider{settings: s, capacity: c, meter: newMeter(s), changed: now, unready: make(map[string]time.Time)}
}

// Demand returns the demand as last measured.
func (d *Decider) Demand() Demand { return d.meter.demand }

// Why says why the last call of Decide made no change.
func (d *Decider) Why() string { return d.why }

// Decide takes the engines' reports and returns the change to make, if any.
// At most one change is under way: it decides nothing while an engine is not
// ready, or while a report is stale.
func (d *Decider) Decide(now time.Time, engines []Engine) (Change, bool) {
	engines = d.withoutFailed(now, inService(engines))
	demand := d.meter.observe(now, engines)
	if reason := d.blocked(now, engines); reason != "" {
		return d.none(reason)
	}
	o, ok := best(engines, demand, d.capacity, d.settings.Floor)
	if !ok {
		return d.none("the floor of each role allows no change")
	}
	if !o.pays(d.settings) {
		return d.none("no change pays")
	}
	if d.pays.Role != o.change.Role || d.paysFrom.IsZero() {
		d.paysFrom = now
	}
	d.pays = o.change
	if now.Sub(d.paysFrom) < d.settings.Persist {
		d.why = "the need has not lasted long enough"
		return Change{}, false
	}
	d.changed = now
	d.paysFrom = time.Time{}
	d.why = ""
	o.change.Reason = fmt.Sprintf("utilisation %.2f, %.2f after", o.before, o.after)
	return o.change, true
}

func (d *Decider) none(why string) (Change, bool) {
	d.paysFrom = time.Time{}
	d.why = why
	return Change{}, false
}

// blocked says why nothing may be decided now.
func (d *Decider) blocked(now time.Time, engines []Engine) string {
	if now.Sub(d.changed) < d.settings.Cooldown {
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

// failedAfter is how many change times an engine may be unready before it
// counts as failed and no longer holds decisions up.
const failedAfter = 3

// withoutFailed leaves out engines that have been unready for longer than a
// change can take.
func (d *Decider) withoutFailed(now time.Time, engines []Engine) []Engine {
	unready := make(map[string]time.Time)
	kept := make([]Engine, 0, len(engines))
	for _, e := range engines {
		since, known := d.unready[e.Name]
		if !e.Ready && !known {
			since = now
		}
		if !e.Ready {
			unready[e.Name] = since
		}
		if e.Ready || now.Sub(since) <= failedAfter*d.settings.ChangeTime {
			kept = append(kept, e)
		}
	}
	d.unready = unready
	return kept
}

// inService leaves out engines that are on their way out.
func inService(engines []Engine) []Engine {
	kept := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if !e.Draining && e.Role != backing.Role("") {
			kept = append(kept, e)
		}
	}
	return kept
}
