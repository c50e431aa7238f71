package suspect

import (
	"math"
	"time"
)

// crashKinds are the kinds of segments whose likelihood is compared with that of engines that
// crash at the rate of those without the segment: it crashes nearly each engine, or every
// second one.
var crashKinds = [...]struct {
	// probability is that of a crash, prior the logarithm of that of the kind.
	probability, prior float64
}{{0.98, -0.7}, {0.5, -0.7}}

const (
	// The age of a request at the crash that it causes is taken to be distributed evenly
	// up to youngAge, and from there to settledAge evenly on a logarithmic scale.
	// earlyShare is the share of the former.
	earlyShare = 0.303 // 1 / (1 + log(settledAge / youngAge))
	// maxCounted bounds the crashes of one segment that are weighed, the latest ones.
	maxCounted = 16
	// priorCrashes is the number of crashes of other causes that is added to those seen
	// from priorTime before the first crash that counts.
	priorCrashes = 0.5
	priorTime    = time.Minute
	// minMomentWeight is the least weight of a moment: a crash may have another cause.
	minMomentWeight = -0.7
	// maxMomentWeight bounds what each further engine that crashed at the same moment
	// adds to the weight.
	maxMomentWeight = 1.5
	// A segment that was never answered is held back with minWeight if it explains
	// someCrashes of those from seriesTime before its first one to as long after its last
	// one, each with minWeightEach and minUnlikelyEach on average.
	minWeight       = 8.0
	minWeightEach   = 2.0
	someCrashes     = 0.3
	seriesTime      = 10 * time.Second
	minUnlikelyEach = 0.7
	// minTimingMoments is the least number of moments of the crashes of a segment that is
	// held back by the ages of its requests.
	minTimingMoments = 2
	// minUptime is the least time for which a crashed engine is taken to have run.
	minUptime = 500 * time.Millisecond
	// minCommonMoments applies to a segment that was answered and that nearly all requests
	// on the crashed engines carried: while all engines crash, nothing tells such a
	// segment from the engines.
	minCommonMoments = 5
	commonShare      = 0.9
	// popularityCost is what a segment that more requests on the crashed engines carry
	// stands back behind another, for each crash and factor of e.
	popularityCost = 0.5
	// suspectCrashes and suspectWeight are those with which requests are not sent to a
	// second engine after a crash.
	suspectCrashes = 2
	suspectWeight  = 5.0
)

// weigh weighs the crashes of a candidate that nothing else explains against the answers
// since the first of them. A segment may have turned deadly at any of its crashes: those
// from the one on that weighs most against it count.
func (e evidence) weigh(c *candidate, explained []bool) weighing {
	answers := e.answers(c.segment)
	timing := e.timing(c, explained, answers)
	known := e.known(c.segment)
	begin, end := max(0, len(c.crashes)-maxCounted), len(c.crashes)
	if n := latestMax(timing[begin:]); known && timing[begin+n] >= suspectWeight {
		begin, end = begin+n, begin+n+1
	}
	var best weighing
	for first := end - 1; first >= begin; first-- {
		if explained[c.crashes[first].index] {
			continue
		}
		w := e.weighFrom(c, first, explained, answers)
		w.timing, w.known = max(noTiming, timing[first]), known
		w.verdict.Timing = w.timing
		if best.verdict.Crashes == 0 || max(w.timing, w.verdict.Weight) >= max(best.timing, best.verdict.Weight) {
			best = w
		}
	}
	return best
}

// latestMax returns the index of the highest number, the last one of equal ones.
func latestMax(numbers []float64) int {
	best := len(numbers) - 1
	for i := best; i >= 0; i-- {
		if numbers[i] > numbers[best] {
			best = i
		}
	}
	return best
}

// weighFrom is weigh for the crashes of the candidate from the first on.
func (e evidence) weighFrom(c *candidate, first int, explained []bool, answers []Survival) weighing {
	v := Verdict{Segment: c.segment, FirstCrash: e.crashes[c.crashes[first].index].At}
	moments := e.moments(c, first, explained)
	allRequests, others, recent := 0, 0, 0
	for _, m := range moments {
		if !m.last.Before(v.FirstCrash.Add(-seriesTime)) {
			recent++
		}
		if m.engines == 0 {
			if !m.last.After(e.crashes[c.crashes[len(c.crashes)-1].index].At) {
				others++
			}
			continue
		}
		v.Crashes += m.engines
		v.Requests += m.requests
		v.LastCrash = m.last
		allRequests += m.allRequests
	}
	window := (priorTime + v.LastCrash.Sub(v.FirstCrash)).Seconds()
	share := float64(v.Requests) / float64(max(1, allRequests))
	chance := 1 - math.Pow(1-share, float64(allRequests)/float64(max(1, v.Crashes)))
	young, settled := 0, 0
	for _, a := range answers {
		if a.BegunAt.Before(v.FirstCrash) {
			continue
		}
		young, settled = young+a.Young, settled+a.Settled
		if a.BegunAt.After(v.LastCrash) {
			v.AnsweredSince += a.Young
		}
	}
	v.Answers = young
	count, begun := 0, 0
	weight := math.Inf(-1)
	for _, kind := range crashKinds {
		q, sum, seen := kind.probability, kind.prior, priorCrashes+float64(others)
		for _, m := range moments {
			if m.engines == 0 || m.engines < m.allEngines {
				continue // engines that end together without the segment have another cause
			}
			sum += m.weight(q, seen/window, chance)
			seen++
		}
		sum += float64(max(0, young))*math.Log(1-q*crashedBy(youngAge)) + float64(max(0, settled))*math.Log((1-q)/(1-q*crashedBy(youngAge)))
		weight = logSum(weight, sum)
	}
	unlikely := float64(max(0, settled))*math.Log(0.5) + float64(max(0, young))*math.Log(1-0.5*crashedBy(youngAge))
	for _, m := range moments {
		if m.engines > 0 && m.engines == m.allEngines {
			count++
			unlikely -= m.logChance()
			if m.hasBegun() {
				begun++
			}
		}
	}
	v.Weight, v.Common = weight, share >= commonShare && e.known(c.segment)
	return weighing{
		verdict: v, first: first, position: c.position, moments: count, begun: begun, unlikely: unlikely, explains: float64(count) / float64(max(1, recent)),
		rank: weight - popularityCost*float64(v.Crashes)*math.Log(max(1, float64(v.Requests)/float64(max(1, v.Crashes)))),
	}
}

// density returns the probability density, per second, of the crash at its time: one of
// the requests, each as likely, caused it, and the others had not by then.
func (c *candidateCrash) density(q float64) float64 {
	none := 1.0
	for _, age := range c.ages {
		none *= 1 - q*crashedBy(age)
	}
	sum := 0.0
	for _, age := range c.ages {
		sum += q * earlyShare / max(age, youngAge).Seconds() * none / (1 - q*crashedBy(age))
	}
	return sum / float64(len(c.ages))
}

// crashedBy returns the share of the crashes that a segment causes that come within the
// age.
func crashedBy(age time.Duration) float64 {
	if age < youngAge {
		return earlyShare * float64(age) / float64(youngAge)
	}
	return min(1, earlyShare*(1+math.Log(float64(age)/float64(youngAge))))
}

// logSum returns the logarithm of the sum of two numbers given by their logarithms.
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	return a + math.Log1p(math.Exp(b-a))
}
