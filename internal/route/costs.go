package route

import "time"

// Costs is what a policy assumes of an engine's speed.
type Costs struct {
	// PrefillPerToken is the time to prefill one prompt token.
	PrefillPerToken time.Duration
	// Step is the time between tokens of an engine with one generation.
	Step time.Duration
	// StepPerStream is what each further generation adds to Step.
	StepPerStream time.Duration
	// StreamCost is what each stream at an endpoint is charged besides: it
	// keeps batches even, against the pull of cached prefixes.
	StreamCost time.Duration
	// StepLimit is the time between tokens that callers are promised.
	StepLimit time.Duration
	// GapHalfLife is the age at which the observed time between tokens at an
	// endpoint counts half.
	GapHalfLife time.Duration
	// GapHeadroom is the part of StepLimit at which an endpoint counts as full.
	GapHeadroom float64
	// Patience is how many times less the waiting of a request without
	// priority weighs.
	Patience time.Duration
	// Interference is what each prompt token of a request without priority
	// costs each stream beside it.
	Interference time.Duration
	// TransferPerToken is the time to move the KV cache of one token between
	// two endpoints.
	TransferPerToken time.Duration
	// TransferFixed is the fixed time of an export and an import.
	TransferFixed time.Duration
	// ReportHalfLife is the age at which a load report counts half; the rest
	// is the mean over all endpoints.
	ReportHalfLife time.Duration
	// MaxPrefixTokens caps the prompt tokens that a predicted cache hit is
	// credited with, and so what a wrong prediction costs.
	MaxPrefixTokens int
	// MemoryPenalty is added for a request that finds none of the memory that
	// it needs; a part of it for a part.
	MemoryPenalty time.Duration
	// RolePenalty is added where the endpoint's role does not suit.
	RolePenalty time.Duration
}

// DefaultCosts are the costs of an engine of medium size.
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
