package once

import (
	"time"

	"pgregory.net/rapid"
)

// The outcomes of a planned request at the service.
const (
	runsAndAnswers = iota
	runsAndIsCut
	isCutBefore
	isRefused
	outcomes
)

// The planned faults.
const (
	faultDown = iota
	faultSilent
	faultLose
	faultLate
	faultCutHost
	faultCrash
	faultKinds
)

const (
	planHosts    = 3
	planLength   = 20 * time.Second
	planRequests = 120
)

type plannedRequest struct {
	at, lasts time.Duration
	host, key int
	outcome   int
	patience  time.Duration
}

type plannedFault struct {
	at, lasts  time.Duration
	kind, host int
}

type plan struct {
	requests []plannedRequest
	faults   []plannedFault
}

func millis(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

var requests = rapid.Custom(func(t *rapid.T) plannedRequest {
	return plannedRequest{
		at:       millis(0, int(planLength/time.Millisecond)).Draw(t, "at"),
		lasts:    millis(1, 400).Draw(t, "lasts"),
		host:     rapid.IntRange(0, planHosts-1).Draw(t, "host"),
		key:      rapid.IntRange(0, 39).Draw(t, "key"),
		outcome:  rapid.IntRange(0, outcomes-1).Draw(t, "outcome"),
		patience: millis(20, 5000).Draw(t, "patience"),
	}
})

var faults = rapid.Custom(func(t *rapid.T) plannedFault {
	return plannedFault{
		at:    millis(0, int(planLength/time.Millisecond)).Draw(t, "at"),
		lasts: millis(100, 3000).Draw(t, "lasts"),
		kind:  rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
		host:  rapid.IntRange(0, planHosts-1).Draw(t, "host"),
	}
})

var plans = rapid.Custom(func(t *rapid.T) plan {
	return plan{
		requests: rapid.SliceOfN(requests, planRequests, planRequests).Draw(t, "requests"),
		faults:   rapid.SliceOfN(faults, 0, 12).Draw(t, "faults"),
	}
})
