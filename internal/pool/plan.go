package pool

import "math"

// plan is the number of endpoints wanted in each domain.
type plan map[string]int

// planFor spreads the endpoints needed over the domains so that the loss of
// HeadroomDomains leaves enough, within the operator's bounds.
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

// hoursPerDay is the length of the budget's period.
const hoursPerDay = 24

// capBudget takes endpoints away, from the fullest domain first, until a day
// of the plan costs no more than the budget. The minimum stays.
func (p plan) capBudget(l Limits) {
	if l.BudgetHours <= 0 {
		return
	}
	for float64(p.total())*hoursPerDay > l.BudgetHours {
		domain, ok := p.fullest(l)
		if !ok {
			return
		}
		p[domain]--
	}
}

func (p plan) total() int {
	n := 0
	for _, count := range p {
		n += count
	}
	return n
}

func (p plan) fullest(l Limits) (string, bool) {
	chosen := ""
	for _, domain := range l.Domains {
		if p[domain] > l.Min && (chosen == "" || p[domain] > p[chosen]) {
			chosen = domain
		}
	}
	return chosen, chosen != ""
}
