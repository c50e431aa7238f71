package idempotency

import (
	"time"

	"pgregory.net/rapid"
)

// Outcomes of a planned request at the service.
const (
	outcomeAnswered = iota
	outcomeCutAfterRun
	outcomeCutBeforeRun
	outcomeRefused
	outcomeCount
)

// Kinds of planned faults.
const (
	faultStoreDown = iota
	faultHostSilent
	faultLoseAnswers
	faultDelayWrites
	faultCutHost
	faultCrash
	faultKindCount
)

const (
	planHosts    = 3
	planLength   = 20 * time.Second
	planRequests = 120
)

type plannedRequest struct {
	at, duration time.Duration
	host, key    int
	outcome      int
	timeout      time.Duration
}

type plannedFault struct {
	at, lasts  time.Duration
	kind, host int
}

type plan struct {
	requests []plannedRequest
	faults   []plannedFault
}

func genMillis(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

var genRequest = rapid.Custom(func(t *rapid.T) plannedRequest {
	return plannedRequest{
		at:       genMillis(0, int(planLength/time.Millisecond)).Draw(t, "at"),
		duration: genMillis(1, 400).Draw(t, "lasts"),
		host:     rapid.IntRange(0, planHosts-1).Draw(t, "host"),
		key:      rapid.IntRange(0, 39).Draw(t, "key"),
		outcome:  rapid.IntRange(0, outcomeCount-1).Draw(t, "outcome"),
		timeout:  genMillis(20, 5000).Draw(t, "patience"),
	}
})

var genFault = rapid.Custom(func(t *rapid.T) plannedFault {
	return plannedFault{
		at:    genMillis(0, int(planLength/time.Millisecond)).Draw(t, "at"),
		lasts: genMillis(100, 3000).Draw(t, "lasts"),
		kind:  rapid.IntRange(0, faultKindCount-1).Draw(t, "kind"),
		host:  rapid.IntRange(0, planHosts-1).Draw(t, "host"),
	}
})

var genPlan = rapid.Custom(func(t *rapid.T) plan {
	return plan{
		requests: rapid.SliceOfN(genRequest, planRequests, planRequests).Draw(t, "requests"),
		faults:   rapid.SliceOfN(genFault, 0, 12).Draw(t, "faults"),
	}
})
