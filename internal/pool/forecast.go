package pool

import (
	"math"
	"time"
)

// Demand is work that arrives in a second over all domains, in tokens.
type Demand struct {
	Prefill, Decode float64
}

// endpoints is the number of endpoints that the demand fills.
func (d Demand) endpoints(l Limits) float64 {
	return ratio(d.Prefill, l.PrefillTokens) + ratio(d.Decode, l.DecodeTokens)
}

func ratio(demand, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return demand / capacity
}

// forecast is a level and a trend of the endpoints needed (double exponential
// smoothing, Holt 1957).
type forecast struct {
	level, trend float64
	at           time.Time
}

// observe takes a measurement in endpoints.
func (f *forecast) observe(now time.Time, s Settings, value float64) {
	if f.at.IsZero() {
		f.level = value
		f.at = now
		return
	}
	elapsed := now.Sub(f.at).Seconds()
	if elapsed <= 0 {
		return
	}
	before := f.level
	keep := math.Exp2(-elapsed / s.HalfLife.Seconds())
	f.level = keep*(f.level+f.trend*elapsed) + (1-keep)*value
	keepTrend := math.Exp2(-elapsed / s.TrendHalfLife.Seconds())
	f.trend = keepTrend*f.trend + (1-keepTrend)*(f.level-before)/elapsed
	f.at = now
}

// maxGrowth bounds a forecast to so many times the level: a trend does not
// last for ever.
const maxGrowth = 2

// at returns the endpoints needed after the horizon, never less than now: an
// endpoint that is on its way out is not needed sooner.
func (f *forecast) ahead(horizon time.Duration) float64 {
	grown := f.level + f.trend*horizon.Seconds()
	return max(f.level, min(grown, maxGrowth*f.level))
}
