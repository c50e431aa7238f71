package route

import "time"

// Costs is the cost model of an engine, used to predict latencies.
type Costs struct {
	// PrefillPerToken is the time to prefill one prompt token.
	PrefillPerToken time.Duration
	// Step is the time between tokens of an engine with a single generation.
	Step time.Duration
	// StepPerStream is the increase of Step for each further generation.
	StepPerStream time.Duration
	// StreamCost is an additional charge for each stream at an endpoint. It
	// balances batch sizes against the preference for cached prefixes.
	StreamCost time.Duration
	// StepLimit is the time between tokens promised to callers.
	StepLimit time.Duration
	// GapHalfLife is the age at which the weight of the time between tokens
	// observed at an endpoint has halved.
	GapHalfLife time.Duration
	// GapHeadroom is the fraction of StepLimit above which the observed time
	// between tokens is charged as too slow.
	GapHeadroom float64
	// Patience is the divisor of the predicted latency in the score of requests
	// without priority.
	Patience time.Duration
	// Interference is the cost that each prompt token of a request without
	// priority adds to each concurrent stream.
	Interference time.Duration
	// TransferPerToken is the time to transfer the KV cache of one token between
	// two endpoints.
	TransferPerToken time.Duration
	// TransferFixed is the fixed overhead of a KV cache export and import.
	TransferFixed time.Duration
	// ReportHalfLife is the age at which the weight of a load report has halved.
	// The remaining weight goes to the mean over all endpoints.
	ReportHalfLife time.Duration
	// MaxPrefixTokens caps the prompt tokens credited for a predicted cache hit,
	// and so bounds the cost of a wrong prediction.
	MaxPrefixTokens int
	// MemoryPenalty is added when none of the KV cache blocks that the request
	// needs are free; it is scaled by the fraction that is missing.
	MemoryPenalty time.Duration
	// RolePenalty is added when the endpoint's role does not match the phase.
	RolePenalty time.Duration
}

// DefaultCosts returns the cost model of a medium-sized engine.
func DefaultCosts() Costs {
	return Costs{
		PrefillPerToken:  100 * time.Microsecond,
		Step:             20 * time.Millisecond,
		StepPerStream:    time.Millisecond,
		StreamCost:       20 * time.Millisecond,
		StepLimit:        48 * time.Millisecond,
		GapHalfLife:      2 * time.Second,
		GapHeadroom:      0.9,
		Patience:         10,
		Interference:     2 * time.Microsecond,
		TransferPerToken: 10 * time.Microsecond,
		TransferFixed:    20 * time.Millisecond,
		ReportHalfLife:   300 * time.Millisecond,
		MaxPrefixTokens:  8000,
		MemoryPenalty:    time.Second,
		RolePenalty:      200 * time.Millisecond,
	}
}
