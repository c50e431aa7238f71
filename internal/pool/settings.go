package pool

import (
	"time"

	"github.com/acacialink/acacialink/internal/resource"
)

// Settings bound the decisions for one pool.
type Settings struct {
	// Target is the utilisation to plan for, from 0 to 1.
	Target float64
	// HalfLife is the age at which a measurement of demand counts half.
	HalfLife time.Duration
	// TrendHalfLife is the same for the trend of the demand.
	TrendHalfLife time.Duration
	// ReturnAfter is how long an endpoint must have been spare.
	ReturnAfter time.Duration
	// OrdersInFlight bounds unfinished orders of the pool.
	OrdersInFlight int
	// StartLimit is how long past its usual start an order is waited for; a
	// later one is given up and returned.
	StartLimit time.Duration
}

// DefaultSettings are the bounds for endpoints that start in a minute or more.
func DefaultSettings() Settings {
	return Settings{
		Target:         0.7,
		HalfLife:       30 * time.Second,
		TrendHalfLife:  2 * time.Minute,
		ReturnAfter:    10 * time.Minute,
		OrdersInFlight: 4,
		StartLimit:     10 * time.Minute,
	}
}

// Limits are what the operator declared for a pool.
type Limits struct {
	Domains []string
	// Min and Max bound the endpoints of each domain.
	Min, Max int
	// BudgetHours bounds endpoint hours a day over all domains; zero: no bound.
	BudgetHours float64
	// PrefillTokens and DecodeTokens are one endpoint's capacity a second.
	PrefillTokens, DecodeTokens float64
	// Start is how long an ordered endpoint takes to run.
	Start time.Duration
	// HeadroomDomains is how many domains may be lost without overload.
	HeadroomDomains int
}

// LimitsOf returns the limits that a pool and the policy declare.
func LimitsOf(p resource.PoolSpec, policy resource.PolicySpec) Limits {
	return Limits{
		Domains:         p.Domains,
		Min:             p.Min,
		Max:             p.Max,
		BudgetHours:     p.BudgetHours,
		PrefillTokens:   float64(p.PrefillTokens),
		DecodeTokens:    float64(p.DecodeTokens),
		Start:           time.Duration(p.StartSeconds) * time.Second,
		HeadroomDomains: policy.HeadroomDomains,
	}
}
