package suspect

import (
	"math"
	"slices"
	"time"
)

// moment is a time within which engines of a service crashed together.
type moment struct {
	last time.Time
	// engines counts the crashes with the segment, allEngines all.
	engines, allEngines int
	// requests counts the requests with the segment, allRequests all of the engines with
	// it.
	requests, allRequests int
	// crashes holds the crashes with the segment.
	crashes []candidateCrash
}

// moments returns the moments of the unexplained crashes of the candidate's service from
// priorTime before its crash number first until seriesTime after its last one. Its own
// crashes before the first count like those without it.
func (e evidence) moments(c *candidate, first int, explained []bool) []moment {
	moments := (*e.buffer)[:0]
	var start time.Time
	next := first
	from := e.crashes[c.crashes[first].index].At.Add(-priorTime)
	until := e.crashes[c.crashes[len(c.crashes)-1].index].At.Add(seriesTime)
	for i, crash := range e.crashes {
		if crash.At.Before(from) || crash.At.After(until) {
			continue
		}
		own := next < len(c.crashes) && c.crashes[next].index == i
		if own {
			next++
		}
		if explained[i] || crash.Service != c.segment.Service {
			continue
		}
		if len(moments) == 0 || crash.At.Sub(start) > sameMoment {
			start = crash.At
			moments = append(moments, moment{})
		}
		m := &moments[len(moments)-1]
		m.allEngines++
		m.last = crash.At
		if own {
			m.engines++
			m.requests += len(c.crashes[next-1].ages)
			m.allRequests += len(crash.Requests)
			if m.crashes == nil {
				m.crashes = c.crashes[next-1 : next : next]
			} else {
				m.crashes = append(m.crashes, c.crashes[next-1])
			}
		}
	}
	*e.buffer = moments
	return moments
}

// weight returns the logarithm of how much more likely the moment is if a request with the
// segment crashes its engine with probability q than if engines crash at the rate, in
// crashes a second. chance is the probability that an engine has such a request.
func (m *moment) weight(q, rate, chance float64) float64 {
	density := 0.0
	for _, c := range m.crashes {
		density = max(density, c.density(q))
	}
	further := min(maxMomentWeight, -math.Log(max(chance, math.SmallestNonzeroFloat64)))
	return max(minMomentWeight, math.Log(density/rate)) + float64(m.engines-1)*max(0, further)
}

// hasBegun reports whether the answer to a request with the segment had begun.
func (m *moment) hasBegun() bool {
	return slices.ContainsFunc(m.crashes, func(c candidateCrash) bool { return slices.Max(c.ages) > 0 })
}

// logChance returns the logarithm of the chance that the engines that crash at the moment
// have a request with the segment as young as the youngest.
func (m *moment) logChance() float64 {
	sum := 0.0
	for i, c := range m.crashes {
		uptime := max(c.oldest, minUptime)
		chance := -math.Expm1(-float64(len(c.ages)) * float64(max(slices.Min(c.ages), time.Millisecond)) / float64(uptime))
		if i > 0 {
			chance = max(chance, math.Exp(-maxMomentWeight))
		}
		sum += math.Log(chance)
	}
	return sum
}
