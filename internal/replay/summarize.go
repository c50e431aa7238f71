package replay

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds up to one hour with three significant digits.
const (
	maxHistogramMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
)

// timelineSliceCount is the number of slices in a timeline.
const timelineSliceCount = 60

// groupStats accumulates the samples of a group.
type groupStats struct {
	group                            Group
	firstToken, betweenTokens, total *hdrhistogram.Histogram
	// goodTokens is the total size of good requests, in tokens. withinTokens is
	// the total size of requests within the rate.
	goodTokens, withinTokens int64
}

func newGroupStats() *groupStats {
	return &groupStats{firstToken: newHistogram(), betweenTokens: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHistogramMicros, histogramDigits)
}

// recordMillis adds a duration in milliseconds to the histogram.
func recordMillis(h *hdrhistogram.Histogram, millis float64) {
	_ = h.RecordValue(min(max(1, int64(millis*1000)), maxHistogramMicros)) // Cannot fail: the value is clamped to the bounds.
}

// add accumulates one sample.
func (stats *groupStats) add(s *Sample) {
	g := &stats.group
	g.Sent++
	g.Tokens += s.Tokens
	switch {
	case s.Complete:
		g.Complete++
	case s.isBroken():
		g.Broken++
	case s.isRefused():
		g.Refused++
	default:
		g.Failed++
	}
	stats.addRateCounts(s)
	if s.Complete {
		recordMillis(stats.total, s.Total)
	}
	if s.Tokens > 0 {
		recordMillis(stats.firstToken, s.FirstToken)
	}
	for _, gap := range s.tokenGaps {
		recordMillis(stats.betweenTokens, gap)
	}
}

// addRateCounts updates the counters that depend on the workspace's rate.
func (stats *groupStats) addRateCounts(s *Sample) {
	if s.Good {
		stats.goodTokens += s.TotalTokens
	}
	if !s.WithinRate {
		return
	}
	stats.group.WithinRate++
	stats.withinTokens += s.TotalTokens
	if s.Good {
		stats.group.Good++
	}
	if s.isRefused() && !s.overRate {
		stats.group.RefusedWithin++
	}
}

