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
	if s.Within {
		g.Within++
		if s.Good {
			g.Good++
		}
		if s.refused() {
			g.RefusedWithin++
		}
	}
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

// close computes the shares and percentiles.
func (t *tally) close(seconds float64) Group {
	g := t.group
	if g.Within > 0 {
		g.Goodput = float64(g.Good) / float64(g.Within)
		g.RefusedWithinShare = float64(g.RefusedWithin) / float64(g.Within)
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

// worst returns the workspace with the lowest goodput among those that sent
// anything within their rate.
func worst(groups GroupByKey) Worst {
	var w Worst
	for name, g := range groups {
		lower := w.Workspace == "" || g.Goodput < w.Goodput || g.Goodput == w.Goodput && name < w.Workspace
		if g.Within > 0 && lower {
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
