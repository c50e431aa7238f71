package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// evidence is what the verdicts follow from.
type evidence struct {
	// crashes holds one entry for each incarnation, in the order of their times.
	crashes []Crash
	// answered returns when the last answered request with the segment began; false if
	// none is known.
	answered func(Segment) (time.Time, bool)
	// others returns the number of requests to the service that were answered since a
	// time.
	others func(service string, since time.Time) int
}

// mergeReports merges the reports of one crash into one.
func mergeReports(reports []Crash) []Crash {
	byEngine := make(map[endpoint.Key]int, len(reports))
	var merged []Crash
	for _, r := range reports {
		i, ok := byEngine[r.Engine]
		if !ok {
			byEngine[r.Engine] = len(merged)
			merged = append(merged, Crash{Engine: r.Engine, Service: r.Service, At: r.At, Requests: slices.Clone(r.Requests)})
			continue
		}
		merged[i].Requests = append(merged[i].Requests, r.Requests...)
		if r.At.Before(merged[i].At) {
			merged[i].At = r.At
		}
	}
	slices.SortStableFunc(merged, func(a, b Crash) int { return a.At.Compare(b.At) })
	return merged
}

// candidate is a segment with the crashes that it may have caused.
type candidate struct {
	segment Segment
	// crashes holds the indexes of the crashes since the segment was last answered, in
	// order.
	crashes  []int
	requests int
	known    bool
}

// judge returns the segments that explain the crashes: each one explains those in which
// it was, and the next one has to explain the rest. Of several segments that explain the
// same crashes, it takes the one that fewest requests carry.
func judge(e evidence) map[Segment]Verdict {
	candidates := e.candidates()
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(
			compareBool(a.known, b.known), cmp.Compare(e.moments(b.crashes), e.moments(a.crashes)),
			cmp.Compare(a.requests, b.requests), cmp.Compare(a.segment.Hash, b.segment.Hash),
		)
	})
	explained := make(map[int]bool)
	var verdicts map[Segment]Verdict
	for _, c := range candidates {
		if !e.suffices(c, explained) {
			continue
		}
		for _, i := range c.crashes {
			explained[i] = true
		}
		if verdicts == nil {
			verdicts = make(map[Segment]Verdict)
		}
		verdicts[c.segment] = Verdict{
			Segment: c.segment, Crashes: len(c.crashes), Requests: c.requests,
			FirstCrash: e.crashes[c.crashes[0]].At, LastCrash: e.crashes[c.crashes[len(c.crashes)-1]].At,
		}
	}
	return verdicts
}

// suffices reports whether the crashes of the candidate that nothing else explains
// suffice to hold it: enough of them, and not too few of all that nothing explains in
// that time. A request meets by chance a few of many crashes.
func (e evidence) suffices(c *candidate, explained map[int]bool) bool {
	if c.requests > maxRequestsPerCrash*len(c.crashes) {
		return false
	}
	rest := slices.DeleteFunc(slices.Clone(c.crashes), func(i int) bool { return explained[i] })
	required := crashesToHold
	if c.known {
		required = crashesToHoldKnown
	}
	count := e.moments(rest)
	if count < required || c.known && e.others(c.segment.Service, e.crashes[rest[0]].At) < otherAnswers {
		return false
	}
	var all []int
	for i := rest[0]; i <= rest[len(rest)-1]; i++ {
		if !explained[i] && e.crashes[i].Service == c.segment.Service {
			all = append(all, i)
		}
	}
	return count*maxCrashesPerExplained >= e.moments(all)
}

// candidates returns the segments that were in a crash since they were last answered.
func (e evidence) candidates() []*candidate {
	bySegment := make(map[Segment]*candidate)
	var all []*candidate
	for i, crash := range e.crashes {
		for _, request := range crash.Requests {
			for _, hash := range request {
				segment := Segment{crash.Service, hash}
				answered, known := e.answered(segment)
				if known && !crash.At.After(answered) {
					continue
				}
				c := bySegment[segment]
				if c == nil {
					c = &candidate{segment: segment, known: known}
					bySegment[segment] = c
					all = append(all, c)
				}
				c.requests++
				if len(c.crashes) == 0 || c.crashes[len(c.crashes)-1] != i {
					c.crashes = append(c.crashes, i)
				}
			}
		}
	}
	return all
}

// moments counts the crashes, those within sameMoment of another as one.
func (e evidence) moments(crashes []int) int {
	count := 0
	var last time.Time
	for _, i := range crashes {
		if at := e.crashes[i].At; count == 0 || at.Sub(last) > sameMoment {
			count, last = count+1, at
		}
	}
	return count
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
