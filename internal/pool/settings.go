package pool

import (
	"time"

	"github.com/acacialink/acacialink/internal/resource"
)

// Settings configures the decisions for one pool.
type Settings struct {
	// TargetUtilisation is the target utilisation, from 0 to 1.
	TargetUtilisation float64
	// HalfLife is the half-life of the exponential smoothing of the demand.
	HalfLife time.Duration
	// TrendHalfLife is the half-life of the exponential smoothing of the trend.
	TrendHalfLife time.Duration
	// ReturnAfter is how long a domain must have had spare endpoints before one
	// is returned.
	ReturnAfter time.Duration
	// MaxOrdersInFlight is the maximum number of unfinished orders of the pool.
	MaxOrdersInFlight int
	// StartGrace is the time allowed beyond Limits.StartTime before an order whose
	// endpoint has not started is returned.
	StartGrace time.Duration
}

// DefaultSettings returns settings for endpoints that take a minute or more to
// start.
func DefaultSettings() Settings {
	return Settings{
		TargetUtilisation: 0.7,
		HalfLife:          30 * time.Second,
		TrendHalfLife:     2 * time.Minute,
		ReturnAfter:       10 * time.Minute,
		MaxOrdersInFlight: 4,
		StartGrace:        10 * time.Minute,
	}
}

// Limits holds the operator's declaration of a pool.
type Limits struct {
	// Domains are the failure domains of the pool.
	Domains []string
	// Min and Max bound the number of endpoints in each domain.
	Min, Max int
	// BudgetHours bounds the endpoint hours per day over all domains. Zero means
	// no bound.
	BudgetHours float64
	// PrefillTokens and DecodeTokens are the capacity of one endpoint, in tokens
	// per second.
	PrefillTokens, DecodeTokens float64
	// StartTime is the time that an ordered endpoint takes to start.
	StartTime time.Duration
	// HeadroomDomains is the number of domains that may be lost without
	// overloading the others.
	HeadroomDomains int
}

// LimitsOf returns the limits declared by a pool and the policy.
func LimitsOf(p resource.PoolSpec, policy resource.PolicySpec) Limits {
	return Limits{
		Domains:         p.Domains,
		Min:             p.Min,
		Max:             p.Max,
		BudgetHours:     p.BudgetHours,
		PrefillTokens:   float64(p.PrefillTokens),
		DecodeTokens:    float64(p.DecodeTokens),
		StartTime:       time.Duration(p.StartSeconds) * time.Second,
		HeadroomDomains: policy.HeadroomDomains,
	}
}
