// Package audit checks the guarantees of acacialink after a test run. It relies
// only on the records of the stand-ins for the platform, callers and operators.
// Each guarantee has one checker.
package audit

import "time"

// Promise names a guarantee that must hold in every run.
type Promise string

// The guarantees, each with one checker.
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

// Bounds holds the time limits that the checkers apply.
type Bounds struct {
	// RevokeWithin is how long after its revocation a key may still be accepted.
	RevokeWithin time.Duration
	// LeaveWithin is how long a leaving endpoint may still receive new work.
	LeaveWithin time.Duration
	// ForceWithin is how long after its acceptance a change may take to be in
	// force.
	ForceWithin time.Duration
	// RateSlack is the maximum time between the admission of a request and its
	// arrival at an engine.
	RateSlack time.Duration
}

// DefaultBounds returns the limits for current deployment sizes.
func DefaultBounds() Bounds {
	return Bounds{
		RevokeWithin: 5 * time.Second,
		LeaveWithin:  5 * time.Second,
		ForceWithin:  3 * time.Second,
		RateSlack:    5 * time.Second,
	}
}

// Result is the result of one checker.
type Result struct {
	Promise Promise `json:"promise"`
	// Examined is the number of items that the checker examined. If it is zero,
	// the record contains no evidence and the guarantee was not tested.
	Examined int `json:"examined"`
	// Findings describes the violations, at most 20.
	Findings []string `json:"findings,omitempty"`
}

// checker pairs a guarantee with the function that checks a record for
// violations and adds them to a report.
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

// Check runs all checkers on r and returns one result per guarantee, in a fixed
// order.
func Check(r *Record, b Bounds) []Result {
	results := make([]Result, 0, len(checkers))
	for _, c := range checkers {
		var rep report
		c.check(&rep, r, b)
		results = append(results, Result{Promise: c.promise, Examined: rep.examined, Findings: rep.findings})
	}
	return results
}

// Broken returns the results that have findings.
func Broken(results []Result) []Result {
	var broken []Result
	for _, r := range results {
		if len(r.Findings) > 0 {
			broken = append(broken, r)
		}
	}
	return broken
}
