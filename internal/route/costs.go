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
	// StepLimit is the time between tokens that callers are promised.
	StepLimit time.Duration
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
		StepLimit:        48 * time.Millisecond,
		TransferPerToken: 10 * time.Microsecond,
		TransferFixed:    20 * time.Millisecond,
		ReportHalfLife:   300 * time.Millisecond,
		MaxPrefixTokens:  8000,
		MemoryPenalty:    time.Second,
		RolePenalty:      200 * time.Millisecond,
	}
}
