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
	// Requests holds the shared segments of each request that had not been answered
	// for long when the engine crashed.
	Requests [][]uint64
}

// Survival states that an engine answered a request with the segment and did not crash.
type Survival struct {
	Segment Segment
	// BegunAt is when the answer began.
	BegunAt time.Time
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
	// Crashes counts the crashes since the segment was last answered, Requests the
	// requests with it that were beginning then.
	Crashes, Requests int
	// FirstCrash and LastCrash are the times of the first and the last of them.
	FirstCrash, LastCrash time.Time
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
	return v.LastCrash.Add(min(hold, evidenceTTL))
}

const (
	// crashesToHold is the number of crashes, with no answer between them, after which
	// requests with a segment that was never answered are held back.
	crashesToHold = 3
	// crashesToHoldKnown is that for a segment that was answered before.
	crashesToHoldKnown = 5
	// otherAnswers is the number of other requests that must have been answered since
	// the first crash before a segment that was answered before is held back. While
	// nothing is answered, nothing tells it from the others.
	otherAnswers = 10
	// maxRequestsPerCrash bounds the requests with a segment in one crash, on average.
	// A segment that more of them carry is popular rather than deadly.
	maxRequestsPerCrash = 3
	// maxCrashesPerExplained bounds the crashes in a time for each one that a segment
	// explains.
	maxCrashesPerExplained = 3
	// sameMoment is the time within which crashes count as one: engines that share a
	// cause end together.
	sameMoment = 50 * time.Millisecond
	// beginning is how long after its first event a request may still be the cause of
	// a crash.
	beginning = time.Second
	// minHold is how long a segment is held back after the crash that made it suspect.
	minHold = 30 * time.Second
	// holdDoublings bounds the doublings of minHold.
	holdDoublings = 8
	// evidenceTTL is how long evidence counts.
	evidenceTTL = 10 * time.Minute
)
