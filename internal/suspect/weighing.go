package suspect

import "cmp"

// weighing is the weight of the evidence against one segment.
type weighing struct {
	verdict Verdict
	// first is the index of the candidate's first crash that counts.
	first   int
	moments int
	// begun counts the moments at which answers to requests with the segment had begun.
	begun int
	// unlikely is the negative logarithm of the chance that requests with the segment
	// were as young as they were at so many crashes of another cause. explains is the
	// share of the crashes of the time that the segment explains.
	unlikely, explains float64
	// rank orders segments with about the same crashes, position those with the same.
	rank     float64
	position int
	// timing is the weight of the ages, known reports whether the segment was answered.
	timing float64
	known  bool
}

// compare orders segments by what speaks against them.
func (w weighing) compare(other weighing) int {
	return cmp.Or(
		cmp.Compare(w.timingRank(), other.timingRank()),
		cmp.Compare(w.rank, other.rank), cmp.Compare(other.verdict.Requests, w.verdict.Requests),
		cmp.Compare(w.position, other.position),
		cmp.Compare(other.verdict.Segment.Hash, w.verdict.Segment.Hash),
	)
}

// timingRank returns the timing weight by which segments are compared.
func (w weighing) timingRank() float64 {
	if w.known {
		return w.timing
	}
	return w.timing + neverAnsweredWeight
}

// isSuspect reports whether requests with the segment are not sent to a second engine after
// a crash.
func (w weighing) isSuspect() bool {
	return w.verdict.Crashes >= suspectCrashes && (w.verdict.Weight >= suspectWeight || w.timing >= suspectWeight)
}

// explainsCrashes reports whether a segment that was never answered explains many crashes of its
// time. The ages must not speak for it, unless answers had begun at few crashes.
func (w weighing) explainsCrashes() bool {
	crashes := float64(w.verdict.Crashes)
	return (w.timing >= 0 || 2*w.begun < w.moments) && w.unlikely >= minUnlikelyEach*crashes &&
		w.verdict.Weight >= max(minWeight, minWeightEach*crashes) && w.explains >= someCrashes
}

// holds reports whether the segment is held back: by the ages of its requests, or, if it was
// never answered, because it explains many crashes of its time.
func (w weighing) holds() bool {
	v := w.verdict
	byTiming := w.timing >= minTimingWeight && w.moments >= minTimingMoments
	switch {
	case v.Common:
		return byTiming && w.moments >= minCommonMoments && v.AnsweredSince == 0
	case w.known:
		return byTiming && v.Crashes >= crashesToHoldKnown
	case v.Crashes >= crashesToHoldKnown:
		return byTiming || w.moments >= minTimingMoments && w.explainsCrashes()
	default:
		return v.AnsweredSince == 0 && (byTiming && v.Crashes >= crashesToHold || w.moments >= crashesToHold && w.explainsCrashes())
	}
}
