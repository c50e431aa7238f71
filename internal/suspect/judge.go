package suspect

import (
	"slices"
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// evidence is what the verdicts follow from.
type evidence struct {
	// crashes holds one entry for each incarnation, in the order of their times.
	crashes []Crash
	// answers returns the reports on answers with the segment.
	answers func(Segment) []Survival
	// known reports whether the segment has been answered at all.
	known func(Segment) bool
	// buffer is used again for the moments of each candidate.
	buffer *[]moment
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
	// position is the highest position of the segment in a prompt: later ones are shared
	// by fewer requests.
	position int
	// crashes holds the crashes that had the segment, in order.
	crashes []candidateCrash
}

// candidateCrash is one crash of a candidate.
type candidateCrash struct {
	// index is that in evidence.crashes.
	index int
	// ages holds the ages of the requests with the segment, oldest is the highest age of
	// any request.
	ages   []time.Duration
	oldest time.Duration
}

// judge returns the segments that are held back, and those that are suspect in addition.
// The crashes that a segment explains say nothing about the others: that with the highest
// weight goes first, and of several that explain the same crashes the one that fewest
// requests carry.
func judge(e evidence) (held, suspect map[Segment]Verdict) {
	e.buffer = new([]moment)
	held, suspect = make(map[Segment]Verdict), make(map[Segment]Verdict)
	r := review{evidence: e, candidates: e.candidates(), explained: make([]bool, len(e.crashes))}
	r.weigh()
	for r.explain(held, weighing.holds) {
	}
	for range maxSuspects {
		if !r.explain(suspect, weighing.isSuspect) {
			break
		}
	}
	return held, suspect
}

// review is one review of the evidence.
type review struct {
	evidence
	candidates []*candidate
	// explained marks the crashes that segments with a verdict explain.
	explained []bool
	// weighings holds the weight of each candidate; of one with a verdict, that of the crashes
	// that are not explained.
	weighings []weighing
	// concluded holds the segments that have a verdict.
	concluded map[Segment]bool
}

// weigh weighs all candidates.
func (r *review) weigh() {
	r.weighings = r.weighings[:0]
	for _, c := range r.candidates {
		r.weighings = append(r.weighings, r.evidence.weigh(c, r.explained))
	}
}

// explain adds the verdict on the segment that most speaks against of those that suffice, and
// marks the crashes that it explains. It returns false if none suffices.
func (r *review) explain(verdicts map[Segment]Verdict, suffices func(weighing) bool) bool {
	best := -1
	for i, w := range r.weighings {
		if w.isSuspect() && suffices(w) && !r.concluded[w.verdict.Segment] && (best < 0 || w.compare(r.weighings[best]) > 0) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	c, w := r.candidates[best], r.weighings[best]
	verdicts[c.segment] = w.verdict
	if r.concluded == nil {
		r.concluded = make(map[Segment]bool)
	}
	r.concluded[c.segment] = true
	for _, crash := range c.crashes[w.first:] {
		r.explained[crash.index] = true
	}
	r.weigh()
	return true
}

// maxSuspects bounds the segments that are suspect and not held back.
const maxSuspects = 3

// candidates returns the segments that were in enough crashes to be suspect.
func (e evidence) candidates() []*candidate {
	bySegment := make(map[Segment]*candidate)
	var all []*candidate
	for i, crash := range e.crashes {
		oldest := time.Duration(0)
		for _, request := range crash.Requests {
			oldest = max(oldest, request.Age)
		}
		for _, request := range crash.Requests {
			for position, hash := range request.Segments {
				segment := Segment{crash.Service, hash}
				c := bySegment[segment]
				if c == nil {
					c = &candidate{segment: segment}
					bySegment[segment] = c
					all = append(all, c)
				}
				if n := len(c.crashes); n == 0 || c.crashes[n-1].index != i {
					c.crashes = append(c.crashes, candidateCrash{index: i, oldest: oldest})
				}
				c.position = max(c.position, position)
				last := &c.crashes[len(c.crashes)-1]
				last.ages = append(last.ages, request.Age)
			}
		}
	}
	return slices.DeleteFunc(all, func(c *candidate) bool { return len(c.crashes) < suspectCrashes })
}
