package pool

import "math"

// plan is the target number of endpoints by domain.
type plan map[string]int

// planFor distributes the needed endpoints evenly over the domains so that enough
// remain after the loss of l.HeadroomDomains domains. The number per domain is
// limited to l.Min and l.Max.
func planFor(needed float64, l Limits) plan {
	p := make(plan, len(l.Domains))
	survivors := len(l.Domains) - l.HeadroomDomains
	if survivors < 1 {
		survivors = len(l.Domains)
	}
	perDomain := int(math.Ceil(needed / float64(max(1, survivors))))
	for _, domain := range l.Domains {
		p[domain] = min(max(perDomain, l.Min), l.Max)
	}
	return p
}

// hoursPerDay is the period of the budget, in hours.
const hoursPerDay = 24

// limitToBudget reduces the plan until a day of it costs no more endpoint hours
// than the budget, starting with the domain that has the most endpoints. No
// domain is reduced below l.Min.
func (p plan) limitToBudget(l Limits) {
	if l.BudgetHours <= 0 {
		return
	}
	for float64(p.total())*hoursPerDay > l.BudgetHours {
		domain, ok := p.largestDomain(l)
		if !ok {
			return
		}
		p[domain]--
	}
}

// total returns the number of endpoints over all domains.
func (p plan) total() int {
	n := 0
	for _, count := range p {
		n += count
	}
	return n
}

// largestDomain returns the domain with the most endpoints among those above
// l.Min, and false if there is none.
func (p plan) largestDomain(l Limits) (string, bool) {
	chosen := ""
	for _, domain := range l.Domains {
		if p[domain] > l.Min && (chosen == "" || p[domain] > p[chosen]) {
			chosen = domain
		}
	}
	return chosen, chosen != ""
}
