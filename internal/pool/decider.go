package pool

import (
	"fmt"
	"time"
)

// Decider decides for one pool. It is not safe for concurrent use.
type Decider struct {
	settings Settings
	forecast forecast
	// spareFrom is since when each domain has had an endpoint too many.
	spareFrom map[string]time.Time
	cost      cost
	last      plan
}

// NewDecider returns a decider that has measured nothing yet.
func NewDecider(s Settings) *Decider {
	return &Decider{settings: s, spareFrom: make(map[string]time.Time)}
}

// State is what a decider shows in dumps.
type State struct {
	// Needed is the endpoints that the demand fills now, Forecast after the
	// time that an order takes.
	Needed   float64        `json:"needed"`
	Trend    float64        `json:"trend_per_second"`
	Plan     map[string]int `json:"plan"`
	Hours    float64        `json:"endpoint_hours"`
	BusyPart float64        `json:"busy_part"`
}

// State returns what was last decided and what was paid so far.
func (d *Decider) State() State {
	return State{
		Needed:   d.forecast.level,
		Trend:    d.forecast.trend,
		Plan:     d.last,
		Hours:    d.cost.hours,
		BusyPart: d.cost.busyPart(),
	}
}

// Decide takes the demand and the endpoints and returns what to do next, at
// most one action a call. Endpoints of a domain that the platform has lost
// are not among them, so what they leave open is ordered elsewhere too.
func (d *Decider) Decide(now time.Time, demand Demand, endpoints []Endpoint, l Limits) (Action, bool) {
	needed := demand.endpoints(l)
	d.cost.observe(now, needed, countAll(endpoints))
	d.forecast.observe(now, d.settings, needed)
	d.last = planFor(d.forecast.ahead(l.Start)/d.settings.Target, l)
	d.last.capBudget(l)
	if a, ok := d.giveUp(now, endpoints, l); ok {
		return a, true
	}
	if a, ok := d.order(endpoints, l); ok {
		return a, true
	}
	return d.giveBack(now, endpoints, l)
}

// giveUp returns an order that never arrived.
func (d *Decider) giveUp(now time.Time, endpoints []Endpoint, l Limits) (Action, bool) {
	for _, e := range endpoints {
		if e.OrderID != "" && !e.Running && !e.Leaving && now.Sub(e.Ordered) > l.Start+d.settings.StartLimit {
			return Action{OrderID: e.OrderID, Domain: e.Domain, Reason: "the endpoint did not start in time"}, true
		}
	}
	return Action{}, false
}

// order asks for an endpoint in the domain that lacks most.
func (d *Decider) order(endpoints []Endpoint, l Limits) (Action, bool) {
	have := countByDomain(endpoints)
	if starting(endpoints) >= d.settings.OrdersInFlight {
		return Action{}, false
	}
	domain, lack := "", 0
	for _, one := range l.Domains {
		if missing := d.last[one] - have[one]; missing > lack {
			domain, lack = one, missing
		}
	}
	if lack == 0 {
		return Action{}, false
	}
	return Action{Order: true, Domain: domain, Reason: fmt.Sprintf("%d of %d endpoints", have[domain], d.last[domain])}, true
}

// giveBack returns the idlest endpoint of a domain that has long had too many.
func (d *Decider) giveBack(now time.Time, endpoints []Endpoint, l Limits) (Action, bool) {
	have := countByDomain(endpoints)
	for _, domain := range l.Domains {
		if have[domain] <= d.last[domain] {
			delete(d.spareFrom, domain)
			continue
		}
		since, ok := d.spareFrom[domain]
		if !ok {
			d.spareFrom[domain] = now
			continue
		}
		if now.Sub(since) < d.settings.ReturnAfter {
			continue
		}
		if e, ok := idlest(endpoints, domain); ok {
			d.spareFrom[domain] = now
			return Action{OrderID: e.OrderID, Domain: domain, Reason: "spare"}, true
		}
	}
	return Action{}, false
}

func countByDomain(endpoints []Endpoint) map[string]int {
	have := make(map[string]int)
	for _, e := range endpoints {
		if !e.Leaving {
			have[e.Domain]++
		}
	}
	return have
}

// countAll counts what costs money: everything that is not yet returned.
func countAll(endpoints []Endpoint) int { return len(endpoints) }

func starting(endpoints []Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if !e.Running && !e.Leaving {
			n++
		}
	}
	return n
}

func idlest(endpoints []Endpoint, domain string) (Endpoint, bool) {
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
