package suspect

import (
	"math"
	"time"
)

const (
	// minCulprits is the least number of crashes with a request in a window for which the
	// window is considered.
	minCulprits = 3
	// minTimingWeight is the timing weight with which a segment is held back. Where it
	// says nothing, the chance of it is 1 in e^8.
	minTimingWeight = 8.0
	// neverAnsweredWeight is what a segment that was never answered has in advance when
	// segments are compared.
	neverAnsweredWeight = 6.0
	// noTiming is the timing weight of a segment of whose requests the ages say nothing.
	noTiming = -100.0
)

// commonWindows returns the windows that contain the age of a request at minCulprits crashes
// or more.
func commonWindows(series []timedCrash, starts []seriesStart) []*ageWindow {
	counts, last := make([]int, len(ageWindows)), make([]int, len(ageWindows))
	var common []*ageWindow
	for n, s := range starts {
		crash := &series[s.series]
		if crash.other {
			continue
		}
		count := func(i int) {
			if last[i] == n+1 {
				return
			}
			last[i] = n + 1
			if counts[i]++; counts[i] == minCulprits {
				common = append(common, &ageWindows[i])
			}
		}
		if crash.waiting > 0 {
			count(0)
		}
		for _, age := range crash.ages {
			windowsOf(age, count)
		}
	}
	return common
}

// causeKinds are the kinds of causes that are compared with chance: requests with the
// segment crash their engine with a probability, and cause a share of the crashes.
var causeKinds = [...]struct{ probability, share float64 }{{0.98, 0.97}, {0.98, 0.6}, {0.98, 0.2}, {0.5, 0.97}, {0.5, 0.6}, {0.5, 0.2}}

// timedCrash is a crash of the candidate's service with what chance depends on.
type timedCrash struct {
	at time.Time
	// ages holds those of the requests with the segment whose answers had begun.
	ages []time.Duration
	// waiting counts the requests with the segment whose answers had not begun,
	// allWaiting all such.
	waiting, allWaiting int
	// observed is how long requests on the engine were remembered, begun the number of
	// those whose answers had begun.
	observed time.Duration
	begun    int
	// other reports whether the crash has another cause.
	other bool
}

// ratio returns how much more likely the ages of the requests with the segment are if one of
// them caused the crash, each with probability q, than if they are by chance the share of the
// requests on the engine.
func (c *timedCrash) ratio(w *ageWindow, q, share float64) float64 {
	rate := share * float64(max(1, c.begun)) / max(c.observed, minUptime).Seconds()
	survived := 1.0
	for _, age := range c.ages {
		survived *= 1 - q*w.passed(age)
	}
	mid := 0.0
	caused := 0.0
	if w.waiting {
		if c.waiting == 0 {
			return 0
		}
		caused = float64(c.waiting) / (share * float64(c.allWaiting)) * survived
	} else {
		mid = (w.from + w.to).Seconds() / 2
		hits := 0
		for _, age := range c.ages {
			if w.contains(age) {
				caused += survived / (1 - q*w.passed(age))
				hits++
			}
		}
		caused *= w.density() / rate / float64(max(1, hits))
	}
	return caused * math.Exp(rate*q*max(0, c.observed.Seconds()-mid))
}

// timing returns, for each index into candidate.crashes, the logarithm of how much more
// likely the ages of the requests with the segment at the crashes from that one on are if
// they cause crashes than if the engines crash of other causes, at whatever rate.
func (e evidence) timing(c *candidate, explained []bool, answers []Survival) []float64 {
	series, starts, share := e.series(c, explained)
	weights := make([]float64, len(c.crashes))
	for i := range weights {
		weights[i] = math.Inf(-1)
	}
	if len(starts) < minCulprits {
		return weights
	}
	young, settled := e.answersSince(c, answers)
	ratios := make([]float64, len(series))
	for _, w := range commonWindows(series, starts) {
		q := 0.0
		for _, kind := range causeKinds {
			if kind.probability != q {
				q = kind.probability
				for j := range series {
					ratios[j] = 0
					if !series[j].other {
						ratios[j] = series[j].ratio(w, q, share)
					}
				}
			}
			sum, next := w.prior-math.Log(float64(len(causeKinds))), len(starts)-1
			byYoung, bySettled := math.Log(1-q*w.passed(youngAge)), math.Log((1-q*w.passed(settledAge))/(1-q*w.passed(youngAge)))
			for j := len(series) - 1; j >= 0 && next >= 0; j-- {
				sum += math.Log(1 - kind.share + kind.share*ratios[j])
				if starts[next].series == j {
					n := starts[next].crash
					weights[n] = logSum(weights[n], sum+float64(young[n])*byYoung+float64(settled[n])*bySettled)
					next--
				}
			}
		}
	}
	return weights
}

// seriesStart names a crash of a candidate in the series.
type seriesStart struct{ series, crash int }

// series returns the unexplained crashes of the candidate's service from its first one that
// counts to its last one, the places of its own, and the share of requests with the segment.
func (e evidence) series(c *candidate, explained []bool) (series []timedCrash, starts []seriesStart, share float64) {
	counted := c.crashes[max(0, len(c.crashes)-maxCounted):]
	offset := len(c.crashes) - len(counted)
	from, until := e.crashes[counted[0].index].At, e.crashes[counted[len(counted)-1].index].At
	next := 0
	requests, allRequests := 0.5, 1.0
	for i, crash := range e.crashes {
		if crash.Service != c.segment.Service || crash.At.Before(from) || crash.At.After(until) {
			continue
		}
		t := timedCrash{}
		for _, r := range crash.Requests {
			t.observed = max(t.observed, min(r.Age, settledAge))
			if r.Age == 0 {
				t.allWaiting++
			} else {
				t.begun++
			}
		}
		own := next < len(counted) && counted[next].index == i
		if own {
			for _, age := range counted[next].ages {
				if age == 0 {
					t.waiting++
				} else {
					t.ages = append(t.ages, age)
				}
			}
			next++
		}
		requests, allRequests = requests+float64(len(t.ages)+t.waiting), allRequests+float64(len(crash.Requests))
		if explained[i] {
			continue
		}
		t.at, t.other = crash.At, !own
		if own {
			starts = append(starts, seriesStart{len(series), offset + next - 1})
		}
		series = append(series, t)
	}
	markMoments(series)
	return series, starts, requests / allRequests
}

// markMoments marks the crashes of engines that ended together with one that had no request
// with the segment: they have a cause in common.
func markMoments(series []timedCrash) {
	for from := 0; from < len(series); {
		to, other := from, false
		for ; to < len(series) && series[to].at.Sub(series[from].at) <= sameMoment; to++ {
			other = other || series[to].other
		}
		for ; from < to; from++ {
			series[from].other = other
		}
	}
}

// answersSince returns, for each crash of the candidate, the answers that began since.
func (e evidence) answersSince(c *candidate, answers []Survival) (young, settled []int) {
	young, settled = make([]int, len(c.crashes)), make([]int, len(c.crashes))
	for i := range c.crashes {
		at := e.crashes[c.crashes[i].index].At
		for _, a := range answers {
			if !a.BegunAt.Before(at) {
				young[i], settled[i] = young[i]+a.Young, settled[i]+a.Settled
			}
		}
		young[i], settled[i] = max(0, young[i]), max(0, settled[i])
	}
	return young, settled
}
