package replay

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: microseconds up to an hour, three digits.
const (
	maxMicros    = int64(time.Hour / time.Microsecond)
	timingDigits = 3
)

// timelineSlices is how many parts a timeline has.
const timelineSlices = 60

// tally collects a group's samples.
type tally struct {
	group                 Group
	first, between, total *hdrhistogram.Histogram
	// goodTokens and withinTokens are sizes of good requests and of those
	// within the rate.
	goodTokens, withinTokens int64
}

func newTally() *tally {
	return &tally{first: newTimes(), between: newTimes(), total: newTimes()}
}

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, timingDigits) }

// record counts a time in milliseconds.
func record(h *hdrhistogram.Histogram, millis float64) {
	_ = h.RecordValue(min(max(1, int64(millis*1000)), maxMicros)) // Within its bounds.
}

// add counts one sample.
func (t *tally) add(s *Sample) {
	g := &t.group
	g.Sent++
	g.Tokens += s.Tokens
	switch {
	case s.Whole:
		g.Whole++
	case s.broken():
		g.Broken++
	case s.refused():
		g.Refused++
	default:
		g.Failed++
	}
	t.addWithin(s)
	if s.Whole {
		record(t.total, s.Total)
	}
	if s.Tokens > 0 {
		record(t.first, s.First)
	}
	for _, gap := range s.gaps {
		record(t.between, gap)
	}
}

// addWithin counts what concerns the workspace's rate.
func (t *tally) addWithin(s *Sample) {
	if s.Good {
		t.goodTokens += s.Size
	}
	if !s.Within {
		return
	}
	t.group.Within++
	t.withinTokens += s.Size
	if s.Good {
		t.group.Good++
	}
	if s.refused() && !s.overRate {
		t.group.RefusedWithin++
	}
}

// close computes the shares and percentiles.
func (t *tally) close(seconds float64) Group {
	g := t.group
	if g.Within > 0 {
		g.Goodput = float64(g.Good) / float64(g.Within)
		g.RefusedWithinShare = float64(g.RefusedWithin) / float64(g.Within)
	}
	if t.withinTokens > 0 {
		g.RateServed = min(1, float64(t.goodTokens)/float64(t.withinTokens))
	}
	g.TokensPerSecond = float64(g.Tokens) / seconds
	g.First, g.Between, g.Total = percentiles(t.first), percentiles(t.between), percentiles(t.total)
	return g
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// tallies are groups by name.
type tallies map[string]*tally

func (t tallies) add(name string, s *Sample) {
	if t[name] == nil {
		t[name] = newTally()
	}
	t[name].add(s)
}

func (t tallies) close(seconds float64) GroupByKey {
	groups := make(GroupByKey, len(t))
	for name, one := range t {
		g := one.close(seconds)
		groups[name] = &g
	}
	return groups
}

// summarize computes the result of a replay.
func summarize(t *Trace, o Options, samples []Sample, start time.Time, took time.Duration) *Result {
	over := markOverRate(samples)
	chats, calls, lag := newTally(), newTally(), newTimes()
	classes, workspaces, routes := tallies{}, tallies{}, tallies{}
	failures := make(map[string]int)
	for i := range samples {
		s := &samples[i]
		record(lag, s.Lag)
		if !s.Whole {
			failures[cmp.Or(s.Code, "unnamed")]++
		}
		if !s.chat() {
			calls.add(s)
			routes.add(routeName(s.Route), s)
			continue
		}
		chats.add(s)
		classes.add(s.Class, s)
		workspaces.add(s.Workspace, s)
	}
	seconds := took.Seconds()
	result := &Result{
		Trace: t.Name, Seed: t.Seed, Scale: o.Scale, Started: start.UTC(), Seconds: seconds,
		Targets: TargetsMS{ms(o.Targets.FirstToken), ms(o.Targets.BetweenTokens), ms(o.Targets.BatchFirstToken), ms(o.Targets.Call)},
		Chats:   chats.close(seconds), Calls: calls.close(seconds),
		Classes: classes.close(seconds), Workspaces: workspaces.close(seconds), Routes: routes.close(seconds),
		Failures: failures, Lag: percentiles(lag),
		Timeline: timeline(samples, scaled(t.Duration(), o.Scale)),
	}
	for name := range over {
		if g := result.Workspaces[name]; g != nil {
			g.OverRate = true
		}
	}
	result.Worst = worst(result.Workspaces)
	return result
}

// routeName returns a route without the number at its end.
func routeName(route string) string {
	end := len(route)
	for end > 0 && (route[end-1] >= '0' && route[end-1] <= '9') {
		end--
	}
	if end < len(route) && end > 0 && route[end-1] == '/' {
		return route[:end-1]
	}
	return route
}

// overRateShare is the share of requests past the rate from which a workspace
// counts as one that sends more than its rate.
const overRateShare = 0.01

// markOverRate finds the workspaces that sent more than their rate and marks
// their samples.
func markOverRate(samples []Sample) map[string]bool {
	sent, past := make(map[string]int), make(map[string]int)
	for i := range samples {
		sent[samples[i].Workspace]++
		if !samples[i].Within {
			past[samples[i].Workspace]++
		}
	}
	over := make(map[string]bool)
	for name, n := range past {
		if float64(n) > overRateShare*float64(sent[name]) {
			over[name] = true
		}
	}
	for i := range samples {
		samples[i].overRate = over[samples[i].Workspace]
	}
	return over
}

// worst returns the workspace with the lowest goodput among those that sent
// anything and kept their rate.
func worst(groups GroupByKey) Worst {
	var w Worst
	for name, g := range groups {
		lower := w.Workspace == "" || g.Goodput < w.Goodput || g.Goodput == w.Goodput && name < w.Workspace
		if g.Within > 0 && !g.OverRate && lower {
			w = Worst{Workspace: name, Goodput: g.Goodput}
		}
	}
	return w
}

// timeline cuts the replay into slices of equal length.
func timeline(samples []Sample, length time.Duration) []Slice {
	width := max(1, ms(length)/timelineSlices)
	tallies := make([]*tally, timelineSlices)
	for i := range tallies {
		tallies[i] = newTally()
	}
	for i := range samples {
		if s := &samples[i]; s.chat() && s.Class != classBatch {
			tallies[min(int(s.At/width), timelineSlices-1)].add(s)
		}
	}
	list := make([]Slice, 0, timelineSlices)
	for i, t := range tallies {
		g := t.close(width / 1000)
		list = append(list, Slice{
			At: float64(i) * width / 1000, Sent: g.Sent, Refused: g.Refused,
			Goodput: g.Goodput, FirstP95: g.First.P95, Tokens: g.Tokens,
		})
	}
	return list
}
