package pool

import (
	"math"
	"time"
)

// Demand is the arrival rate of work over all domains, in tokens per second.
type Demand struct {
	Prefill, Decode float64
}

// endpointsNeeded returns the number of endpoints that the demand fills at full
// utilisation.
func (d Demand) endpointsNeeded(l Limits) float64 {
	return ratio(d.Prefill, l.PrefillTokens) + ratio(d.Decode, l.DecodeTokens)
}

// ratio returns demand/capacity, or 0 if the capacity is not set.
func ratio(demand, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return demand / capacity
}

// forecast predicts the number of endpoints needed by double exponential
// smoothing (Holt 1957). The level is in endpoints and the trend in endpoints
// per second.
type forecast struct {
	level, trend float64
	observedAt   time.Time
}

// observe updates the forecast with a measurement, in endpoints.
func (f *forecast) observe(now time.Time, s Settings, value float64) {
	if f.observedAt.IsZero() {
		f.level = value
		f.observedAt = now
		return
	}
	elapsed := now.Sub(f.observedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	previous := f.level
	levelDecay := math.Exp2(-elapsed / s.HalfLife.Seconds())
	f.level = levelDecay*(f.level+f.trend*elapsed) + (1-levelDecay)*value
	trendDecay := math.Exp2(-elapsed / s.TrendHalfLife.Seconds())
	f.trend = trendDecay*f.trend + (1-trendDecay)*(f.level-previous)/elapsed
	f.observedAt = now
}

// maxGrowthFactor bounds a forecast to this multiple of the level, since a trend
// does not last indefinitely.
const maxGrowthFactor = 2

// predict returns the number of endpoints needed after the horizon. It is never
// below the present level, so that capacity is not reduced ahead of a predicted
// decline.
func (f *forecast) predict(horizon time.Duration) float64 {
	extrapolated := f.level + f.trend*horizon.Seconds()
	return max(f.level, min(extrapolated, maxGrowthFactor*f.level))
}
