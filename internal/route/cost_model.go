package route

import "time"

// CostModel is the cost model of an engine, used to predict latencies.
type CostModel struct {
	// PrefillPerToken is the time to prefill one prompt token.
	PrefillPerToken time.Duration
	// StepTime is the time between tokens of an engine with a single generation.
	StepTime time.Duration
	// StepPerStream is the increase of StepTime for each further generation.
	StepPerStream time.Duration
	// StreamCost is an additional charge for each stream at an endpoint. It
	// balances batch sizes against the preference for cached prefixes.
	StreamCost time.Duration
	// TokenGapLimit is the time between tokens promised to callers.
	TokenGapLimit time.Duration
	// GapHalfLife is the age at which the weight of the time between tokens
	// observed at an endpoint has halved.
	GapHalfLife time.Duration
	// GapHeadroom is the fraction of TokenGapLimit above which the observed time
	// between tokens is charged as too slow.
	GapHeadroom float64
	// LowPriorityDivisor is the divisor of the predicted latency in the score of
	// requests without priority.
	LowPriorityDivisor time.Duration
	// InterferencePerToken is the cost that each prompt token of a request without
	// priority adds to each concurrent stream.
	InterferencePerToken time.Duration
	// TransferPerToken is the time to transfer the KV cache of one token between
	// two endpoints.
	TransferPerToken time.Duration
	// TransferOverhead is the fixed overhead of a KV cache export and import.
	TransferOverhead time.Duration
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

// DefaultCostModel returns the cost model of a medium-sized engine.
func DefaultCostModel() CostModel {
	return CostModel{
		PrefillPerToken:      100 * time.Microsecond,
		StepTime:             20 * time.Millisecond,
		StepPerStream:        time.Millisecond,
		StreamCost:           20 * time.Millisecond,
		TokenGapLimit:        48 * time.Millisecond,
		GapHalfLife:          2 * time.Second,
		GapHeadroom:          0.9,
		LowPriorityDivisor:   10,
		InterferencePerToken: 2 * time.Microsecond,
		TransferPerToken:     10 * time.Microsecond,
		TransferOverhead:     20 * time.Millisecond,
		ReportHalfLife:       300 * time.Millisecond,
		MaxPrefixTokens:      8000,
		MemoryPenalty:        time.Second,
		RolePenalty:          200 * time.Millisecond,
	}
}