// close returns the group with its shares and percentiles. seconds is the
// duration over which the samples were collected.
func (stats *groupStats) close(seconds float64) Group {
	g := stats.group
	if g.WithinRate > 0 {
		g.Goodput = float64(g.Good) / float64(g.WithinRate)
		g.RefusedWithinShare = float64(g.RefusedWithin) / float64(g.WithinRate)
	}
	if stats.withinTokens > 0 {
		g.RateServed = min(1, float64(stats.goodTokens)/float64(stats.withinTokens))
	}
	g.TokensPerSecond = float64(g.Tokens) / seconds
	g.FirstToken, g.BetweenTokens, g.Total = percentiles(stats.firstToken), percentiles(stats.betweenTokens), percentiles(stats.total)
	return g
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// groupStatsByKey are accumulators by workspace, class or route.
type groupStatsByKey map[string]*groupStats

func (m groupStatsByKey) add(name string, s *Sample) {
	if m[name] == nil {
		m[name] = newGroupStats()
	}
	m[name].add(s)
}

func (m groupStatsByKey) close(seconds float64) GroupByKey {
	groups := make(GroupByKey, len(m))
	for name, stats := range m {
		g := stats.close(seconds)
		groups[name] = &g
	}
	return groups
}

// summarize computes the result of a replay that lasted for elapsed.
func summarize(t *Trace, o Options, samples []Sample, start time.Time, elapsed time.Duration) *Result {
	over := markOverRate(samples)
	chats, calls, lag := newGroupStats(), newGroupStats(), newHistogram()
	classes, workspaces, routes := groupStatsByKey{}, groupStatsByKey{}, groupStatsByKey{}
	failures := make(map[string]int)
	for i := range samples {
		s := &samples[i]
		recordMillis(lag, s.Lag)
		if !s.Complete {
			failures[cmp.Or(s.Code, "unnamed")]++
		}
		if !s.isChat() {
			calls.add(s)
			routes.add(routeGroup(s.Route), s)
			continue
		}
		chats.add(s)
		classes.add(s.Class, s)
		workspaces.add(s.Workspace, s)
	}
	seconds := elapsed.Seconds()
	result := &Result{
		Trace: t.Name, Seed: t.Seed, Scale: o.Speed, Started: start.UTC(), Seconds: seconds,
		Targets: TargetsMS{milliseconds(o.Targets.FirstToken), milliseconds(o.Targets.BetweenTokens), milliseconds(o.Targets.BatchFirstToken), milliseconds(o.Targets.Call)},
		Chats:   chats.close(seconds), Calls: calls.close(seconds),
		Classes: classes.close(seconds), Workspaces: workspaces.close(seconds), Routes: routes.close(seconds),
		Failures: failures, ClientLag: percentiles(lag),
		Timeline: timeline(samples, replayTime(t.Duration(), o.Speed)),
	}
	for name := range over {
		if g := result.Workspaces[name]; g != nil {
			g.OverRate = true
		}
	}
	result.Worst = worstWorkspace(result.Workspaces)
	return result
}

// routeGroup returns the key under which calls of a route are grouped: the route
// without a trailing numeric path element.
func routeGroup(route string) string {
	end := len(route)
	for end > 0 && (route[end-1] >= '0' && route[end-1] <= '9') {
		end--
	}
	if end < len(route) && end > 0 && route[end-1] == '/' {
		return route[:end-1]
	}
	return route
}

// overRateThreshold is the share of requests over the rate above which a workspace
// counts as exceeding its rate.
const overRateThreshold = 0.01

// markOverRate returns the workspaces that exceed their rate and sets overRate in
// their samples.
func markOverRate(samples []Sample) map[string]bool {
	sent, exceeded := make(map[string]int), make(map[string]int)
	for i := range samples {
		sent[samples[i].Workspace]++
		if !samples[i].WithinRate {
			exceeded[samples[i].Workspace]++
		}
	}
	over := make(map[string]bool)
	for name, n := range exceeded {
		if float64(n) > overRateThreshold*float64(sent[name]) {
			over[name] = true
		}
	}
	for i := range samples {
		samples[i].overRate = over[samples[i].Workspace]
	}
	return over
}

// worstWorkspace returns the workspace with the lowest goodput among those that
// have requests within their rate and did not exceed it. Ties are broken by name.
func worstWorkspace(groups GroupByKey) WorstWorkspace {
	var w WorstWorkspace
	for name, g := range groups {
		lower := w.Workspace == "" || g.Goodput < w.Goodput || g.Goodput == w.Goodput && name < w.Workspace
		if g.WithinRate > 0 && !g.OverRate && lower {
			w = WorstWorkspace{Workspace: name, Goodput: g.Goodput}
		}
	}
	return w
}

// timeline returns the metrics of non-batch chats in slices of equal length.
func timeline(samples []Sample, length time.Duration) []TimelineSlice {
	width := max(1, milliseconds(length)/timelineSliceCount)
	perSlice := make([]*groupStats, timelineSliceCount)
	for i := range perSlice {
		perSlice[i] = newGroupStats()
	}
	for i := range samples {
		if s := &samples[i]; s.isChat() && s.Class != classBatch {
			perSlice[min(int(s.At/width), timelineSliceCount-1)].add(s)
		}
	}
	list := make([]TimelineSlice, 0, timelineSliceCount)
	for i, stats := range perSlice {
		g := stats.close(width / 1000)
		list = append(list, TimelineSlice{
			At: float64(i) * width / 1000, Sent: g.Sent, Refused: g.Refused,
			Goodput: g.Goodput, FirstP95: g.FirstToken.P95, Tokens: g.Tokens,
		})
	}
	return list
}
