// Package audit checks the guarantees of acacialink after a test run. It relies
// only on the records of the stand-ins for the platform, callers and operators.
// Each guarantee has one checker.
package audit

import "time"

// Guarantee names a guarantee that must hold in every run.
type Guarantee string

// The guarantees, each with one checker.
const (
	ConflictingOrders Guarantee = "an engine never receives conflicting orders"
	PlannedChanges    Guarantee = "no request is cut by a planned change"
	StaleOrders       Guarantee = "orders from a process that has lost its authority have no effect"
	Keys              Guarantee = "a request runs only with a valid key, which no endpoint sees"
	ProviderOrders    Guarantee = "the platform never receives orders from two processes in charge"
	UsageReports      Guarantee = "no usage window is reported with different figures or by two processes"
	Rates             Guarantee = "no workspace gets more than its rate and burst"
	Responses         Guarantee = "a caller gets the whole answer to its own request"
	NotRun            Guarantee = "a refusal that says not-run is true"
	AtMostOnce        Guarantee = "a payment, permit or deposit runs at most once"
	LeavingEndpoints  Guarantee = "a leaving endpoint gets no new work after a few seconds"
	GracefulShutdowns Guarantee = "a planned stop cuts no request"
	Configuration     Guarantee = "an accepted configuration is in force everywhere and never reverts"
)

// Bounds holds the time limits that the checkers apply.
type Bounds struct {
	// RevokeWithin is how long after its revocation a key may still be accepted.
	RevokeWithin time.Duration
	// LeaveWithin is how long a leaving endpoint may still receive new work.
	LeaveWithin time.Duration
	// ApplyWithin is how long after its acceptance a change may take to be in
	// force.
	ApplyWithin time.Duration
	// RateSlack is the maximum time between the admission of a request and its
	// arrival at an engine.
	RateSlack time.Duration
}

// DefaultBounds returns the limits for current deployment sizes.
func DefaultBounds() Bounds {
	return Bounds{
		RevokeWithin: 5 * time.Second,
		LeaveWithin:  5 * time.Second,
		ApplyWithin:  3 * time.Second,
		RateSlack:    5 * time.Second,
	}
}

// Result is the result of one checker.
type Result struct {
	Guarantee Guarantee `json:"promise"`
	// Examined is the number of items that the checker examined. If it is zero,
	// the record contains no evidence and the guarantee was not tested.
	Examined int `json:"examined"`
	// Findings describes the violations, at most 20.
	Findings []string `json:"findings,omitempty"`
}

// checker pairs a guarantee with the function that checks a record for
// violations and adds them to a report.
type checker struct {
	guarantee Guarantee
	check     func(*report, *Record, Bounds)
}

var checkers = []checker{
	{ConflictingOrders, checkConflictingOrders},
	{PlannedChanges, checkPlannedChanges},
	{StaleOrders, checkStaleOrders},
	{Keys, checkKeys},
	{ProviderOrders, checkProviderOrders},
	{UsageReports, checkUsageReports},
	{Rates, checkRates},
	{Responses, checkResponses},
	{NotRun, checkNotRun},
	{AtMostOnce, checkAtMostOnce},
	{LeavingEndpoints, checkLeavingEndpoints},
	{GracefulShutdowns, checkGracefulShutdowns},
	{Configuration, checkConfiguration},
}

// Check runs all checkers on r and returns one result per guarantee, in a fixed
// order.
func Check(r *Record, b Bounds) []Result {
	results := make([]Result, 0, len(checkers))
	for _, c := range checkers {
		var rep report
		c.check(&rep, r, b)
		results = append(results, Result{Guarantee: c.guarantee, Examined: rep.examined, Findings: rep.findings})
	}
	return results
}

// Violated returns the results that have findings.
func Violated(results []Result) []Result {
	var violated []Result
	for _, r := range results {
		if len(r.Findings) > 0 {
			violated = append(violated, r)
		}
	}
	return violated
}
