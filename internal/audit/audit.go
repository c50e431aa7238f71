// Package audit checks the promises of acacialink after a run against what the
// stand-ins for the platform, callers and operators recorded, and against
// nothing else. Each promise has one checker.
package audit

import "time"

// Promise names one of the promises that always hold.
type Promise string

// The promises, one checker each.
const (
	ConflictingOrders Promise = "an engine never receives conflicting orders"
	PlannedChanges    Promise = "no request is cut by a planned change"
	LostAuthority     Promise = "orders from a process that has lost its authority have no effect"
	Keys              Promise = "a request runs only with a valid key, which no endpoint sees"
	ProviderOrders    Promise = "the platform never receives orders from two processes in charge"
	UsageReports      Promise = "no usage window is reported with different figures or by two processes"
	Rates             Promise = "no workspace gets more than its rate and burst"
	Answers           Promise = "a caller gets the whole answer to its own request"
	NotRun            Promise = "a refusal that says not-run is true"
	AtMostOnce        Promise = "a payment, permit or deposit runs at most once"
	Leaving           Promise = "a leaving endpoint gets no new work after a few seconds"
	PlannedStops      Promise = "a planned stop cuts no request"
	Configuration     Promise = "an accepted configuration is in force everywhere and never reverts"
)

// Bounds are the times that the promises speak of as seconds.
type Bounds struct {
	// RevokeWithin is how long a revoked key may still work.
	RevokeWithin time.Duration
	// LeaveWithin is how long a leaving endpoint may still get new work.
	LeaveWithin time.Duration
	// ForceWithin is how long an accepted change may take to be in force.
	ForceWithin time.Duration
	// RateSlack is how much time may lie between a request's admission and
	// its arrival at an engine.
	RateSlack time.Duration
}

// DefaultBounds are those of today's sizes.
func DefaultBounds() Bounds {
	return Bounds{
		RevokeWithin: 5 * time.Second,
		LeaveWithin:  5 * time.Second,
		ForceWithin:  3 * time.Second,
		RateSlack:    5 * time.Second,
	}
}

// Result is the outcome of one checker.
type Result struct {
	Promise Promise `json:"promise"`
	// Examined counts what the checker looked at; a promise that nothing in
	// the record speaks of has none, and is not shown to hold.
	Examined int `json:"examined"`
	// Findings say where the promise was broken.
	Findings []string `json:"findings,omitempty"`
}

// checker looks at a record through a report.
type checker struct {
	promise Promise
	check   func(*report, *Record, Bounds)
}

var checkers = []checker{
	{ConflictingOrders, checkConflictingOrders},
	{PlannedChanges, checkPlannedChanges},
	{LostAuthority, checkLostAuthority},
	{Keys, checkKeys},
	{ProviderOrders, checkProviderOrders},
	{UsageReports, checkUsageReports},
	{Rates, checkRates},
	{Answers, checkAnswers},
	{NotRun, checkNotRun},
	{AtMostOnce, checkAtMostOnce},
	{Leaving, checkLeaving},
	{PlannedStops, checkPlannedStops},
	{Configuration, checkConfiguration},
}

// Check runs all checkers.
func Check(r *Record, b Bounds) []Result {
	results := make([]Result, 0, len(checkers))
	for _, c := range checkers {
		var rep report
		c.check(&rep, r, b)
		results = append(results, Result{Promise: c.promise, Examined: rep.examined, Findings: rep.findings})
	}
	return results
}

// Broken returns the results with findings.
func Broken(results []Result) []Result {
	var broken []Result
	for _, r := range results {
		if len(r.Findings) > 0 {
			broken = append(broken, r)
		}
	}
	return broken
}
