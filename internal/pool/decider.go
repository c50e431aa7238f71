package pool

import (
	"fmt"
	"time"
)

// Decider decides when to order and return the endpoints of one pool. It is not
// safe for concurrent use.
type Decider struct {
	settings Settings
	forecast forecast
	// spareSince is the time since which a domain has had more endpoints than
	// planned, by domain.
	spareSince map[string]time.Time
	cost       costMeter
	lastPlan   plan
}

// NewDecider returns a decider without demand history.
func NewDecider(s Settings) *Decider {
	return &Decider{settings: s, spareSince: make(map[string]time.Time)}
}

// State is a decider's state for the state dump.
type State struct {
	// Needed is the smoothed number of endpoints that the demand fills.
	Needed float64 `json:"needed"`
	// Trend is the change of Needed per second.
	Trend float64 `json:"trend_per_second"`
	// Plan is the planned number of endpoints by failure domain.
	Plan map[string]int `json:"plan"`
	// EndpointHours is the total of paid endpoint hours since the decider was
	// created.
	EndpointHours float64 `json:"endpoint_hours"`
	// BusyFraction is the fraction of EndpointHours that was used, from 0 to 1.
	BusyFraction float64 `json:"busy_part"`
}

// State returns the last plan and the totals of paid endpoint hours.
func (d *Decider) State() State {
	return State{
		Needed:        d.forecast.level,
		Trend:         d.forecast.trend,
		Plan:          d.lastPlan,
		EndpointHours: d.cost.paidHours,
		BusyFraction:  d.cost.utilisation(),
	}
}

// Decide updates the forecast with the demand and returns the next action, at
// most one per call. The second result is false if there is nothing to do.
// endpoints must not include those of a domain that the platform has lost, so
// that their capacity is also ordered in other domains.
func (d *Decider) Decide(now time.Time, demand Demand, endpoints []Endpoint, l Limits) (Action, bool) {
	needed := demand.endpointsNeeded(l)
	d.cost.observe(now, needed, countPaid(endpoints))
	d.forecast.observe(now, d.settings, needed)
	d.lastPlan = planFor(d.forecast.predict(l.StartTime)/d.settings.TargetUtilisation, l)
	d.lastPlan.limitToBudget(l)
	if a, ok := d.returnOverdue(now, endpoints, l); ok {
		return a, true
	}
	if a, ok := d.orderMissing(endpoints, l); ok {
		return a, true
	}
	return d.returnSpare(now, endpoints, l)
}

// returnOverdue returns an order whose endpoint did not start in time.
func (d *Decider) returnOverdue(now time.Time, endpoints []Endpoint, l Limits) (Action, bool) {
	for _, e := range endpoints {
		if e.OrderID != "" && !e.Running && !e.Leaving && now.Sub(e.OrderedAt) > l.StartTime+d.settings.StartGrace {
			return Action{OrderID: e.OrderID, Domain: e.Domain, Reason: "the endpoint did not start in time"}, true
		}
	}
	return Action{}, false
}

// orderMissing orders an endpoint in the domain with the largest shortage.
func (d *Decider) orderMissing(endpoints []Endpoint, l Limits) (Action, bool) {
	counts := countByDomain(endpoints)
	if countStarting(endpoints) >= d.settings.MaxOrdersInFlight {
		return Action{}, false
	}
	domain, shortage := "", 0
	for _, candidate := range l.Domains {
		if missing := d.lastPlan[candidate] - counts[candidate]; missing > shortage {
			domain, shortage = candidate, missing
		}
	}
	if shortage == 0 {
		return Action{}, false
	}
	return Action{Order: true, Domain: domain, Reason: fmt.Sprintf("%d of %d endpoints", counts[domain], d.lastPlan[domain])}, true
}

// returnSpare returns the least loaded endpoint of a domain that has had more
// endpoints than planned for Settings.ReturnAfter.
func (d *Decider) returnSpare(now time.Time, endpoints []Endpoint, l Limits) (Action, bool) {
	counts := countByDomain(endpoints)
	for _, domain := range l.Domains {
		if counts[domain] <= d.lastPlan[domain] {
			delete(d.spareSince, domain)
			continue
		}
		since, ok := d.spareSince[domain]
		if !ok {
			d.spareSince[domain] = now
			continue
		}
		if now.Sub(since) < d.settings.ReturnAfter {
			continue
		}
		if e, ok := leastLoaded(endpoints, domain); ok {
			d.spareSince[domain] = now
			return Action{OrderID: e.OrderID, Domain: domain, Reason: "spare"}, true
		}
	}
	return Action{}, false
}

// countByDomain returns the number of endpoints that are not leaving, by domain.
func countByDomain(endpoints []Endpoint) map[string]int {
	counts := make(map[string]int)
	for _, e := range endpoints {
		if !e.Leaving {
			counts[e.Domain]++
		}
	}
	return counts
}

// countPaid returns the number of endpoints that are paid for, which is every
// endpoint that has not been returned.
func countPaid(endpoints []Endpoint) int { return len(endpoints) }

// countStarting returns the number of ordered endpoints that do not run yet.
func countStarting(endpoints []Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if !e.Running && !e.Leaving {
			n++
		}
	}
	return n
}

// leastLoaded returns the running endpoint of the domain with the fewest in-flight
// requests. Endpoints that are leaving or were declared by the operator are
// skipped.
func leastLoaded(endpoints []Endpoint, domain string) (Endpoint, bool) {
	var chosen Endpoint
	found := false
	for _, e := range endpoints {
		if e.Domain != domain || e.OrderID == "" || !e.Running || e.Leaving {
			continue
		}
		if !found || e.InFlight < chosen.InFlight {
			chosen, found = e, true
		}
	}
	return chosen, found
}
