// Package suspect finds the segments of prompts that crash the engines that begin to
// answer them, and holds back the requests that carry one. Hosts report to each other
// which requests were beginning on an engine when it crashed, and which segments have
// been answered; each host reaches its verdicts from what all of them reported.
package suspect

import (
	"time"

	"github.com/acacialink/acacialink/internal/endpoint"
)

// Segment is a prompt segment that requests to one service share.
type Segment struct {
	Service string
	Hash    uint64
}

// Crash is a report of one host on the crash of one incarnation of an engine. All
// reports of the same incarnation describe one crash.
type Crash struct {
	// Origin is the incarnation of the host that reports it. Number tells its reports of
	// one crash apart.
	Origin  string
	Number  int
	Engine  endpoint.Key
	Service string
	At      time.Time
	// Requests holds the requests that may have crashed the engine.
	Requests []CrashRequest
}

// CrashRequest is a request that an engine had when it crashed, or shortly before.
type CrashRequest struct {
	// Segments holds the segments that it shares.
	Segments []uint64
	// Age is how long before the crash its answer began; 0 if it had not begun.
	Age time.Duration
}

// Survival is a report of one host on answers with a segment whose engines did not crash.
type Survival struct {
	Segment Segment
	// Origin is the incarnation of the host that reports it, Number its number.
	Origin string
	Number int64
	// BegunAt is when the first of the answers began.
	BegunAt time.Time
	// Young and Settled count the answers whose engines had not crashed youngAge and
	// settledAge after they began. Negative numbers take back what was counted before
	// an engine crashed. Without any the report says that the segment was answered.
	Young, Settled int
}

// Order is an operator's decision about a segment. It outranks the evidence.
type Order struct {
	Segment Segment
	// Hold reports whether requests with the segment are held back; false lifts the
	// hold and forgets the evidence from before.
	Hold bool
	At   time.Time
}

// Verdict is what is concluded about a segment.
type Verdict struct {
	Segment Segment
	// Weight is the natural logarithm of how much more likely the evidence is if the
	// segment crashes engines than if it does not.
	Weight float64
	// Timing is the natural logarithm of how much more likely the ages of its requests at
	// the crashes are if it crashes engines than by chance, whatever crashes them.
	Timing float64
	// Crashes counts the crashes that speak against the segment, Requests the requests
	// with it that were on the engines or had been shortly before. Answers counts the
	// answers since the first of them, AnsweredSince those since the last.
	Crashes, Requests, Answers, AnsweredSince int
	// FirstCrash and LastCrash are the times of the first and the last of them.
	FirstCrash, LastCrash time.Time
	// Common reports whether the segment was answered before and nearly all requests on
	// the engines carried it.
	Common bool
	// Ordered reports that an operator holds the segment.
	Ordered bool
}

// Until returns when a request with the segment may be tried again. Each further crash
// doubles the time.
func (v Verdict) Until() time.Time {
	if v.Ordered {
		return v.LastCrash.Add(evidenceTTL)
	}
	hold := minHold << min(max(0, v.Crashes-crashesToHold), holdDoublings)
	if v.Common {
		hold = minCommonHold << min(max(0, v.Crashes-crashesToHoldKnown), holdDoublings)
	}
	return v.LastCrash.Add(min(hold, evidenceTTL))
}

const (
	// crashesToHold is the number of crashes after which requests with a segment that was
	// never answered before are held back.
	crashesToHold = 3
	// crashesToHoldKnown is that for a segment that was answered before or between. The
	// users' rule allows only three more requests after so many.
	crashesToHoldKnown = 5
	// sameMoment is the time within which crashes count as one: engines that share a
	// cause end together.
	sameMoment = 50 * time.Millisecond
	// minHold is how long a segment is held back after the crash that made it suspect.
	minHold = 30 * time.Second
	// minCommonHold is that for a segment that nearly all requests carry, which is more
	// likely to be harmless.
	minCommonHold = 4 * time.Second
	// holdDoublings bounds the doublings of minHold and minCommonHold.
	holdDoublings = 8
	// evidenceTTL is how long evidence counts.
	evidenceTTL = 10 * time.Minute
)
